package cwmesh

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwwire"
)

// receive handles datagrams until the context ends.
func (m *Mesh) receive(ctx context.Context) {
	buffer := make([]byte, datagramMost)

	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				m.Log.Error(err, "A datagram could not be read.")
				time.Sleep(time.Millisecond) // A fault that lasts must not spin.
			}

			continue
		}

		m.datagram(buffer[:n], from)
	}
}

// datagram handles one datagram. What is not a heartbeat is passed over.
func (m *Mesh) datagram(sealed []byte, from net.Addr) {
	raw, err := m.Key.Open(sealed, from)
	if err != nil {
		m.Log.V(1).Info("A datagram was refused.", "from", from.String(), "cause", err.Error())

		return
	}

	beat := &cwwire.Beat{}
	if err := proto.Unmarshal(raw, beat); err != nil {
		m.Log.V(1).Info("A datagram is malformed.", "from", from.String(), "cause", err.Error())

		return
	}

	if t := beat.GetTokens(); t != nil {
		m.takeTokens(t, from)

		return
	}

	m.take(beat, from)
}

// take handles one heartbeat.
func (m *Mesh) take(b *cwwire.Beat, from net.Addr) {
	if b.GetId() == string(m.Table.Self().ID) {
		return
	}

	now := m.Clock.Now()
	p := Peer{
		Boot: b.GetBoot(), State: State(b.GetState()), Away: b.GetAway(), Rate: int(b.GetRate()), Heard: now,
		Copy: cwmirror.State{
			Era: carobward.StoreEra(b.GetEra()), Index: carobward.StoreIndex(b.GetIndex()), Top: carobward.StoreIndex(b.GetTop()),
			Version: carobward.Version(b.GetVersion()), Kept: int(b.GetKept()),
		},
	}
	p.ID = carobward.VMID(b.GetId())

	if n := b.GetNode(); n != nil {
		p.Node = node(n)
		m.unseed(p.Peers)
	}

	known := true

	if m.isOutside(p.Domain) {
		m.Table.met(p.Node)
	} else {
		known = m.Table.heard(p)
	}

	m.takeNames(b, p.Domain, now)

	if !known || b.GetAsk() || b.GetList() {
		m.reply(from, b, !known)
	}

	if words := words(b, now); len(words.Limits)+len(words.Leaving) > 0 {
		m.TakeWords(words, p.ID)
	}

	m.takePush(b)
	m.takeCopy(b, &p, from, now)
}

// isOutside tells whether a heartbeat came from another failure domain. Those of
// peers that are known here name none.
func (m *Mesh) isOutside(d carobward.Domain) bool {
	return d != "" && d != m.Table.Self().Domain
}

// takeNames takes the entry VMs and failure domains that a heartbeat names.
func (m *Mesh) takeNames(b *cwwire.Beat, from carobward.Domain, now time.Time) {
	outside := m.isOutside(from)
	for _, d := range b.GetDomains() {
		m.Table.learn(summary(d, now), outside)
	}

	for _, o := range b.GetOthers() {
		if n := node(o); m.Table.told(n) {
			m.greet(n)
		}
	}
}

// takeCopy takes how far a peer's copy is: what a peer knew to be the newest is
// what this entry VM has as well, or else it lacks changes.
func (m *Mesh) takeCopy(b *cwwire.Beat, p *Peer, from net.Addr, now time.Time) {
	c := claimOf(b, now)
	m.hear(c, now)

	far := m.isOutside(p.Domain)
	own := m.Mirror.State()
	behind := own.Behind(p.Copy)

	// One that asked the store by itself has not what that lost before.
	if p.Copy.Kept > 0 && !behind && !m.asked.Load() {
		m.offer(offer{from: carobward.Address(from.String()), id: p.ID, state: p.Copy, kept: true})
	}

	if b.GetRelay() {
		m.relay.Store(true)
	}

	switch {
	case behind && (!far || b.GetRelay() || m.waits(now)):
		m.offer(offer{from: carobward.Address(from.String()), id: p.ID, state: p.Copy})
	case behind:
	case p.Copy.Era != own.Era:
		// A copy of another era being the newest says nothing of ours.
	default:
		m.takeClaim(c, now, own.Era)
		m.passOn()
	}
}

// waits tells whether this entry VM has lacked changes for so long that it takes
// them from other failure domains, too.
func (m *Mesh) waits(now time.Time) bool {
	return now.Sub(m.Fresh()) > farPatience && now.Sub(m.began) > farPatience
}

// passOn tells the failure domain what another one told this entry VM.
func (m *Mesh) passOn() {
	if m.relay.Swap(false) {
		m.Tell()
	}
}

func (m *Mesh) unseed(a carobward.Address) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	delete(m.seeded, a)
}
