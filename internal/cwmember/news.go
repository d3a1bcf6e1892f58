package cwmember

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// takeNews returns the news that were sent least often and counts them as
// sent. What concerns the receiver comes on top, see ping.
func (m *Machine) takeNews(to carobward.VMID) []*cwwire.Member {
	ids := make([]carobward.VMID, 0, len(m.news))
	for id := range m.news {
		ids = append(ids, id)
	}

	slices.SortFunc(ids, func(a, b carobward.VMID) int {
		return cmp.Or(cmp.Compare(m.news[a], m.news[b]), cmp.Compare(a, b))
	})

	var out []*cwwire.Member

	for left, most := newsBytes, m.copies(); len(ids) > 0; ids = ids[1:] {
		id := ids[0]
		if id == to {
			continue
		}

		w := m.newsOf(id)

		left -= proto.Size(w)
		if left < 0 {
			break
		}

		out = append(out, w)

		if m.news[id]++; m.news[id] >= most {
			delete(m.news, id)
		}
	}

	return out
}

func (m *Machine) newsOf(id carobward.VMID) *cwwire.Member {
	e := m.members[id]
	if id == m.self.id {
		e = &m.self
	}

	// Later on all know the rest, and whoever does not asks for it.
	young := m.ticked.Sub(e.since) < youngMost

	return e.wire(young && !e.suspect && e.rank != gone)
}

// spreadNews sends what is new to some members.
func (m *Machine) spreadNews() []Message {
	if m.hot > 0 {
		m.hot--
	} else if len(m.news) == 0 {
		return nil
	}

	var out []Message

	for _, e := range m.sample(m.options.Fanout, "") {
		out = append(out, Message{To: e.address(), Datagram: m.datagram(cwwire.Datagram_NEWS, 0, e.id)})
	}

	return out
}

// Leave starts to tell everyone that this VM stops. It is final.
func (m *Machine) Leave() {
	if m.self.rank >= leaving {
		return
	}

	m.self.rank = leaving
	m.news[m.self.id] = 0
	m.stale, m.dirty = true, true
	m.farewell = map[carobward.VMID]uint64{}

	for _, id := range sortedIDs(m.members) {
		if !m.members[id].dead {
			m.farewell[id] = m.rng.Uint64()
		}
	}
}

// Unaware returns how many members have not confirmed that they know that
// this VM leaves.
func (m *Machine) Unaware() int { return len(m.farewell) }

// farewells pings those that have not confirmed, some at a time.
func (m *Machine) farewells() []Message {
	const most = 50

	var out []Message

	for _, id := range sortedIDs(m.farewell) {
		e := m.members[id]
		if e == nil || e.dead {
			delete(m.farewell, id)

			continue
		}

		if len(out) < most {
			out = append(out, m.ping(e, m.farewell[id]))
		}
	}

	return out
}

// Gone says that this VM has stopped. The machine is of no use thereafter.
func (m *Machine) Gone() []Message {
	const tell = 8

	m.self.rank = gone
	m.stale = true
	m.news = map[carobward.VMID]int{m.self.id: 0}

	var out []Message

	for _, e := range m.sample(tell, "") {
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
