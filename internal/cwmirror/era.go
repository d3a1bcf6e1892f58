package cwmirror

import (
	"bytes"
	"time"

	"carobward.example/carobward"
)

// ReregisterTime is for how long after an outage or a restore of the store the entries of live
// servers may be missing from it. Servers write their entries again within about two seconds, and
// the change then has to reach this entry VM.
const ReregisterTime = 2200 * time.Millisecond

// origin describes how a replica entered its era: from which state, at which index of the new era,
// and with which keys changed. A replica at that same state needs only these keys to follow.
type origin struct {
	from  State
	index carobward.StoreIndex
	keys  map[carobward.Key]struct{}
}

// matches reports whether a replica at state s can enter the era with the keys of this origin.
func (o *origin) matches(s State) bool {
	return o.index > 0 && o.from.Era == s.Era && o.from.Index == s.Index
}

// crosses reports whether changes lead from one era into another.
func crosses(c *carobward.Changes) bool { return !c.Full && c.AfterEra != 0 && c.AfterEra != c.Era }

// canEnter reports whether changes bring this replica into their era.
func (m *Mirror) canEnter(c *carobward.Changes) bool {
	return c.Full || c.AfterEra == m.state.Era && c.After == m.state.Index && m.state.Top == m.state.Index
}

// enterEra moves the replica into another era after the store was restored from a backup. Indexes
// of the new era can't be compared with those of earlier ones, and for a while a key that the store
// lacks doesn't count as removed.
func (m *Mirror) enterEra(c *carobward.Changes, now time.Time) []carobward.Item {
	before, old := m.state, m.items

	m.items, m.tombstones, m.gaps, m.floor = map[carobward.Key]record{}, 0, nil, 0
	m.state = State{Era: c.Era, Index: c.Index, Top: c.Index, Version: before.Version}
	m.holdUntil(now.Add(ReregisterTime))

	if !c.Full {
		for key, it := range old {
			if !it.Deleted {
				m.items[key] = it
			}
		}
	}

	for _, it := range c.Items {
		if it.Deleted {
			delete(m.items, it.Key)

			continue
		}

		m.items[it.Key] = m.newRecord(it)
		m.state.Top = max(m.state.Top, it.Index)
	}

	m.addGap(carobward.Gap{To: max(c.Index, c.Gap.To)})
	m.setOrigin(before, old)

	return m.keepLost(old, now)
}

// setOrigin records which keys changed on entering the era, for replicas that were at the same
// state. A replica with items beyond its index has no origin, because no other replica is sure to
// have the same items.
func (m *Mirror) setOrigin(before State, old map[carobward.Key]record) {
	m.origin = origin{}

	if before.Top != before.Index {
		return
	}

	m.origin = origin{from: before, index: m.state.Index, keys: map[carobward.Key]struct{}{}}

	for key, it := range old {
		if !it.Deleted && !m.hasItem(it.Item) {
			m.origin.keys[key] = struct{}{}
		}
	}

	for key, it := range m.items {
		if was, ok := old[key]; !ok || was.Deleted || was.Index != it.Index {
			m.origin.keys[key] = struct{}{}
		}
	}
}

// hasItem reports whether the replica has the item with the same index and value.
func (m *Mirror) hasItem(it carobward.Item) bool {
	current, ok := m.items[it.Key]

	return ok && current.Index == it.Index && bytes.Equal(current.Value, it.Value)
}

// keepLost keeps items that were effective before the era began and that the store has lost, or
// has again although they were removed. It returns the items that take effect.
func (m *Mirror) keepLost(old map[carobward.Key]record, now time.Time) []carobward.Item {
	var fresh []carobward.Item

	for key, k := range m.kept {
		r := m.newRecord(k.Item)
		r.rank = k.rank
		old[key] = r
	}

	for _, was := range old {
		if it, ok := m.reconcile(was, now); ok {
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

// reconcile keeps the item that was effective under a key, or returns the store's item if that one
// takes effect.
func (m *Mirror) reconcile(was record, now time.Time) (carobward.Item, bool) {
	current, exists := m.items[was.Key]
	rank := m.rankOf(was)

	switch {
	case was.Deleted && !exists:
		// The key may exist again in the next era.
		delete(m.kept, was.Key)
		m.addTombstone(was.Key, rank)
	case was.Deleted && !rank.Before(m.rankOf(current)), !was.Deleted && !exists, !was.Deleted && m.rankOf(current).Before(rank):
		m.keep(was.Item, rank, now.Add(m.Retention(was.Item)))
	case was.Deleted || !bytes.Equal(was.Value, current.Value):
		delete(m.kept, was.Key)

		return current.Item, true
	default:
		delete(m.kept, was.Key)
	}

	return carobward.Item{}, false
}
