package cwmember

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// takeUpdates returns the updates that were sent least often, up to
// maxUpdateBytes, and counts them as sent. Updates about the receiver itself
// are added by ping and acknowledge.
func (m *Machine) takeUpdates(to carobward.VMID) []*cwwire.Member {
	ids := make([]carobward.VMID, 0, len(m.updates))
	for id := range m.updates {
		ids = append(ids, id)
	}

	slices.SortFunc(ids, func(a, b carobward.VMID) int {
		return cmp.Or(cmp.Compare(m.updates[a], m.updates[b]), cmp.Compare(a, b))
	})

	var out []*cwwire.Member

	for left, limit := maxUpdateBytes, m.maxTransmissions(); len(ids) > 0; ids = ids[1:] {
		id := ids[0]
		if id == to {
			continue
		}

		w := m.updateOf(id)

		left -= proto.Size(w)
		if left < 0 {
			break
		}

		out = append(out, w)

		if m.updates[id]++; m.updates[id] >= limit {
			delete(m.updates, id)
		}
	}

	return out
}

func (m *Machine) updateOf(id carobward.VMID) *cwwire.Member {
	e := m.members[id]
	if id == m.self.id {
		e = &m.self
	}

	// After that time all members have the domain and the addresses, or fetch
	// them with a pull.
	recent := m.lastTick.Sub(e.firstSeen) < fullUpdateAge

	return e.wire(recent && !e.suspect && e.rank != stopped)
}

// gossip returns messages with updates to random members.
func (m *Machine) gossip() []Message {
	if m.revisionRounds > 0 {
		m.revisionRounds--
	} else if len(m.updates) == 0 {
		return nil
	}

	var out []Message

	for _, e := range m.sample(m.options.Fanout, "") {
		out = append(out, Message{To: e.address(), Datagram: m.datagram(cwwire.Datagram_NEWS, 0, e.id)})
	}

	return out
}

// Leave starts announcing to all members that this VM is leaving. It cannot be
// undone.
func (m *Machine) Leave() {
	if m.self.rank >= leaving {
		return
	}

	m.self.rank = leaving
	m.updates[m.self.id] = 0
	m.digestStale, m.dirty = true, true
	m.unconfirmed = map[carobward.VMID]uint64{}

	for _, id := range sortedIDs(m.members) {
		if !m.members[id].dead {
			m.unconfirmed[id] = m.rng.Uint64()
		}
	}
}

// Unconfirmed returns the number of members that have not confirmed yet that
// this VM is leaving.
func (m *Machine) Unconfirmed() int { return len(m.unconfirmed) }

// pingUnconfirmed pings members that have not confirmed yet that this VM is
// leaving, a limited number per call.
func (m *Machine) pingUnconfirmed() []Message {
	const maxPings = 50

	var out []Message

	for _, id := range sortedIDs(m.unconfirmed) {
		e := m.members[id]
		if e == nil || e.dead {
			delete(m.unconfirmed, id)

			continue
		}

		if len(out) < maxPings {
			out = append(out, m.ping(e, m.unconfirmed[id]))
		}
	}

	return out
}

// Stop announces to some members that this VM has stopped. The machine must not
// be used afterwards.
func (m *Machine) Stop() []Message {
	const receivers = 8

	m.self.rank = stopped
	m.digestStale = true
	m.updates = map[carobward.VMID]int{m.self.id: 0}

	var out []Message

	for _, e := range m.sample(receivers, "") {
		out = append(out, Message{To: e.address(), Datagram: m.datagram(cwwire.Datagram_NEWS, 0, e.id)})
	}

	return out
}

func sortedIDs[V any](set map[carobward.VMID]V) []carobward.VMID {
	all := make([]carobward.VMID, 0, len(set))
	for id := range set {
		all = append(all, id)
	}

	slices.Sort(all)

	return all
}

func sortSeeds(all []Seed) {
	slices.SortFunc(all, func(a, b Seed) int { return cmp.Compare(a.ID, b.ID) })
}
