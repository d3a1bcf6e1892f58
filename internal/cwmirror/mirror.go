// Package cwmirror keeps an entry VM's replica of the keys of the platform's store that entry VMs
// follow. Entry VMs update each other from their replicas, so that only a few of them query the
// store. Items that the store has acknowledged stay effective if the store is restored from a
// backup without them.
package cwmirror

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
)

// Bounds of the history that is kept for peers. A peer that is further behind gets all keys.
const (
	// maxTombstones bounds the removed keys. It is enough for some minutes in which all servers are
	// replaced.
	maxTombstones = 512
	// maxGaps bounds the gaps. One is added with each list of all keys and with each fetch from a
	// replica that has gaps.
	maxGaps = 16
)

// State describes how up to date a replica is.
type State struct {
	// Era is the store's era, to which the indexes belong.
	Era carobward.StoreEra
	// Index is the store's index up to which the replica is complete.
	Index carobward.StoreIndex
	// Top is the index of the newest change in the replica, which may be beyond Index.
	Top carobward.StoreIndex
	// Version is the version of the operators' configuration, which may be newer than the store's.
	Version carobward.Version
	// Kept is the number of items that are effective in place of the store's. Behind doesn't
	// consider it.
	Kept int
}

// Behind reports whether the replica lacks changes that another one has.
func (s State) Behind(other State) bool {
	if s.Era != other.Era {
		return s.Era < other.Era
	}

	return s.Index < other.Index || s.Top < other.Top || s.Version < other.Version
}

// Options describe the keys of the store to a Mirror.
type Options struct {
	// Rank returns the rank of a value.
	Rank func(carobward.Key, []byte) carobward.Rank
	// Retention returns for how long an item stays effective after the store was restored without
	// it.
	Retention func(carobward.Item) time.Duration
	// Heartbeat is the interval at which a server writes its entry.
	Heartbeat time.Duration
	// Log gets a line for each entry that is held back and each that takes effect after that.
	Log logr.Logger
	// IsRouting reports whether a key holds the operators' configuration, IsBackend whether it
	// holds a server's entry.
	IsRouting func(carobward.Key) bool
	IsBackend func(carobward.Key) bool
}

// record is one key of the store in the replica.
type record struct {
	carobward.Item

	// own is the rank of the value.
	own carobward.Rank
	// rank is the rank of the last value that had one, for a value without one and for a removed
	// key.
	rank carobward.Rank
	// noted is the rank of the effective value when the log last said that others are held back.
	noted carobward.Rank
	// released is the rank up to which peers' kept items don't take effect any more.
	released carobward.Rank
}

// Mirror is a replica of the store. Within an era, the index of each key only grows.
type Mirror struct {
	Options

	// delivery is held while changes are applied and passed on, so that they are passed on in the
	// order in which they were applied.
	delivery sync.Mutex

	mutex      sync.Mutex
	items      map[carobward.Key]record
	tombstones int
	// floor is the index before which removed keys are not remembered; gaps are the spans after it
	// in which removals may be unknown.
	floor carobward.StoreIndex
	gaps  []carobward.Gap
	state State
	// origin describes how the replica entered its era.
	origin origin
	// kept holds the items that are effective in place of the store's.
	kept map[carobward.Key]*kept
	// holdEnd is until when removals of servers' entries are held back.
	holdEnd time.Time
}

// New returns an empty replica.
func New(o Options) *Mirror {
	return &Mirror{Options: o, items: map[carobward.Key]record{}, kept: map[carobward.Key]*kept{}}
}

// State returns how up to date the replica is.
func (m *Mirror) State() State {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	s := m.state
	s.Kept = len(m.kept)

	return s
}

// Get returns the effective value of a key, or nil.
func (m *Mirror) Get(key carobward.Key) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.effective(key).Value
}

// ApplyAndNotify applies changes as Apply does and passes the items that took effect to changed, in
// the order in which they were applied: otherwise an older entry of a server could replace a newer
// one that came from elsewhere at the same moment. It returns the number of items.
func (m *Mirror) ApplyAndNotify(c carobward.Changes, now time.Time, changed func([]carobward.Item)) int {
	m.delivery.Lock()
	defer m.delivery.Unlock()

	fresh := m.Apply(c, now)
	changed(fresh)

	return len(fresh)
}

// Apply applies changes and returns the items that took effect. Changes of an earlier era are
// ignored. A later era has to begin with all keys, or with changes from exactly the state of this
// replica.
func (m *Mirror) Apply(c carobward.Changes, now time.Time) []carobward.Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if c.HoldDeletes > 0 {
		m.holdUntil(now.Add(c.HoldDeletes))
	}

	var fresh []carobward.Item

	switch {
	case c.Era < m.state.Era:
		return nil
	case c.Era > m.state.Era && m.state.Top > 0:
		if !m.canEnter(&c) {
			return nil
		}

		fresh = m.enterEra(&c, now)
	case crosses(&c):
		return nil
	default:
		m.state.Era = c.Era
		fresh = m.advance(&c, now)
	}

	fresh = append(fresh, m.mergeKept(c.Retained, now)...)
	m.updateVersion(fresh)

	return fresh
}

