package cwmesh

import (
	"context"
	"net"
	"time"

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
