package cwmirror

import (
	"time"

	"carobward.example/carobward"
)

// kept is an item that is in force in place of the store's.
type kept struct {
	carobward.Item

	rank carobward.Rank
	// until is when what the store has counts, unless that is older.
	until time.Time
}

// Hold notes that the store is back after an outage, in which entries of servers that live
// may have lapsed: removals of servers prove nothing for a while.
func (m *Mirror) Hold(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.holdUntil(now.Add(LapseTime))
}

func (m *Mirror) holdUntil(until time.Time) {
	if until.After(m.hold) {
		m.hold = until
	}
}

// Held returns for how much longer removals are held back.
func (m *Mirror) Held(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return max(0, m.hold.Sub(now))
}

// Kept returns the items that are in force in place of the store's.
func (m *Mirror) Kept(now time.Time) []carobward.Kept {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var list []carobward.Kept

	for _, k := range m.kept {
		list = append(list, carobward.Kept{Item: k.Item, Rank: k.rank, For: max(0, k.until.Sub(now))})
	}

	return list
}

// Sweep hands on what comes into force since the time of kept items is over.
func (m *Mirror) Sweep(now time.Time, changed func([]carobward.Item)) int {
	m.order.Lock()
	defer m.order.Unlock()

	fresh := m.release(now)
	if len(fresh) > 0 {
		changed(fresh)
	}

	return len(fresh)
}

// release gives up kept items whose time is over, but for those of which the store has an
// older value, and returns what comes into force.
func (m *Mirror) release(now time.Time) []carobward.Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var fresh []carobward.Item

	for key, k := range m.kept {
		is := m.items[key]
		there := is.Index > 0 && !is.Gone

		if now.Before(k.until) || there && m.rankOf(is).Before(k.rank) {
			continue
		}

		m.drop(k)

		if it := m.inForce(key); it.Gone != k.Gone || there {
			fresh = append(fresh, it)
		}
	}

	m.noteVersion(fresh)

	return fresh
}

// drop gives up a kept item. That it was there, and is gone, is remembered as if the store
// had said so.
func (m *Mirror) drop(k *kept) {
	delete(m.kept, k.Key)

	if is := m.items[k.Key]; is.Index == 0 && !k.Gone {
		m.remember(k.Key, k.rank)
	}
}

// remember notes that a key of which the store says nothing was there, and is gone.
func (m *Mirror) remember(key carobward.Key, rank carobward.Rank) {
	m.items[key] = record{Item: carobward.Item{Key: key, Index: m.state.Index, Gone: true}, rank: rank}
	m.gone++
}

// inForce returns the item of a key that is in force.
func (m *Mirror) inForce(key carobward.Key) carobward.Item {
	if k := m.kept[key]; k != nil {
		return k.Item
	}

	if it, ok := m.items[key]; ok {
		return it.Item
	}

	return carobward.Item{Key: key, Index: m.state.Index, Gone: true}
}

// keepRemoved keeps a server's entry that is removed while that proves nothing.
func (m *Mirror) keepRemoved(it carobward.Item, now time.Time) {
	if m.mayLapse(it.Key, now) && m.kept[it.Key] == nil {
		m.keep(it, m.Rank(it.Key, it.Value), m.hold)
	}
}

// mayLapse tells whether a removal proves nothing. Only servers' entries have an end of
// their own.
func (m *Mirror) mayLapse(key carobward.Key, now time.Time) bool {
	return m.IsBackend(key) && now.Before(m.hold)
}

func (m *Mirror) keep(it carobward.Item, rank carobward.Rank, until time.Time) {
	if k := m.kept[it.Key]; k != nil && k.until.After(until) {
		until = k.until
	}

	m.kept[it.Key] = &kept{Item: it, rank: rank, until: until}
}

// shade returns those of the items that the store changed which come into force. What is
// kept gives way to a value that is not older, and to a removal that proves something.
func (m *Mirror) shade(fresh []carobward.Item, now time.Time) []carobward.Item {
	var list []carobward.Item

	for _, it := range fresh {
		k := m.kept[it.Key]

		if k != nil {
			if it.Gone && !k.Gone && m.mayLapse(it.Key, now) || !it.Gone && m.Rank(it.Key, it.Value).Before(k.rank) {
				continue
			}

			delete(m.kept, it.Key)
		}

		list = append(list, it)
	}

	return list
}

// merge takes what a peer keeps where this copy has nothing newer.
func (m *Mirror) merge(list []carobward.Kept, now time.Time) []carobward.Item {
	var fresh []carobward.Item

	for i := range list {
		theirs := &list[i]
		ours := m.inForce(theirs.Key)

		if !m.isNews(theirs, ours) {
			continue
		}

		m.keep(theirs.Item, theirs.Rank, now.Add(theirs.For))
		fresh = append(fresh, theirs.Item)
	}

	return fresh
}

// isNews tells whether what a peer keeps is newer than what is in force here.
func (m *Mirror) isNews(theirs *carobward.Kept, ours carobward.Item) bool {
	rank := m.rankInForce(ours)

	switch {
	case theirs.For == 0 && !rank.Before(theirs.Rank):
		return false // Its time is over; it stays no longer than the next look at it.
	case theirs.Gone:
		return !ours.Gone && !theirs.Rank.Before(rank)
	case ours.Gone:
		// What was removed here as well, or is held back no more, must not come back.
		_, known := m.items[theirs.Key]

		return !known || rank.Before(theirs.Rank)
	default:
		return rank.Before(theirs.Rank)
	}
}

// rankInForce returns the rank of the item of a key that is in force.
func (m *Mirror) rankInForce(it carobward.Item) carobward.Rank {
	if k := m.kept[it.Key]; k != nil {
		return k.rank
	}

	return m.rankOf(m.items[it.Key])
}
