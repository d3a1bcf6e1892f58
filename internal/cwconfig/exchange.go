package cwconfig

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// ServiceName is the name under which the Service is registered with net/rpc.
const ServiceName = "Config"

// exchangeTimeout limits one exchange with a peer.
const exchangeTimeout = time.Second

const exchangeMethod = ServiceName + ".Exchange"

// Service handles configuration requests from peers.
type Service struct {
	syncer *Syncer
}

// Service returns the handler for calls from peers.
func (s *Syncer) Service() *Service { return &Service{syncer: s} }

// Exchange replies with our digest and the changes that the peer lacks. If the
// peer has a higher revision, an exchange with it is queued.
func (s *Service) Exchange(in *cwwire.ConfigRequest, out *cwwire.ConfigReply) error {
	r := s.syncer

	out.Digest = r.digest()
	if in.GetWant() == cwwire.ConfigWant_CONFIG_WANT_DIGEST {
		return nil
	}

	if in.GetDigest().GetRevision() > out.GetDigest().GetRevision() {
		select {
		case r.announcements <- announcement{carobward.VMID(in.GetDigest().GetVm()), carobward.Revision(in.GetDigest().GetRevision())}:
		default:
		}

		return nil
	}

	return r.newer(in, out)
}

// newer adds to the reply the changes that the requesting peer lacks, or the
// full configuration if the changes since its revision are not all retained.
func (s *Syncer) newer(in *cwwire.ConfigRequest, out *cwwire.ConfigReply) error {
	effective := s.holder.current.Load()
	since := carobward.Revision(in.GetDigest().GetRevision())

	if !s.Condition().Ready || effective.config.Revision <= since {
		return nil
	}

	if in.GetWant() != cwwire.ConfigWant_CONFIG_WANT_FULL && len(effective.recent) > 0 && effective.recent[0].Revision <= since+1 {
		changes, err := pack(effective.recent, since)
		out.Changes = changes

		return err
	}

	full, err := encode(effective.config)
	out.Full = full

	return err
}

// pack encodes the changes from the revision since on. The change that created
// since is included, so that the receiver detects a diverged history.
func pack(changes []Change, since carobward.Revision) ([][]byte, error) {
	var all [][]byte

	for i := range changes {
		if changes[i].Revision < since {
			continue
		}

		raw, err := encode(&changes[i])
		if err != nil {
			return nil, err
		}

		all = append(all, raw)
	}

	return all, nil
}

func (s *Syncer) digest() *cwwire.ConfigDigest {
	c := s.Condition()
	d := &cwwire.ConfigDigest{
		Vm:       string(s.peers.Self().ID),
		Revision: uint64(c.Revision),
		Chain:    string(c.Chain),
		Ready:    c.Ready,
		Alarm:    c.Alarm,
	}

	if !c.Fresh.IsZero() {
		d.Known = true
		d.AgeMillis = uint64(max(0, s.clock.Now().Sub(c.Fresh).Milliseconds()))
	}

	return d
}

// exchange exchanges digests with one peer: preferably one with a higher
// revision, else a random one.
func (s *Syncer) exchange(ctx context.Context) {
	for _, p := range s.preferNewer(s.others()) {
		s.ExchangeWith(ctx, p.Peers)

		return
	}
}

// preferNewer returns the peers from the first one on that is known to have a
// higher revision, or all of them if there is none.
func (s *Syncer) preferNewer(peers []carobward.Peer) []carobward.Peer {
	for i, p := range peers {
		if p.Revision > s.holder.Revision() {
			return peers[i:]
		}
	}

	return peers
}

// announcement is the higher revision that a peer reported in its digest.
type announcement struct {
	from     carobward.VMID
	revision carobward.Revision
}

// fetchAnnounced exchanges with the peer that announced a higher revision, unless
// that revision has been reached in the meantime.
func (s *Syncer) fetchAnnounced(ctx context.Context, n announcement) {
	if n.revision <= s.holder.Revision() {
		return
	}

	for _, p := range s.others() {
		if p.ID == n.from {
			s.ExchangeWith(ctx, p.Peers)
		}
	}
}

