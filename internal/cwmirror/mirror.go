// Package cwmirror keeps a copy of the keys of the platform's store that entry
// VMs follow. Entry VMs bring each other up to date from their copies, so that
// a few of them have to ask the store.
package cwmirror

import (
	"sync"

	"carobward.example/carobward"
)

// goneMost bounds the removed keys that are remembered for others. A peer that
// is further behind gets all keys anew.
const goneMost = 512

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
	mutex sync.Mutex
	items map[carobward.Key]carobward.Item
	gone  int
	floor carobward.StoreIndex
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
	// lacks.
	if hold || c.Index < m.state.Index {
		return fresh
	}

	if c.Whole {
		fresh = append(fresh, m.removeOthers(c)...)
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

// removeOthers removes the keys that a whole list lacks.
func (m *Mirror) removeOthers(c carobward.Changes) []carobward.Item {
	has := make(map[carobward.Key]bool, len(c.Items))
	for i := range c.Items {
		has[c.Items[i].Key] = true
	}

	var gone []carobward.Item

	for key, it := range m.items {
		if it.Gone || has[key] || it.Index > c.Index {
			continue
		}

		one := carobward.Item{Key: key, Index: c.Index, Gone: true}
		m.items[key] = one
		m.gone++
		gone = append(gone, one)
	}

	return gone
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
}

// Since returns the changes after an index: all keys where that is too long
// ago.
func (m *Mirror) Since(after carobward.StoreIndex) carobward.Changes {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	out := carobward.Changes{Index: m.state.Index, Whole: after < m.floor || after == 0}

	for _, it := range m.items {
		if out.Whole && !it.Gone || !out.Whole && it.Index > after {
			out.Items = append(out.Items, it)
		}
	}

	return out
}
