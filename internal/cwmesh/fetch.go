package cwmesh

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwwire"
)

// Limits of fetching changes from peers. One entry VM can't send a change of many keys to
// a hundred others at once: its link would be busy for seconds. Peers that it refuses
// fetch from those that have the change by then.
const (
	// fetchTimeout bounds one fetch.
	fetchTimeout = 400 * time.Millisecond
	// maxFetchTries is how often a fetch is tried after one heartbeat. The next heartbeat
	// starts again.
	maxFetchTries = 5
	// fetchBackoff is the shortest delay after a failed fetch; the delay is random, up to
	// twice as long, and doubles each time. A heartbeat from a peer that is ahead ends it.
	fetchBackoff = 30 * time.Millisecond
	// spreadPeers is how many peers of the failure domain an entry VM notifies after it
	// has fetched changes that are too large for one sender. The number of peers that can
	// send them grows by this factor with each step.
	spreadPeers = 3
	// defaultLinkSpeed is assumed if the link's speed is not known, in bytes a second:
	// 10 Mbit/s.
	defaultLinkSpeed = 1_250_000
	// linkShare is the fraction of the link that changes for peers may use. The rest is
	// for callers.
	linkShare = 0.5
	// linkBurst limits the bytes of changes that are sent at once, as the time in which the
	// link can send them: peers that would wait longer are better served by others.
	linkBurst = 100 * time.Millisecond
	// farFetchDelay is how long an entry VM that lacks changes waits for its own failure
	// domain before it fetches from another one: traffic between them costs money, and
	// each failure domain has entry VMs that were asked to pass changes on.
	farFetchDelay = 700 * time.Millisecond
	// maxWholeSize is the size of all keys, in bytes, up to which a peer that is behind
	// gets them instead of changes that are not known: some ten packets. Beyond that one
	// call of the store is cheaper than hundreds of kilobytes from a peer.
	maxWholeSize = 16 << 10
)

// Errors returned to a peer that asks for changes. Peers compare their texts.
const (
	// errBusy: other peers use up the share of the link.
	errBusy = errors.ConstError("mesh: other peers are being sent changes")
	// errGap: the changes since the peer's replica are not known here.
	errGap = errors.ConstError("mesh: the changes since then are not known here")
)

// offer names a peer that has something that this entry VM lacks.
type offer struct {
	from  carobward.Address
	id    carobward.VMID
	state cwmirror.State
	// kept is set if the peer keeps items that this entry VM may not know.
	kept bool
}

// setOffer makes an offer the current one, in place of any earlier one.
func (m *Mesh) setOffer(o offer) {
	for {
		select {
		case m.offers <- o:
			return
		default:
		}

		select {
		case <-m.offers:
		default:
		}
	}
}

// handleOffers fetches changes from peers that are ahead, one fetch at a time.
func (m *Mesh) handleOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-m.offers:
			if m.isNeeded(o) { // The changes may have come from another peer.
				m.catchUp(ctx, o)
			}
		}
	}
}

// isNeeded reports whether a peer has something that this entry VM lacks.
func (m *Mesh) isNeeded(o offer) bool {
	return m.Mirror.State().Behind(o.state) || o.kept && m.lacksKept(o.state, m.Clock.Now())
}

// keptPause is the least time between two fetches of items that peers keep in force. Peers that
// keep different ones for a moment need no exchange.
const keptPause = heartbeatInterval

// lacksKept reports whether a peer keeps items in force that this entry VM may not know: they are not
// in the store, so that a replica that came from the store alone lacks them.
func (m *Mesh) lacksKept(peer cwmirror.State, now time.Time) bool {
	if peer.Kept == 0 {
		return false
	}

	last := m.lastFetch.Load()

	return last == 0 || peer.Kept > m.Mirror.State().Kept && now.Sub(time.Unix(0, last)) >= keptPause
}

// catchUp fetches changes from a peer, and if that fails from others that have them.
func (m *Mesh) catchUp(ctx context.Context, o offer) {
	pause := fetchBackoff
	whole := false

	for try := 1; ; try++ {
		err := m.fetch(ctx, o.from, whole)
		if err == nil || ctx.Err() != nil {
			return
		}

		if isPeerError(err, errGap) {
			// The store has the changes; if it doesn't serve this VM, a peer's list of all keys will do.
			m.noteGap()

			whole = m.storeDown.Load()
		}

		// Busy peers are normal: many ask the first one that has the changes.
		if try == maxFetchTries || !isPeerError(err, errBusy) {
			m.Log.Info("Failed to fetch changes from a peer.", "from", string(o.from), "vm", o.id, "try", try, "cause", err.Error())
		}

		if try == maxFetchTries {
			return
		}

		next, ok := m.nextOffer(ctx, o, pause)
		if !ok {
			return
		}

		o = next
		pause *= 2
	}
}

// isPeerError reports whether err is the error want as returned by a peer.
func isPeerError(err, want error) bool {
	var remote rpc.ServerError

	return errors.As(err, &remote) && string(remote) == want.Error()
}

// noteGap records that a peer that is ahead does not know the changes since this replica.
func (m *Mesh) noteGap() {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.gapSeen = m.Clock.Now()
}

// NeedsStore reports whether peers are ahead but do not know the changes since this
// replica, so that the store has to be asked.
func (m *Mesh) NeedsStore() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.gapSeen.After(m.claims.newest.answered)
}

