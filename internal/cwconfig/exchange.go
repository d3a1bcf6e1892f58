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

// ServiceName is the name that the Service is registered by.
const ServiceName = "Config"

// askMost bounds one exchange with a peer.
const askMost = time.Second

const exchangeMethod = ServiceName + ".Exchange"

// Service answers peers that ask for the configuration.
type Service struct {
	syncer *Syncer
}

// Service returns what peers may call.
func (s *Syncer) Service() *Service { return &Service{syncer: s} }

// Exchange tells a peer what it does not have yet. A peer that has more is
// asked in turn.
func (s *Service) Exchange(in *cwwire.ConfigRequest, out *cwwire.ConfigReply) error {
	r := s.syncer

	out.Digest = r.digest()
	if in.GetWant() == cwwire.ConfigWant_CONFIG_WANT_DIGEST {
		return nil
	}

	if in.GetDigest().GetRevision() > out.GetDigest().GetRevision() {
		select {
		case r.news <- news{carobward.VMID(in.GetDigest().GetVm()), carobward.Revision(in.GetDigest().GetRevision())}:
		default:
		}

		return nil
	}

	return r.newer(in, out)
}

// newer puts into out what the asking peer lacks.
func (s *Syncer) newer(in *cwwire.ConfigRequest, out *cwwire.ConfigReply) error {
	now := s.holder.current.Load()
	since := carobward.Revision(in.GetDigest().GetRevision())

	if !s.Condition().Ready || now.config.Revision <= since {
		return nil
	}

	if in.GetWant() != cwwire.ConfigWant_CONFIG_WANT_FULL && len(now.recent) > 0 && now.recent[0].Revision <= since+1 {
		changes, err := pack(now.recent, since)
		out.Changes = changes

		return err
	}

	full, err := encode(now.config)
	out.Full = full

	return err
}

// pack encodes the changes from a revision on. The one that made the
// revision goes along, so that another history is found out.
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

// exchange asks one random peer for what is newer there.
func (s *Syncer) exchange(ctx context.Context) {
	for _, p := range s.best(s.others()) {
		s.Ask(ctx, p.Peers)

		return
	}
}

// best puts a peer first that is known to have a higher revision, if any.
func (s *Syncer) best(peers []carobward.Peer) []carobward.Peer {
	for i, p := range peers {
		if p.Revision > s.holder.Revision() {
			return peers[i:]
		}
	}

	return peers
}

// news is what a peer said that has a higher revision.
type news struct {
	from     carobward.VMID
	revision carobward.Revision
}

// askFor asks the peer that has news, unless it is known by now.
func (s *Syncer) askFor(ctx context.Context, n news) {
	if n.revision <= s.holder.Revision() {
		return
	}

	for _, p := range s.others() {
		if p.ID == n.from {
			s.Ask(ctx, p.Peers)
		}
	}
}

// offer tells a few random peers of our revision. Who has less asks back.
func (s *Syncer) offer(ctx context.Context) {
	var group conc.WaitGroup

	peers := s.others()
	for _, p := range peers[:min(len(peers), offerPeers)] {
		group.Go(func() { s.Ask(ctx, p.Peers) })
	}

	group.Wait()
}

// Ask exchanges digests with the peer at an address and takes what is newer
// there.
func (s *Syncer) Ask(ctx context.Context, to carobward.Address) {
	err := s.ask(ctx, to, cwwire.ConfigWant_CONFIG_WANT_NEWER)
	if errors.Is(err, ErrGap) {
		err = s.ask(ctx, to, cwwire.ConfigWant_CONFIG_WANT_FULL)
	}

	switch {
	case err == nil || ctx.Err() != nil:
	case alarming(err):
		s.alarm(fromPeer, errors.Annotatef(err, "peer %s", to))
	default:
		s.metrics.Add(metricFailed, 1)
		s.log.V(1).Info("A peer did not answer.", "peer", to, "cause", err.Error())
	}
}

func (s *Syncer) ask(ctx context.Context, to carobward.Address, want cwwire.ConfigWant) error {
	sent := s.clock.Now()

	reply, err := s.call(ctx, to, want)
	if err != nil {
		return err
	}

	return s.hear(reply, sent)
}

func (s *Syncer) call(ctx context.Context, to carobward.Address, want cwwire.ConfigWant) (*cwwire.ConfigReply, error) {
	in, out := &cwwire.ConfigRequest{Digest: s.digest(), Want: want}, &cwwire.ConfigReply{}
	ctx, cancel := context.WithTimeout(ctx, askMost)
	defer cancel()

	s.metrics.Add(metricSent, int64(proto.Size(in)))

	err := s.calls.Call(ctx, to, exchangeMethod, in, out)
	s.metrics.Add(metricReceived, int64(proto.Size(out)))

	return out, err
}

// hear takes the reply to a request that was sent at a time.
func (s *Syncer) hear(reply *cwwire.ConfigReply, sent time.Time) error {
	if err := s.learn(reply); err != nil {
		return err
	}

	d, now := reply.GetDigest(), s.holder.Config()
	theirs := carobward.Revision(d.GetRevision())

	if theirs == now.Revision && Chain(d.GetChain()) != now.Chain {
		return &Diverged{Revision: theirs, Ours: now.Chain, Theirs: Chain(d.GetChain())}
	}

	if d.GetKnown() && theirs <= now.Revision {
		s.vitals.freshen(sent.Add(-time.Duration(d.GetAgeMillis()) * time.Millisecond))
	}

	return nil
}

// learn puts in force what a reply brought.
func (s *Syncer) learn(reply *cwwire.ConfigReply) error {
	var rose bool

	switch {
	case len(reply.GetFull()) > 0:
		config, err := unpackFull(reply.GetFull())
		if err != nil {
			return err
		}

		s.metrics.Add(metricFull, 1)

		rose = s.holder.Adopt(config)
	case len(reply.GetChanges()) > 0:
		changes, err := unpack(reply.GetChanges())
		if err != nil {
			return err
		}

		if rose, err = s.holder.Advance(changes); err != nil {
			return err
		}
	}

	if rose {
		s.adopted("peer")
	}

	return nil
}

// unpack decodes changes and checks that they follow one another.
func unpack(raw [][]byte) ([]Change, error) {
	changes := make([]Change, len(raw))

	for i := range raw {
		if err := strict(raw[i], &changes[i]); err != nil {
			return nil, errors.WithType(errors.Annotate(err, "config: change"), ErrUnreadable)
		}
	}

	return changes, linked(changes)
}

// unpackFull decodes and validates a whole configuration.
func unpackFull(raw []byte) (*Config, error) {
	c := &Config{}

	err := strict(raw, c)
	if err == nil {
		err = c.Set.Validate()
	}

	if err != nil {
		return nil, errors.WithType(errors.Annotate(err, "config: full copy"), ErrUnreadable)
	}

	return c, nil
}
