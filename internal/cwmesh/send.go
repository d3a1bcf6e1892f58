package cwmesh

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// sendLoop sends heartbeats: to the whole failure domain each heartbeatInterval and on
// request, and more often to entry VMs that have not answered yet.
func (m *Mesh) sendLoop(ctx context.Context) {
	beat, greetTick := time.NewTicker(heartbeatInterval), time.NewTicker(greetInterval)
	defer beat.Stop()
	defer greetTick.Stop()

	m.greetSeeds()

	for round, greetRound := 0, 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			round++
			m.sendRound(round)
		case <-m.wake:
			m.sendAll()
		case <-greetTick.C:
			greetRound++
			m.greetSilent(greetRound)
		}
	}
}

// greetSilent sends a heartbeat to seeds, each seedInterval, and to some peers that have not
// answered yet: if the whole fleet restarts, those that were named may still be starting.
func (m *Mesh) greetSilent(round int) {
	if round%int(seedInterval/greetInterval) == 0 {
		m.greetSeeds()
	}

	if now := m.Clock.Now(); now.Sub(m.started) < newcomerTime {
		for _, n := range m.Table.sampleNeverSeen(maxGreets) {
			m.greet(n)
		}
	}
}

// sendRound sends the heartbeats of a round: to each peer, with the summaries that came from
// other failure domains; to one peer with a request for the entry VMs it knows, so that peers
// that don't know each other are introduced; and to the other failure domains if it is this
// entry VM's turn.
func (m *Mesh) sendRound(round int) {
	now := m.Clock.Now()
	b := m.heartbeat(now)
	b.Domains = encodeSummaries(m.Table.takeUnsent(), m.ageTime(now))
	m.sendTo(m.Table.recipients(now), b)

	ask := m.introduction(now)
	ask.Ask, ask.List = true, true

	for _, p := range m.Table.sampleLive(now, 1) {
		m.write(m.encode(ask), p.Peers)
	}

	if m.Table.isSummarySender(now, round) {
		m.sendSummary(now, 1, false)
	}
}

// sendAll sends a heartbeat to each peer and, if it is for the whole fleet, to some
// entry VMs of each other failure domain, which pass it on.
func (m *Mesh) sendAll() {
	now := m.Clock.Now()
	m.sendTo(m.Table.recipients(now), m.heartbeat(now))

	if m.sendsFar.Swap(false) {
		m.sendSummary(now, relaysPerDomain, true)
	}
}

// sendSummary sends the summary of this failure domain to some entry VMs of each
// other one. Relay asks them to pass on how fresh the replica is.
func (m *Mesh) sendSummary(now time.Time, some int, relay bool) {
	b := m.introduction(now)
	b.Relay, b.Loads = relay, nil // The summary has the sums.
	own := m.summary(now)
	list := []Summary{own}

	// The summary of a random other failure domain is added, so that failure domains
	// find each other even if no seed has named them to each other.
	if others := m.Table.knownDomains(); len(others) > 0 {
		list = append(list, others[rand.IntN(len(others))])
	}

	b.Domains = encodeSummaries(list, m.ageTime(now))
	raw := m.encode(b)

	for _, d := range m.Table.domainNames() {
		for _, n := range m.Table.Contacts(d, some, now) {
			m.write(raw, n.Peers)
		}
	}
}

// summary returns the summary of this failure domain for the others.
func (m *Mesh) summary(now time.Time) Summary {
	s := m.Table.Summary(now, Peer{State: m.State(), StoreDown: m.storeDown.Load(), Rate: int(m.rate.Load()), Lost: m.Lost(now)})
	s.Loads = m.sumLoads(now)
	s.stamp = stamp{m.boot, m.summaries.Add(1)}

	return s
}

// sendTo sends a heartbeat to some peers.
func (m *Mesh) sendTo(peers []Peer, b *cwwire.Beat) {
	raw := m.encode(b)

	for i := range peers {
		p := &peers[i]

		if !p.neverSeen() {
			m.write(raw, p.Peers)

			continue
		}

		m.greet(p.Node)
	}
}

