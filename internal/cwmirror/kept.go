package cwmirror

import (
	"time"

	"carobward.example/carobward"
)

// kept is an item that is effective in place of the store's.
type kept struct {
	carobward.Item

	rank carobward.Rank
	// until is when the store's item takes effect, unless the store's value is older.
	until time.Time
	// held is set if the store's item is held back because it may be a late write.
	held *held
}

// Hold records that the store is back after an outage in which entries of live servers may have
// expired: for ReregisterTime, removals of servers' entries are held back.
func (m *Mirror) Hold(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.holdUntil(now.Add(ReregisterTime))
}

func (m *Mirror) holdUntil(until time.Time) {
	if until.After(m.holdEnd) {
		m.holdEnd = until
	}
}

// HoldRemaining returns for how much longer removals are held back.
func (m *Mirror) HoldRemaining(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return max(0, m.holdEnd.Sub(now))
}

// Kept returns the items that are effective in place of the store's.
func (m *Mirror) Kept(now time.Time) []carobward.RetainedItem {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var list []carobward.RetainedItem

	for _, k := range m.kept {
		list = append(list, carobward.RetainedItem{Item: k.Item, Rank: k.rank, Remaining: max(0, k.until.Sub(now))})
	}

	return list
}

// Sweep releases kept items whose time is over, calls changed with the items that take effect, and
// returns their number.
func (m *Mirror) Sweep(now time.Time, changed func([]carobward.Item)) int {
	m.delivery.Lock()
	defer m.delivery.Unlock()

	fresh := m.releaseExpired(now)
	if len(fresh) > 0 {
		changed(fresh)
	}

	return len(fresh)
}

// releaseExpired drops kept items whose time is over, except where the store has an older value,
// and returns the items that take effect.
func (m *Mirror) releaseExpired(now time.Time) []carobward.Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var fresh []carobward.Item

	for key, k := range m.kept {
		current := m.items[key]
		exists := current.Index > 0 && !current.Deleted

		if k.held != nil && exists || now.Before(k.until) || exists && m.rankOf(current).Before(k.rank) {
			continue
		}

		m.dropKept(k)

		if it := m.effective(key); it.Deleted != k.Deleted || exists {
			fresh = append(fresh, it)
		}
	}

	m.updateVersion(fresh)

	return fresh
}

// dropKept drops a kept item. If the store lacks its key, the key is recorded as removed.
func (m *Mirror) dropKept(k *kept) {
	delete(m.kept, k.Key)

	if current := m.items[k.Key]; current.Index == 0 && !k.Deleted {
		m.addTombstone(k.Key, k.rank)
	}
}

// addTombstone records a key that the store lacks as removed.
func (m *Mirror) addTombstone(key carobward.Key, rank carobward.Rank) {
	m.items[key] = record{Item: carobward.Item{Key: key, Index: m.state.Index, Deleted: true}, rank: rank}
	m.tombstones++
}

// effective returns the effective item of a key.
func (m *Mirror) effective(key carobward.Key) carobward.Item {
	if k := m.kept[key]; k != nil {
		return k.Item
	}

	if it, ok := m.items[key]; ok {
		return it.Item
	}

	return carobward.Item{Key: key, Index: m.state.Index, Deleted: true}
}

// keepRemoved keeps a server's entry that the store removed while removals are held back.
func (m *Mirror) keepRemoved(r *record, now time.Time) {
	if m.mayLapse(r.Key, now) && m.kept[r.Key] == nil {
		m.keep(r.Item, r.own, m.holdEnd)
	}
}

// mayLapse reports whether the removal of a key may be due to an outage of the store. Only servers'
// entries expire by themselves.
func (m *Mirror) mayLapse(key carobward.Key, now time.Time) bool {
	return m.IsBackend(key) && now.Before(m.holdEnd)
}

func (m *Mirror) keep(it carobward.Item, rank carobward.Rank, until time.Time) {
	if k := m.kept[it.Key]; k != nil && k.until.After(until) {
		until = k.until
	}

	next := &kept{Item: it, rank: rank, until: until}
	if k := m.kept[it.Key]; k != nil {
		next.held = k.held
	}

	m.kept[it.Key] = next
}

// takesEffect reports whether a changed item takes effect. A kept item is replaced by a value that is
// not older or held back, and by a removal that is not held back.
func (m *Mirror) takesEffect(it carobward.Item, now time.Time) bool {
	k := m.kept[it.Key]
	if k == nil {
		return true
	}

	rank := m.items[it.Key].own

	switch {
	case it.Deleted && !k.Deleted && m.mayLapse(it.Key, now):
		return false
	case !it.Deleted && rank.Before(k.rank):
		return false
	case !it.Deleted && k.Deleted && k.held != nil && isLaterWrite(k.rank, rank):
		return false
	default:
		delete(m.kept, it.Key)

		return true
	}
}

// mergeKept takes over the kept items of a peer where this replica has nothing newer, and returns
// them.
func (m *Mirror) mergeKept(list []carobward.RetainedItem, now time.Time) []carobward.Item {
	var fresh []carobward.Item

	for i := range list {
		theirs := &list[i]
		ours := m.effective(theirs.Key)

		if !m.isNewer(theirs, ours) {
			continue
		}

		m.keep(theirs.Item, theirs.Rank, now.Add(theirs.Remaining))
		fresh = append(fresh, theirs.Item)
	}

	return fresh
}

// isNewer reports whether an item that a peer keeps is newer than the effective item here.
func (m *Mirror) isNewer(theirs *carobward.RetainedItem, ours carobward.Item) bool {
	rank := m.effectiveRank(ours)

	switch released := m.items[theirs.Key].released; {
	case released != carobward.Rank{} && !released.Before(theirs.Rank):
		return false // Its server has gone on with lower ranks.
	case theirs.Remaining == 0 && !rank.Before(theirs.Rank):
		return false // Its time is over: the next Sweep releases it.
	case theirs.Deleted:
		return !ours.Deleted && !theirs.Rank.Before(rank)
	case ours.Deleted:
		// An item that was removed here as well, or whose removal is not held back, must not take
		// effect again.
		_, known := m.items[theirs.Key]

		return !known || rank.Before(theirs.Rank)
	default:
		return rank.Before(theirs.Rank)
	}
}

// effectiveRank returns the rank of the effective item of a key.
func (m *Mirror) effectiveRank(it carobward.Item) carobward.Rank {
	if k := m.kept[it.Key]; k != nil {
		return k.rank
	}

	return m.rankOf(m.items[it.Key])
}