// nextOffer waits for an offer of another peer than the one that failed. After the delay it
// picks one of the peers that are known to be ahead instead.
func (m *Mesh) nextOffer(ctx context.Context, failed offer, pause time.Duration) (offer, bool) {
	timer := time.NewTimer(pause + rand.N(pause))
	defer timer.Stop()

	for {
		select {
		case <-ctx.Done():
			return offer{}, false
		case o := <-m.offers:
			if o.id != failed.id {
				return o, true
			}
		case <-timer.C:
			return m.pickAhead(failed)
		}
	}
}

// pickAhead picks one of the peers that are known to be ahead, if possible not the one that failed.
func (m *Mesh) pickAhead(failed offer) (offer, bool) {
	var others []Peer

	ahead := m.Table.ahead(m.Mirror.State(), m.Clock.Now())
	for i := range ahead {
		if ahead[i].ID != failed.id {
			others = append(others, ahead[i])
		}
	}

	if len(others) == 0 {
		others = ahead
	}

	if len(others) == 0 {
		return offer{}, false
	}

	p := &others[rand.IntN(len(others))]

	return offer{from: p.Peers, id: p.ID, state: p.Replica}, true
}

// fetch fetches from a peer the changes that this entry VM lacks, or all keys.
func (m *Mesh) fetch(ctx context.Context, from carobward.Address, whole bool) error {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()

	own := m.Mirror.State()
	if whole {
		own = cwmirror.State{}
	}

	sent := m.Clock.Now()
	reply := &cwwire.ChangesReply{}

	err := m.call(limited, from, &cwwire.ChangesRequest{After: uint64(own.Index), Era: uint64(own.Era)}, reply)
	if err != nil {
		return err
	}

	c, err := decodeChanges(reply, own.Index)
	if err != nil {
		return err
	}

	m.lastFetch.Store(m.Clock.Now().UnixNano())

	changed := m.Mirror.ApplyAndNotify(c, m.Clock.Now(), m.Changed)
	m.Log.Info("Applied changes from a peer.", "from", string(from), "after", own.Index, "era", c.Era, "index", c.Index,
		"whole", c.Full, "kept", len(c.Retained), "changed", changed)

	if c.Era == m.Mirror.State().Era {
		m.applyFetchedClaim(reply, sent, c.Era)
	}

	m.setPush(&c)
	m.spread(&c)
	m.relayUpdate()

	return nil
}

// spread notifies some peers of changes that are too large to be sent to all by the first
// entry VM that has them.
func (m *Mesh) spread(c *carobward.Changes) {
	now := m.Clock.Now()

	if all := int(c.Size()) * len(m.Table.Live(now)); all > burstBytes(defaultLinkSpeed) {
		m.sendTo(m.Table.sampleLive(now, spreadPeers), m.heartbeat(now))
	}
}

// burstBytes returns how many bytes of changes may be sent at once over a link of the given
// speed in bytes a second.
func burstBytes(link carobward.ByteCount) int {
	return int(float64(link) * linkBurst.Seconds())
}

// Answers is the net/rpc service for peers.
type Answers struct {
	mesh *Mesh
	// bytes limits what is sent to peers, by the speed of the link.
	bytes *rate.Limiter

	mutex sync.Mutex
	// last is the last reply, reused for peers that ask for the same.
	last struct {
		after cwmirror.State
		state cwmirror.State
		reply *cwwire.ChangesReply
	}
}

// NewAnswers returns the net/rpc service of a mesh.
func NewAnswers(m *Mesh) *Answers {
	link := m.Link
	if link <= 0 {
		link = defaultLinkSpeed
	}

	return &Answers{mesh: m, bytes: rate.NewLimiter(rate.Limit(linkShare*float64(link)), burstBytes(link))}
}

// Changes returns the changes after an index. A reply that is larger than the burst uses
// up the whole burst. A peer without a replica gets all keys.
func (a *Answers) Changes(in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
	now := a.mesh.Clock.Now()

	after := cwmirror.State{Era: carobward.StoreEra(in.GetEra()), Index: carobward.StoreIndex(in.GetAfter())}

	claim := a.mesh.claim()

	reply, err := a.reply(after)
	if err != nil {
		return err
	}

	if !a.bytes.AllowN(now, min(proto.Size(reply), a.bytes.Burst())) {
		return errBusy
	}

	out.Entries, out.Packed = reply.GetEntries(), reply.GetPacked()
	out.Index, out.Whole = reply.GetIndex(), reply.GetWhole()
	out.GapFrom, out.GapTo = reply.GetGapFrom(), reply.GetGapTo()
	out.Era, out.AfterEra = reply.GetEra(), reply.GetAfterEra()
	// Remaining times and ages must be current, even if the rest is a reused reply.
	out.Kept, out.Hold = encodeKept(a.mesh.Mirror.Kept(now)), uint32(a.mesh.Mirror.HoldRemaining(now).Milliseconds())
	out.Fresh, out.Checked = encodeAge(claim.answered, now), encodeAge(claim.asked, now)
	out.By, out.Nth = claim.boot, claim.number

	return nil
}

// reply returns the changes after a state in their encoded form. The last reply is
// reused for peers that ask for the same, as all newcomers do: to compress 809 servers
// takes some milliseconds of a whole core.
func (a *Answers) reply(after cwmirror.State) (*cwwire.ChangesReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	state := a.mesh.Mirror.State()
	if a.last.reply != nil && a.last.after == after && a.last.state == state {
		return a.last.reply, nil
	}

	c := a.mesh.Mirror.Since(after)
	if c.Full && after.Index > 0 && c.Size() > maxWholeSize {
		return nil, errGap
	}

	reply, err := encodeChanges(&c)
	if err != nil {
		return nil, err
	}

	a.last.after, a.last.state, a.last.reply = after, state, reply

	return reply, nil
}