// offer sends our digest to a few random peers. Those with a lower revision
// request the changes in turn.
func (s *Syncer) offer(ctx context.Context) {
	var group conc.WaitGroup

	peers := s.others()
	for _, p := range peers[:min(len(peers), offerPeers)] {
		group.Go(func() { s.ExchangeWith(ctx, p.Peers) })
	}

	group.Wait()
}

// ExchangeWith exchanges digests with the peer at an address and applies the
// changes that the peer has and this entry VM lacks.
func (s *Syncer) ExchangeWith(ctx context.Context, to carobward.Address) {
	err := s.exchangeOnce(ctx, to, cwwire.ConfigWant_CONFIG_WANT_NEWER)
	if errors.Is(err, ErrGap) {
		err = s.exchangeOnce(ctx, to, cwwire.ConfigWant_CONFIG_WANT_FULL)
	}

	switch {
	case err == nil || ctx.Err() != nil:
	case needsOperator(err):
		s.alarm(fromPeer, errors.Annotatef(err, "peer %s", to))
	default:
		s.metrics.Add(metricFailed, 1)
		s.log.V(1).Info("Exchanging the configuration with a peer failed.", "peer", to, "cause", err.Error())
	}
}

func (s *Syncer) exchangeOnce(ctx context.Context, to carobward.Address, want cwwire.ConfigWant) error {
	sent := s.clock.Now()

	reply, err := s.call(ctx, to, want)
	if err != nil {
		return err
	}

	return s.handleReply(reply, sent)
}

func (s *Syncer) call(ctx context.Context, to carobward.Address, want cwwire.ConfigWant) (*cwwire.ConfigReply, error) {
	in, out := &cwwire.ConfigRequest{Digest: s.digest(), Want: want}, &cwwire.ConfigReply{}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()

	s.metrics.Add(metricSent, int64(proto.Size(in)))

	err := s.calls.Call(ctx, to, exchangeMethod, in, out)
	s.metrics.Add(metricReceived, int64(proto.Size(out)))

	return out, err
}

// handleReply processes the reply to a request that was sent at the given time.
func (s *Syncer) handleReply(reply *cwwire.ConfigReply, sent time.Time) error {
	if err := s.applyReply(reply); err != nil {
		return err
	}

	d, now := reply.GetDigest(), s.holder.Config()
	theirs := carobward.Revision(d.GetRevision())

	if theirs == now.Revision && Chain(d.GetChain()) != now.Chain {
		return &Diverged{Revision: theirs, Ours: now.Chain, Theirs: Chain(d.GetChain())}
	}

	if d.GetKnown() && theirs <= now.Revision {
		s.state.updateFresh(sent.Add(-time.Duration(d.GetAgeMillis()) * time.Millisecond))
	}

	return nil
}

// applyReply makes the changes or the full configuration of a reply effective.
func (s *Syncer) applyReply(reply *cwwire.ConfigReply) error {
	var advanced bool

	switch {
	case len(reply.GetFull()) > 0:
		config, err := unpackFull(reply.GetFull())
		if err != nil {
			return err
		}

		s.metrics.Add(metricFull, 1)

		advanced = s.holder.Adopt(config)
	case len(reply.GetChanges()) > 0:
		changes, err := unpack(reply.GetChanges())
		if err != nil {
			return err
		}

		if advanced, err = s.holder.Advance(changes); err != nil {
			return err
		}
	}

	if advanced {
		s.recordAdopted("peer")
	}

	return nil
}

// unpack decodes changes and checks that they are consecutive.
func unpack(raw [][]byte) ([]Change, error) {
	changes := make([]Change, len(raw))

	for i := range raw {
		if err := decodeStrict(raw[i], &changes[i]); err != nil {
			return nil, errors.WithType(errors.Annotate(err, "config: change"), ErrUnreadable)
		}
	}

	return changes, checkSequence(changes)
}

// unpackFull decodes and validates a whole configuration.
func unpackFull(raw []byte) (*Config, error) {
	c := &Config{}

	err := decodeStrict(raw, c)
	if err == nil {
		err = c.Set.Validate()
	}

	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "config: full copy"), ErrUnreadable)
	}

	return c, nil
}