// updateVersion records the version of a configuration that took effect.
func (m *Mirror) updateVersion(fresh []carobward.Item) {
	for i := range fresh {
		if it := &fresh[i]; m.IsRouting(it.Key) && !it.Deleted {
			m.state.Version = max(m.state.Version, carobward.Version(m.Rank(it.Key, it.Value).Write))
		}
	}
}

// advance applies changes of the replica's era.
func (m *Mirror) advance(c *carobward.Changes, now time.Time) []carobward.Item {
	var fresh []carobward.Item

	for _, it := range c.Items {
		// The replica is complete up to Index: a key that it lacks was removed.
		if it.Index > m.state.Index && m.put(it, now) && m.takesEffect(it, now) {
			fresh = append(fresh, it)
		}
	}

	// A list that is complete up to an older index doesn't show that the keys it lacks were
	// removed, and changes that begin after this replica's index are incomplete for it.
	if c.Index < m.state.Index || !c.Full && c.After > m.state.Index {
		return fresh
	}

	fresh = append(fresh, m.removeUnlisted(c, now)...)

	if c.Full {
		// Keys that were removed while the list was read page by page count as removed at its
		// index, and replicas at that index don't get the removals.
		m.addGap(carobward.Gap{From: min(m.state.Index, max(c.Index, 1)-1), To: max(c.Index, c.Gap.To)})
	} else {
		m.addGap(c.Gap)
	}

	m.state.Index = c.Index
	m.state.Top = max(m.state.Top, c.Index)
	m.pruneTombstones()

	return fresh
}

// put applies one item if it is newer than the replica's.
func (m *Mirror) put(it carobward.Item, now time.Time) bool {
	old, ok := m.items[it.Key]
	if ok && old.Index >= it.Index {
		return false
	}

	m.set(it, now)

	return true
}

// set replaces one item of the replica.
func (m *Mirror) set(it carobward.Item, now time.Time) {
	old, ok := m.items[it.Key]
	if ok && old.Deleted {
		m.tombstones--
	}

	next := m.newRecord(it)
	next.rank = m.effectiveRank(it)

	if !it.Deleted {
		m.holdLate(&next, now)
	} else {
		m.tombstones++

		if ok && !old.Deleted {
			m.keepRemoved(&old, now)
		}
	}

	last := m.items[it.Key]
	next.released, next.noted = last.released, last.noted
	m.items[it.Key] = next
	m.state.Top = max(m.state.Top, it.Index)
}

// newRecord returns the record of an item with its rank.
func (m *Mirror) newRecord(it carobward.Item) record {
	r := record{Item: it}
	if !it.Deleted {
		r.own = m.Rank(it.Key, it.Value)
	}

	return r
}

// rankOf returns the rank of a value. For a removal, and for a value that can't be ordered, it is the
// rank of the last value before it.
func (m *Mirror) rankOf(r record) carobward.Rank {
	if r.Deleted || r.Index == 0 {
		return r.rank
	}

	if r.own == (carobward.Rank{}) || r.own.Start == 0 && r.rank.Start != 0 {
		return r.rank
	}

	return r.own
}

// removeUnlisted removes the keys that the sender doesn't have but that the changes don't name as
// removed. A list of all keys lacks them. Other changes name each key that changed after this replica's index,
// so that a newer item that they don't name was removed.
func (m *Mirror) removeUnlisted(c *carobward.Changes, now time.Time) []carobward.Item {
	after := carobward.StoreIndex(0)

	if !c.Full {
		if after = m.state.Index; m.state.Top <= after {
			return nil
		}
	}

	has := make(map[carobward.Key]bool, len(c.Items))
	for i := range c.Items {
		// A key that the sender lists as removed doesn't exist at its index. If that removal is
		// older than this replica's item, the sender doesn't know of a later one.
		has[c.Items[i].Key] = !c.Items[i].Deleted
	}

	var removed []carobward.Item

	for key, it := range m.items {
		if it.Deleted || has[key] || it.Index <= after || it.Index > c.Index {
			continue
		}

		one := carobward.Item{Key: key, Index: c.Index, Deleted: true}
		m.set(one, now)

		if m.takesEffect(one, now) {
			removed = append(removed, one)
		}
	}

	return removed
}

// addGap records a span of the history that is not known.
func (m *Mirror) addGap(g carobward.Gap) {
	if g.IsEmpty() || g.To <= m.floor {
		return
	}

	m.gaps = append(m.gaps, g)
	if len(m.gaps) > maxGaps {
		m.floor = max(m.floor, m.gaps[0].To)
		m.gaps = m.gaps[1:]
	}
}

// pruneTombstones drops all removed keys once there are too many.
func (m *Mirror) pruneTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}

	for key, it := range m.items {
		if it.Deleted {
			m.floor = max(m.floor, it.Index)
			delete(m.items, key)
		}
	}

	m.tombstones = 0
	m.gaps = slices.DeleteFunc(m.gaps, func(g carobward.Gap) bool { return g.To <= m.floor })
}
