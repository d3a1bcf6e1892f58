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

// The figures of fetching changes from peers. A change of many keys can't go from
// one entry VM to a hundred others at once: its link would take seconds. Those
// that are refused find the ones that have it by then.
const (
	// fetchTime bounds one fetch.
	fetchTime = 400 * time.Millisecond
	// fetchTries bounds the fetches after one heartbeat. The next one begins
	// anew.
	fetchTries = 5
	// fetchPause is the pause after a fetch that failed, at random up to twice
	// as long; it doubles. A peer that tells that it is ahead ends it.
	fetchPause = 30 * time.Millisecond
	// spreadPeers is how many peers of the own failure domain who has fetched
	// changes that are large for the fleet tells of it. The number of those that
	// can send them grows by so many times with each step.
	spreadPeers = 3
	// linkLeast is the speed of a link that is not known, in bytes a second:
	// 10 Mbit/s.
	linkLeast = 1_250_000
	// linkShare is the part of the link that changes for peers may take. Callers
	// are served by the rest.
	linkShare = 0.5
	// linkBurst is for how long of the link's time changes may be handed out at
	// once: those who wait longer are better served by others.
	linkBurst = 100 * time.Millisecond
	// farPatience is how long an entry VM that lacks changes waits for those of its
	// own failure domain before it fetches from another one: bytes between them
	// are paid for, and each has entry VMs that were told to pass changes on.
	farPatience = 700 * time.Millisecond
	// wholeFree is the size of all keys up to which a peer that is behind gets
	// them in place of changes that are not known: some ten packets. Beyond that
	// one call of the store is cheaper than hundreds of kilobytes from a peer.
	wholeFree = 16 << 10
)

// The errors of a peer that asks for changes.
const (
	// errBusy: others get too much already.
	errBusy = errors.ConstError("mesh: other peers are being sent changes")
	// errGap: the changes since the peer's copy are not known here.
	errGap = errors.ConstError("mesh: the changes since then are not known here")
)

// offer is the word of a peer that it has what this entry VM lacks.
type offer struct {
	from  carobward.Address
	id    carobward.VMID
	state cwmirror.State
	// kept tells that it keeps items that this entry VM may have never heard of.
	kept bool
}

// offer notes that a peer is ahead. The newest offer counts.
func (m *Mesh) offer(o offer) {
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

// takeOffers fetches changes from peers that offer some, one fetch at a time.
func (m *Mesh) takeOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-m.offers:
			if m.wants(o) { // It may have come from another one.
				m.catchUp(ctx, o)
			}
		}
	}
}

// wants tells whether a peer has what this entry VM lacks.
func (m *Mesh) wants(o offer) bool {
	return m.Mirror.State().Behind(o.state) || o.kept && !m.asked.Load()
}

// catchUp fetches changes from a peer, or else from others that have them.
func (m *Mesh) catchUp(ctx context.Context, o offer) {
	pause := fetchPause
	whole := false

	for try := 1; ; try++ {
		err := m.fetch(ctx, o.from, whole)
		if err == nil || ctx.Err() != nil {
			return
		}

		if isSaid(err, errGap) {
			// The store knows; where it does not serve this VM, all keys do.
			m.setLack()

			whole = m.away.Load()
		}

		// That a peer is busy is no news: many ask the first one to have changes.
		if try == fetchTries || !isSaid(err, errBusy) {
			m.Log.Info("Changes could not be fetched.", "from", string(o.from), "vm", o.id, "try", try, "cause", err.Error())
		}

		if try == fetchTries {
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

// isSaid tells whether an error is one that a peer answered with.
func isSaid(err, want error) bool {
	var said rpc.ServerError

	return errors.As(err, &said) && string(said) == want.Error()
}

// setLack notes that no peer was found to bring the copy up to date.
func (m *Mesh) setLack() {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.lack = m.Clock.Now()
}

// Lacks tells whether peers are ahead which do not know the changes since this
// copy, so that the store has to be asked.
func (m *Mesh) Lacks() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.lack.After(m.claims.newest.answered)
}

// nextOffer waits for a peer that is ahead, and else draws one of those that are
// known to be, another one than failed where there is one.
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
			return m.drawAhead(failed)
		}
	}
}

