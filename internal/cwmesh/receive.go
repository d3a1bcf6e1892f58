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
	buffer := make([]byte, maxDatagramSize)

	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				m.Log.Error(err, "Failed to read a datagram.")
				time.Sleep(time.Millisecond) // Don't spin on a persistent error.
			}

			continue
		}

		m.handleDatagram(buffer[:n], from)
	}
}

// handleDatagram handles one datagram. It ignores those that are malformed or not authentic.
func (m *Mesh) handleDatagram(sealed []byte, from net.Addr) {
	raw, err := m.Key.Open(sealed, from)
	if err != nil {
		m.Log.V(1).Info("Rejected a datagram.", "from", from.String(), "cause", err.Error())

		return
	}

	beat := &cwwire.Beat{}
	if err := proto.Unmarshal(raw, beat); err != nil {
		m.Log.V(1).Info("Received a malformed datagram.", "from", from.String(), "cause", err.Error())

		return
	}

	if t := beat.GetTokens(); t != nil {
		m.handleTokens(t, from)

		return
	}

	m.handleHeartbeat(beat, from)
}

// handleHeartbeat handles one heartbeat.
func (m *Mesh) handleHeartbeat(b *cwwire.Beat, from net.Addr) {
	if b.GetId() == string(m.Table.Self().ID) {
		return
	}

	now := m.Clock.Now()
	p := Peer{
		Boot: b.GetBoot(), number: b.GetNumber(), State: State(b.GetState()), StoreDown: b.GetAway(), Rate: int(b.GetRate()), Loads: decodeLoads(b.GetLoads()), Lost: decodeLost(b), LastSeen: now, ProvenAt: m.HeardUntil(now),
		Replica: cwmirror.State{
			Era: carobward.StoreEra(b.GetEra()), Index: carobward.StoreIndex(b.GetIndex()), Top: carobward.StoreIndex(b.GetTop()),
			Version: carobward.Version(b.GetVersion()), Kept: int(b.GetKept()),
		},
	}
	p.ID = carobward.VMID(b.GetId())

	if n := b.GetNode(); n != nil {
		p.Node = decodeNode(n)
		m.removeSeed(p.Peers)
	}

	known, first := true, false

	if m.isOtherDomain(p.Domain) {
		m.Table.recordContact(p.Node)
	} else {
		first = m.hasNewState(now) && m.Table.neverSeen(p.ID)
		known = m.Table.updatePeer(p)
	}

	m.addNamed(b, p.Domain, now)

	switch {
	case !known || b.GetAsk() || b.GetList():
		m.reply(from, b, !known)
	case first: // The state was announced to those that had been heard from.
		m.write(m.encode(m.heartbeat(now)), carobward.Address(from.String()))
	}

	if notices := decodeNotices(b, now); len(notices.Limits)+len(notices.Leaving) > 0 {
		m.TakeNotices(notices, p.ID)
	}

	m.applyPush(b)
	m.compareReplica(b, &p, from, now)
}

// isOtherDomain reports whether a heartbeat came from another failure domain. Heartbeats
// between peers that know each other name no failure domain.
func (m *Mesh) isOtherDomain(d carobward.Domain) bool {
	return d != "" && d != m.Table.Self().Domain
}

// addNamed adds the entry VMs and failure domains that a heartbeat names.
func (m *Mesh) addNamed(b *cwwire.Beat, from carobward.Domain, now time.Time) {
	outside := m.isOtherDomain(from)
	// The ages in a heartbeat that waited here count from when it may have come.
	heard := m.HeardUntil(now)

	for _, d := range b.GetDomains() {
		m.Table.addSummary(decodeSummary(d, heard), outside, now)
	}

	for _, o := range b.GetOthers() {
		if n := decodeNode(o); m.Table.addPeer(n) {
			m.greet(n)
		}
	}
}

// compareReplica compares the state of a peer's replica with this one. If this one is
// behind, there are changes to fetch from the peer; otherwise the peer's claim to be up to
// date holds here as well.
func (m *Mesh) compareReplica(b *cwwire.Beat, p *Peer, from net.Addr, now time.Time) {
	c := claimOf(b, now)
	m.noteAnswer(c, now)

	far := m.isOtherDomain(p.Domain)
	own := m.Mirror.State()
	behind := own.Behind(p.Replica)

	if !behind && m.lacksKept(p.Replica, now) {
		m.setOffer(offer{from: carobward.Address(from.String()), id: p.ID, state: p.Replica, kept: true})
	}

	if b.GetRelay() {
		m.relayPending.Store(true)
	}

	switch {
	case behind && (!far || b.GetRelay() || m.fetchesFar(now)):
		m.setOffer(offer{from: carobward.Address(from.String()), id: p.ID, state: p.Replica})
	case behind:
	case p.Replica.Era != own.Era:
		// A claim for a replica of another era does not apply to this one.
	default:
		m.applyClaim(c, now, own.Era)
		m.relayUpdate()
	}
}

// fetchesFar reports whether this entry VM has lacked changes for so long that it fetches
// them from other failure domains, too.
func (m *Mesh) fetchesFar(now time.Time) bool {
	return now.Sub(m.Fresh()) > farFetchDelay && now.Sub(m.started) > farFetchDelay
}

// relayUpdate sends a heartbeat to the failure domain if an update from another one is pending.
func (m *Mesh) relayUpdate() {
	if m.relayPending.Swap(false) {
		m.HeartbeatDomain()
	}
}

func (m *Mesh) removeSeed(a carobward.Address) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	delete(m.silentSeeds, a)
}
