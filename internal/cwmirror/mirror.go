// Package cwmirror keeps a copy of the keys of the platform's store that entry
// VMs follow. Entry VMs bring each other up to date from their copies, so that
// a few of them have to ask the store. What the store acknowledged stays in force
// though the store itself comes back without it.
package cwmirror

import (
	"slices"
	"sync"
	"time"

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
	// Era is the store's, and that of the indexes.
	Era carobward.StoreEra
	// Index is the store's index up to which the copy is complete.
	Index carobward.StoreIndex
	// Top is the index of the newest change in the copy, which may be beyond Index.
	Top carobward.StoreIndex
	// Version is that of the operators' configuration, which may be newer than the
	// store's.
	Version carobward.Version
	// Kept is how many items are in force in place of the store's. It is no part of how
	// far a copy is.
	Kept int
}

// Behind tells whether a copy lacks what another one has.
func (s State) Behind(other State) bool {
	if s.Era != other.Era {
		return s.Era < other.Era
	}

	return s.Index < other.Index || s.Top < other.Top || s.Version < other.Version
}

// Options are what a Mirror needs to know of keys.
type Options struct {
	// Rank returns the rank of a value.
	Rank func(carobward.Key, []byte) carobward.Rank
	// Stay returns for how long an item stays in force that a store came back without.
	Stay func(carobward.Item) time.Duration
	// IsRouting tells whether a key has the operators' configuration, IsBackend whether
	// it has a server's entry.
	IsRouting func(carobward.Key) bool
	IsBackend func(carobward.Key) bool
}

// record is one key of the store as the copy has it.
type record struct {
	carobward.Item

	// rank is that of the last value of a removed key.
	rank carobward.Rank
}

// Mirror is the copy. Within an era of the store each key only moves forward.
type Mirror struct {
	Options

	// order keeps those who follow the copy in the order of its changes.
	order sync.Mutex

	mutex sync.Mutex
	items map[carobward.Key]record
	gone  int
	// floor is the index before which removed keys are not remembered, gaps has
	// the spans after it in which they may not be known.
	floor carobward.StoreIndex
	gaps  []carobward.Gap
	state State
	// origin is how the copy came into its era.
	origin origin
	// kept has the items that are in force in place of the store's.
	kept map[carobward.Key]*kept
	// hold is until when removals by the store prove nothing.
	hold time.Time
}

// New returns an empty copy.
func New(o Options) *Mirror {
	return &Mirror{Options: o, items: map[carobward.Key]record{}, kept: map[carobward.Key]*kept{}}
}

// State returns how far the copy is.
func (m *Mirror) State() State {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	s := m.state
	s.Kept = len(m.kept)

	return s
}

// Get returns the value of a key that is in force, or nil.
func (m *Mirror) Get(key carobward.Key) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.inForce(key).Value
}

// Take takes changes as Apply does and hands those that were new on. They are
// handed on in the order in which they were taken: without that an older entry of
// a server could replace a newer one that came from elsewhere at the same moment.
func (m *Mirror) Take(c carobward.Changes, now time.Time, changed func([]carobward.Item)) int {
	m.order.Lock()
	defer m.order.Unlock()

	fresh := m.Apply(c, now)
	changed(fresh)

	return len(fresh)
}

// Apply takes changes and returns the items that came into force. Those of an earlier era
// are passed over; a later era begins with all keys, or with changes from just this copy.
func (m *Mirror) Apply(c carobward.Changes, now time.Time) []carobward.Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if c.Hold > 0 {
		m.holdUntil(now.Add(c.Hold))
	}

	var fresh []carobward.Item

	switch {
	case c.Era < m.state.Era:
		return nil
	case c.Era > m.state.Era && m.state.Top > 0:
		if !m.leadsOn(&c) {
			return nil
		}

		fresh = m.enter(&c, now)
	case crosses(&c):
		return nil
	default:
		m.state.Era = c.Era
		fresh = m.advance(&c, now)
	}

	fresh = append(fresh, m.merge(c.Kept, now)...)
	m.noteVersion(fresh)

	return fresh
}

// noteVersion notes the version of a configuration that came into force.
func (m *Mirror) noteVersion(fresh []carobward.Item) {
	for i := range fresh {
		if it := &fresh[i]; m.IsRouting(it.Key) && !it.Gone {
			m.state.Version = max(m.state.Version, carobward.Version(m.Rank(it.Key, it.Value).Write))
		}
	}
}

// advance takes changes of the copy's era.
func (m *Mirror) advance(c *carobward.Changes, now time.Time) []carobward.Item {
	var fresh []carobward.Item

	for _, it := range c.Items {
		// Up to Index the copy is complete: what it lacks was removed.
		if it.Index > m.state.Index && m.put(it, now) {
			fresh = append(fresh, it)
		}
	}

	// A list that is complete up to an older index says nothing of keys that it
	// lacks, and changes that begin after ours leave some out.
	if c.Index < m.state.Index || !c.Whole && c.After > m.state.Index {
		return m.shade(fresh, now)
	}

	fresh = append(fresh, m.removeUnlisted(c, now)...)

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

	return m.shade(fresh, now)
}

// put takes one item if it is newer than what is there.
func (m *Mirror) put(it carobward.Item, now time.Time) bool {
	old, ok := m.items[it.Key]
	if ok && old.Index >= it.Index {
		return false
	}

	m.set(it, now)

	return true
}

// set replaces one item of the copy.
func (m *Mirror) set(it carobward.Item, now time.Time) {
	old, ok := m.items[it.Key]
	if ok && old.Gone {
		m.gone--
	}

	next := record{Item: it}

	if it.Gone {
		m.gone++
		next.rank = m.rankInForce(it)

		if ok && !old.Gone {
			m.keepRemoved(old.Item, now)
		}
	}

	m.items[it.Key] = next
	m.state.Top = max(m.state.Top, it.Index)
}

// rankOf returns the rank of a value, or of the last one of a removed key.
func (m *Mirror) rankOf(r record) carobward.Rank {
	if r.Gone || r.Index == 0 {
		return r.rank
	}

	return m.Rank(r.Key, r.Value)
}

// removeUnlisted removes the keys that were removed at the sender without that
// being among the changes. A whole list lacks them. Other changes name each key
// that changed after ours, so that a newer item which they lack is gone.
func (m *Mirror) removeUnlisted(c *carobward.Changes, now time.Time) []carobward.Item {
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
		m.set(one, now)
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