// drawAhead draws one of the peers that are known to be ahead.
func (m *Mesh) drawAhead(failed offer) (offer, bool) {
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

	return offer{from: p.Peers, id: p.ID, state: p.Copy}, true
}

// fetch takes the changes that this entry VM lacks from a peer, or all keys.
func (m *Mesh) fetch(ctx context.Context, from carobward.Address, whole bool) error {
	limited, cancel := context.WithTimeout(ctx, fetchTime)
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

	m.asked.Store(true)

	changed := m.Mirror.ApplyAndNotify(c, m.Clock.Now(), m.Changed)
	m.Log.Info("Took changes from a peer.", "from", string(from), "after", own.Index, "era", c.Era, "index", c.Index,
		"whole", c.Whole, "kept", len(c.Kept), "changed", changed)

	if c.Era == m.Mirror.State().Era {
		m.takeFetched(reply, sent, c.Era)
	}

	m.setPush(&c)
	m.spread(&c)
	m.passOn()

	return nil
}

// spread tells some peers of changes that are too large for the first to have
// them to send to all.
func (m *Mesh) spread(c *carobward.Changes) {
	now := m.Clock.Now()

	if all := int(c.Size()) * len(m.Table.Live(now)); all > burstBytes(linkLeast) {
		m.tell(m.Table.some(now, spreadPeers), m.beat(now))
	}
}

// burstBytes returns how many bytes of changes may be handed out at once over a
// link of a speed in bytes a second.
func burstBytes(link carobward.ByteCount) int {
	return int(float64(link) * linkBurst.Seconds())
}

// Answers is the peers' service.
type Answers struct {
	mesh *Mesh
	// bytes bounds what is sent to peers, by the speed of the link.
	bytes *rate.Limiter

	mutex sync.Mutex
	// last is the last reply, for others that ask for the same.
	last struct {
		after cwmirror.State
		state cwmirror.State
		reply *cwwire.ChangesReply
	}
}

// NewAnswers returns the service of a mesh.
func NewAnswers(m *Mesh) *Answers {
	link := m.Link
	if link <= 0 {
		link = linkLeast
	}

	return &Answers{mesh: m, bytes: rate.NewLimiter(rate.Limit(linkShare*float64(link)), burstBytes(link))}
}

// Changes returns the changes after an index. A reply that is larger than what
// may be handed out at once takes all of that. A peer that has no copy gets all
// keys.
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
	// Times that are left are those of this moment.
	out.Kept, out.Hold = wireKept(a.mesh.Mirror.Kept(now)), uint32(a.mesh.Mirror.HoldRemaining(now).Milliseconds())
	out.Fresh, out.Checked = encodeFresh(claim.answered, now), encodeFresh(claim.asked, now)
	out.By, out.Nth = claim.by, claim.nth

	return nil
}

// reply returns the changes after a state as they are sent. A reply is kept for
// the next one that asks for the same, as all newcomers do: to pack 809 servers
// takes some milliseconds of a whole core.
func (a *Answers) reply(after cwmirror.State) (*cwwire.ChangesReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	state := a.mesh.Mirror.State()
	if a.last.reply != nil && a.last.after == after && a.last.state == state {
		return a.last.reply, nil
	}

	c := a.mesh.Mirror.Since(after)
	if c.Whole && after.Index > 0 && c.Size() > wholeFree {
		return nil, errGap
	}

	reply, err := encodeChanges(&c)
	if err != nil {
		return nil, err
	}

	a.last.after, a.last.state, a.last.reply = after, state, reply

	return reply, nil
}
