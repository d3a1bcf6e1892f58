// Package cwmirror keeps a copy of the keys of the platform's store that entry
// VMs follow. Entry VMs bring each other up to date from their copies, so that
// a few of them have to ask the store.
package cwmirror

import (
	"slices"
	"sync"

	"carobward.example/carobward"
)

// The bounds of what is remembered for others. A peer that is further behind
// gets all keys anew.
const (
	// goneMost bounds the removed keys: those of some minutes in which all
	// servers are replaced.
	goneMost = 512
	// gapsMost bounds the gaps. One comes with each listing and with each fetch
	// from a copy that has one.
	gapsMost = 16
)

// State tells how far a copy is.
type State struct {
	// Index is the store's index up to which the copy is complete.
	Index carobward.StoreIndex
	// Top is the index of the newest change in the copy, which may be beyond
	// Index while some removals are held back.
	Top carobward.StoreIndex
}

// Behind tells whether a copy lacks what another one has.
func (s State) Behind(other State) bool { return s.Index < other.Index || s.Top < other.Top }

// Mirror is the copy. Each key only moves forward.
type Mirror struct {
	// order keeps those who follow the copy in the order of its changes.
	order sync.Mutex

	mutex sync.Mutex
	items map[carobward.Key]carobward.Item
	gone  int
	// floor is the index before which removed keys are not remembered, gaps has
	// the spans after it in which they may not be known.
	floor carobward.StoreIndex
	gaps  []carobward.Gap
	state State
}

// New returns an empty copy.
func New() *Mirror { return &Mirror{items: map[carobward.Key]carobward.Item{}} }

// State returns how far the copy is.
func (m *Mirror) State() State {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.state
}

// Get returns the value of a key, or nil.
func (m *Mirror) Get(key carobward.Key) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.items[key].Value
}

// Take takes changes as Apply does and hands those that were new on. They are
// handed on in the order in which they were taken: without that an older entry of
// a server could replace a newer one that came from elsewhere at the same moment.
func (m *Mirror) Take(c carobward.Changes, hold bool, changed func([]carobward.Item)) int {
	m.order.Lock()
	defer m.order.Unlock()

	fresh := m.Apply(c, hold)
	changed(fresh)

	return len(fresh)
}

// Apply takes changes and returns those that were new. Hold keeps keys that
// were removed, and with them Index, for a time in which removals by the store
// prove nothing.
func (m *Mirror) Apply(c carobward.Changes, hold bool) []carobward.Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var fresh []carobward.Item

	for _, it := range c.Items {
		// Up to Index the copy is complete: what it lacks was removed.
		if it.Index <= m.state.Index || it.Gone && hold {
			continue
		}

		if m.put(it) {
			fresh = append(fresh, it)
		}
	}

	// A list that is complete up to an older index says nothing of keys that it
	// lacks, and changes that begin after ours leave some out.
	if hold || c.Index < m.state.Index || !c.Whole && c.After > m.state.Index {
		return fresh
	}

	fresh = append(fresh, m.removeUnlisted(&c)...)

	if c.Whole {
		// Where the list was taken in pages, keys that went meanwhile count as
		// removed at its index, which copies at that index are not told.
		m.addGap(carobward.Gap{From: min(m.state.Index, max(c.Index, 1)-1), To: max(c.Index, c.Gap.To)})
	} else {
		m.addGap(c.Gap)
	}

	m.state.Index = c.Index
	m.state.Top = max(m.state.Top, c.Index)
	m.forget()

	return fresh
}

// put takes one item if it is newer than what is there.
func (m *Mirror) put(it carobward.Item) bool {
	old, ok := m.items[it.Key]
	if ok && old.Index >= it.Index {
		return false
	}

	if ok && old.Gone {
		m.gone--
	}

	if it.Gone {
		m.gone++
	}

	m.items[it.Key] = it
	m.state.Top = max(m.state.Top, it.Index)

	return true
}

// removeUnlisted removes the keys that were removed at the sender without that
// being among the changes. A whole list lacks them. Other changes name each key
// that changed after ours, so that a newer item which they lack is gone.
func (m *Mirror) removeUnlisted(c *carobward.Changes) []carobward.Item {
	after := carobward.StoreIndex(0)

	if !c.Whole {
		if after = m.state.Index; m.state.Top <= after {
			return nil
		}
	}

	has := make(map[carobward.Key]bool, len(c.Items))
	for i := range c.Items {
		// A removal that is older than our item stands for one that the sender
		// does not know of: there is no such key at its index.
		has[c.Items[i].Key] = !c.Items[i].Gone
	}

	var gone []carobward.Item

	for key, it := range m.items {
		if it.Gone || has[key] || it.Index <= after || it.Index > c.Index {
			continue
		}

		one := carobward.Item{Key: key, Index: c.Index, Gone: true}
		m.items[key] = one
		m.gone++
		gone = append(gone, one)
	}

	return gone
}

// addGap notes a span of the history that is not known.
func (m *Mirror) addGap(g carobward.Gap) {
	if g.IsEmpty() || g.To <= m.floor {
		return
	}

	m.gaps = append(m.gaps, g)
	if len(m.gaps) > gapsMost {
		m.floor = max(m.floor, m.gaps[0].To)
		m.gaps = m.gaps[1:]
	}
}

// forget drops the memory of removed keys once there are too many.
func (m *Mirror) forget() {
	if m.gone <= goneMost {
		return
	}

	for key, it := range m.items {
		if it.Gone {
			m.floor = max(m.floor, it.Index)
			delete(m.items, key)
		}
	}

	m.gone = 0
	m.gaps = slices.DeleteFunc(m.gaps, func(g carobward.Gap) bool { return g.To <= m.floor })
}

// Since returns the changes after an index: all keys where that is too long ago
// or in a gap.
func (m *Mirror) Since(after carobward.StoreIndex) carobward.Changes {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	out := carobward.Changes{After: after, Index: m.state.Index, Whole: m.lacks(after)}
	if out.Whole {
		after = 0
	}

	out.Gap = m.gapAfter(after)

	for _, it := range m.items {
		if out.Whole && !it.Gone || !out.Whole && it.Index > after {
			out.Items = append(out.Items, it)
		}
	}

	return out
}

// lacks tells whether removals after an index may not be known.
func (m *Mirror) lacks(after carobward.StoreIndex) bool {
	inGap := func(g carobward.Gap) bool { return g.Has(after) }

	return after == 0 || after < m.floor || slices.ContainsFunc(m.gaps, inGap)
}

// gapAfter returns one gap that covers all that begin at an index or later.
func (m *Mirror) gapAfter(after carobward.StoreIndex) carobward.Gap {
	var all carobward.Gap

	for _, g := range m.gaps {
		if g.From < after {
			continue
		}

		if all.IsEmpty() {
			all = g
		}

		all.From, all.To = min(all.From, g.From), max(all.To, g.To)
	}

	return all
}
