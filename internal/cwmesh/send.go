package cwmesh

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// send sends heartbeats: to all each beatTime and when told to, and to seeds
// that have not answered more often.
func (m *Mesh) send(ctx context.Context) {
	beat, seed := time.NewTicker(beatTime), time.NewTicker(seedTime)
	defer beat.Stop()
	defer seed.Stop()

	m.tellSeeds()

	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			round++
			m.tell(m.Table.turn(m.Clock.Now(), round))
		case <-m.wake:
			m.tell(m.Table.sendable(m.Clock.Now()))
		case <-seed.C:
			m.tellSeeds()
		}
	}
}

// tell sends a heartbeat to some peers.
func (m *Mesh) tell(peers []Peer) {
	now := m.Clock.Now()
	raw := m.encode(m.beat(now))

	for i := range peers {
		p := &peers[i]

		if !p.unknown() {
			m.write(raw, p.Peers)

			continue
		}

		// It has never been heard, so it may not know this entry VM.
		b := m.introduce(now)
		b.Ask = true
		m.write(m.encode(b), p.Peers)
	}
}

// unknown tells that a peer was told of but never heard.
func (p *Peer) unknown() bool { return p.Boot == 0 }

// tellSeeds sends a heartbeat to the seeds that have not answered.
func (m *Mesh) tellSeeds() {
	m.mutex.Lock()
	seeds := make([]carobward.Address, 0, len(m.seeded))

	for s := range m.seeded {
		seeds = append(seeds, s)
	}
	m.mutex.Unlock()

	if len(seeds) == 0 {
		return
	}

	b := m.introduce(m.Clock.Now())
	b.Ask, b.List = true, true

	raw := m.encode(b)
	for _, s := range seeds {
		m.write(raw, s)
	}
}

// reply answers a peer that is not known here, or that asks who there is.
func (m *Mesh) reply(to net.Addr, ask, others bool) {
	now := m.Clock.Now()
	b := m.introduce(now)
	b.Ask = ask

	if !others {
		m.write(m.encode(b), carobward.Address(to.String()))

		return
	}

	list := m.Table.Live(now)

	for {
		n := min(othersMost, len(list))
		b.Others = nil

		for i := range list[:n] {
			b.Others = append(b.Others, wireNode(list[i].Node))
		}

		m.write(m.encode(b), carobward.Address(to.String()))

		if list = list[n:]; len(list) == 0 {
			return
		}
	}
}

// beat returns the heartbeat of this moment.
func (m *Mesh) beat(now time.Time) *cwwire.Beat {
	s := m.Mirror.State()

	return &cwwire.Beat{
		Id: string(m.Table.Self().ID), Boot: m.boot, State: uint32(m.State()),
		Index: uint64(s.Index), Top: uint64(s.Top), Fresh: encodeFresh(m.Fresh(), now), Away: m.away.Load(),
		Rate: uint32(m.rate.Load()),
	}
}

// introduce returns the heartbeat of this moment for who may not know this entry
// VM.
func (m *Mesh) introduce(now time.Time) *cwwire.Beat {
	b := m.beat(now)
	b.Node = wireNode(m.Table.Self())

	return b
}

func (m *Mesh) encode(b *cwwire.Beat) []byte {
	raw, err := proto.Marshal(b)
	if err != nil {
		m.Log.Error(err, "A heartbeat could not be encoded.")

		return nil
	}

	return m.Key.Seal(raw)
}

func (m *Mesh) write(raw []byte, to carobward.Address) {
	addr, err := net.ResolveUDPAddr("udp", string(to))
	if err != nil {
		m.Log.Error(err, "A peer's address can't be read.", "address", string(to))

		return
	}

	if _, err := m.conn.WriteTo(raw, addr); err != nil {
		m.Log.V(1).Info("A heartbeat could not be sent.", "to", string(to), "cause", err.Error())
	}
}

// bytesMost bounds the bytes that are being sent to peers at once. Some hundred
// kilobytes to each of a hundred peers would fill the link on which callers are
// served; those that are refused find other peers, or the store. One reply may
// be larger.
const bytesMost = 256 << 10

// byteTime is the time of one byte on the slowest link, of 10 Mbit/s.
const byteTime = 800 * time.Nanosecond

// errBusy is the error of a peer that asks while others get too much.
const errBusy = errors.ConstError("mesh: other peers are being sent changes")

// Answers is the peers' service.
type Answers struct {
	Mesh *Mesh
	// bytes counts what is being sent.
	bytes atomic.Int64
}

// Changes returns the changes after an index.
func (a *Answers) Changes(in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
	m := a.Mesh
	out.Fresh = encodeFresh(m.Fresh(), m.Clock.Now())
	c := m.Mirror.Since(carobward.StoreIndex(in.GetAfter()))

	size := int64(c.Size())

	if now := a.bytes.Add(size); now > bytesMost && now > size {
		a.bytes.Add(-size)

		return errBusy
	}

	// The reply leaves after this returns; it is under way for about as long as
	// its bytes take on a slow link.
	time.AfterFunc(time.Duration(size)*byteTime, func() { a.bytes.Add(-size) })

	out.Index, out.Whole = uint64(c.Index), c.Whole

	for i := range c.Items {
		it := &c.Items[i]
		out.Entries = append(out.Entries, &cwwire.Entry{Key: string(it.Key), Value: it.Value, Index: uint64(it.Index), Gone: it.Gone})
	}

	return nil
}