// greet sends a heartbeat to an entry VM that was never heard from and so may not know
// this one. While this entry VM is new, it also asks for the other entry VMs, so that all
// know each other within some round trips.
func (m *Mesh) greet(n Node) {
	now := m.Clock.Now()
	b := m.introduction(now)
	b.Ask, b.List = true, now.Sub(m.started) < newcomerTime
	m.write(m.encode(b), n.Peers)
}

// greetSeeds sends a heartbeat to the seeds that have not answered.
func (m *Mesh) greetSeeds() {
	m.mutex.Lock()
	seeds := make([]carobward.Address, 0, len(m.silentSeeds))

	for s := range m.silentSeeds {
		seeds = append(seeds, s)
	}
	m.mutex.Unlock()

	if len(seeds) == 0 {
		return
	}

	b := m.introduction(m.Clock.Now())
	b.Ask, b.List = true, true

	raw := m.encode(b)
	for _, s := range seeds {
		m.write(raw, s)
	}
}

// reply answers an entry VM that is not known here, or that asks for the other entry VMs.
func (m *Mesh) reply(to net.Addr, in *cwwire.Beat, ask bool) {
	now := m.Clock.Now()
	b := m.introduction(now)
	b.Ask = ask

	if in.GetList() {
		asker := decodeNode(in.GetNode())
		own := m.summary(now)

		b.Others = encodeNodes(m.Table.peersFor(asker.Domain, asker.ID, now))
		b.Domains = encodeSummaries(append(m.Table.knownDomains(), own), m.ageTime(now))
		m.addNotices(b, now, true)
	}

	m.write(m.encode(b), carobward.Address(to.String()))
}

// heartbeat returns the current heartbeat for peers that know this entry VM.
func (m *Mesh) heartbeat(now time.Time) *cwwire.Beat {
	c := m.claim()
	s := m.Mirror.State()
	b := &cwwire.Beat{
		Id: string(m.Table.Self().ID), Boot: m.boot, Number: m.heartbeats.Add(1), State: uint32(m.State()),
		Index: uint64(s.Index), Top: uint64(s.Top), Fresh: encodeAge(c.answered, now), Checked: encodeAge(c.asked, now), By: c.boot, Nth: c.number, Away: m.storeDown.Load(),
		Rate: uint32(m.rate.Load()), Era: uint64(s.Era), Version: uint64(s.Version), Kept: uint32(s.Kept),
	}

	changes, after := m.pushed(now)
	b.Changes, b.ChangesAfter, b.ChangesEra = changes, uint64(after.Index), uint64(after.Era)
	m.addNotices(b, now, false)
	b.Loads = encodeLoads(m.ownLoads(now))
	encodeLost(m.Lost(now), b)

	return b
}

// addNotices adds the servers' notices.
func (m *Mesh) addNotices(b *cwwire.Beat, now time.Time, newcomer bool) {
	notices := m.Notices(now, newcomer)
	b.Limits = encodeLimits(sample(notices.Limits, maxNotices), now)
	b.Leaving = encodeLeaving(sample(notices.Leaving, maxNotices))
}

// introduction returns the current heartbeat for an entry VM that may not know this
// one.
func (m *Mesh) introduction(now time.Time) *cwwire.Beat {
	b := m.heartbeat(now)
	b.Node = encodeNode(m.Table.Self())

	return b
}

func (m *Mesh) encode(b *cwwire.Beat) []byte {
	raw, err := proto.Marshal(b)
	if err != nil {
		m.Log.Error(err, "Failed to encode a heartbeat.")

		return nil
	}

	return m.Key.Seal(raw)
}

func (m *Mesh) write(raw []byte, to carobward.Address) {
	addr, err := net.ResolveUDPAddr("udp", string(to))
	if err != nil {
		m.Log.Error(err, "Failed to resolve a peer's address.", "address", string(to))

		return
	}

	if _, err := m.conn.WriteTo(raw, addr); err != nil {
		m.Log.V(1).Info("Failed to send a heartbeat.", "to", string(to), "cause", err.Error())
	}
}
