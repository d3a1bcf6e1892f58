package cwmirror

import (
	"bytes"
	"time"

	"carobward.example/carobward"
)

// LapseTime is for how long after the store came back entries of servers that live may be
// missing: about two seconds, in which they write them again, and the way to us.
const LapseTime = 2200 * time.Millisecond

// origin is how a copy came into its era: from which state, at which index of the new era,
// and with which keys changed. Copies at that state need only these.
type origin struct {
	from  State
	index carobward.StoreIndex
	keys  map[carobward.Key]struct{}
}

// isFrom tells whether a copy at a state came into the era in the same way.
func (o *origin) isFrom(s State) bool {
	return o.index > 0 && o.from.Era == s.Era && o.from.Index == s.Index
}

// crosses tells whether changes lead from one era into another.
func crosses(c *carobward.Changes) bool { return !c.Whole && c.AfterEra != 0 && c.AfterEra != c.Era }

// leadsOn tells whether changes bring this copy into their era.
func (m *Mirror) leadsOn(c *carobward.Changes) bool {
	return c.Whole || c.AfterEra == m.state.Era && c.After == m.state.Index && m.state.Top == m.state.Index
}

// enter begins another era: the store came back from a copy. Its indexes say nothing of
// those before, and what it lacks proves nothing for a while.
func (m *Mirror) enter(c *carobward.Changes, now time.Time) []carobward.Item {
	before, old := m.state, m.items

	m.items, m.gone, m.gaps, m.floor = map[carobward.Key]record{}, 0, nil, 0
	m.state = State{Era: c.Era, Index: c.Index, Top: c.Index, Version: before.Version}
	m.holdUntil(now.Add(LapseTime))

	if !c.Whole {
		for key, it := range old {
			if !it.Gone {
				m.items[key] = it
			}
		}
	}

	for _, it := range c.Items {
		if it.Gone {
			delete(m.items, it.Key)

			continue
		}

		m.items[it.Key] = record{Item: it}
		m.state.Top = max(m.state.Top, it.Index)
	}

	m.addGap(carobward.Gap{To: max(c.Index, c.Gap.To)})
	m.setOrigin(before, old)

	return m.keepLost(old, now)
}

// setOrigin notes which keys changed, for copies that are where this one was. One that
// had changes beyond its index is like no other.
func (m *Mirror) setOrigin(before State, old map[carobward.Key]record) {
	m.origin = origin{}

	if before.Top != before.Index {
		return
	}

	m.origin = origin{from: before, index: m.state.Index, keys: map[carobward.Key]struct{}{}}

	for key, it := range old {
		if !it.Gone && !m.has(it.Item) {
			m.origin.keys[key] = struct{}{}
		}
	}

	for key, it := range m.items {
		if was, ok := old[key]; !ok || was.Gone || was.Index != it.Index {
			m.origin.keys[key] = struct{}{}
		}
	}
}

// has tells whether the copy has an item as it is.
func (m *Mirror) has(it carobward.Item) bool {
	now, ok := m.items[it.Key]

	return ok && now.Index == it.Index && bytes.Equal(now.Value, it.Value)
}

// keepLost keeps what was in force before and was lost with the era, or came back with it,
// and returns what comes into force.
func (m *Mirror) keepLost(old map[carobward.Key]record, now time.Time) []carobward.Item {
	var fresh []carobward.Item

	for key, k := range m.kept {
		old[key] = record{Item: k.Item, rank: k.rank}
	}

	for _, was := range old {
		if it, comes := m.decide(was, now); comes {
			fresh = append(fresh, it)
		}
	}

	for key, it := range m.items {
		if _, known := old[key]; !known {
			fresh = append(fresh, it.Item)
		}
	}

	return fresh
}

// decide keeps what was in force under a key, or returns what the store has now if that
// comes into force.
func (m *Mirror) decide(was record, now time.Time) (carobward.Item, bool) {
	is, there := m.items[was.Key]
	rank := m.rankOf(was)

	switch {
	case was.Gone && !there:
		// It may be there again in the next era.
		delete(m.kept, was.Key)
		m.remember(was.Key, rank)
	case was.Gone && !rank.Before(m.rankOf(is)), !was.Gone && !there, !was.Gone && m.rankOf(is).Before(rank):
		m.keep(was.Item, rank, now.Add(m.Stay(was.Item)))
	case was.Gone || !bytes.Equal(was.Value, is.Value):
		delete(m.kept, was.Key)

		return is.Item, true
	default:
		delete(m.kept, was.Key)
	}

	return carobward.Item{}, false
}
