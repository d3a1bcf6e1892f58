package cwmirror

import (
	"time"

	"carobward.example/carobward"
)

// held describes why a kept item is effective in place of the store's: the store has executed
// another write than the newest one of the server that owns the key. A write whose answer was lost
// may be executed seconds later, after newer ones and after the removal of the key.
type held struct {
	// first is the rank from which the server would go on, since is when it came.
	first carobward.Rank
	since time.Time
}

const (
	// maxLateness is how late the store executes a write at most. A server that still writes lower
	// numbers after that has begun to count anew, whatever its reason.
	maxLateness = 8 * time.Second
	// nextHeartbeat is after how many heartbeats a value counts as the next one that its server
	// wrote: several late writes may come at once.
	nextHeartbeat = 0.5
)

// holdLate keeps the effective item of a server's entry if the store's new value may be one that
// was executed late: it is older by its server's count, or the key was removed and the same process
// seems to write it again.
func (m *Mirror) holdLate(r *record, now time.Time) {
	it, rank := r.Item, r.own
	if !m.IsBackend(it.Key) || !m.has(it.Key) {
		return
	}

	was := m.effective(it.Key)
	newest := m.effectiveRank(was)

	switch {
	case rank.Before(newest):
		m.holdOlder(m.keptOr(was, newest, now), rank, it, now)
	case was.Deleted && isLaterWrite(newest, rank):
		m.holdReturn(m.kept[it.Key], was, rank, newest, it, now)
	}
}

// keptOr returns the kept item of a key, which is the given one if there is none yet.
func (m *Mirror) keptOr(was carobward.Item, rank carobward.Rank, now time.Time) *kept {
	if m.kept[was.Key] == nil {
		m.keep(was, rank, now)
	}

	return m.kept[was.Key]
}

// holdOlder holds back a value that is older than the kept one, until its server goes on from there.
func (m *Mirror) holdOlder(k *kept, rank carobward.Rank, it carobward.Item, now time.Time) {
	switch {
	case k.held == nil || rank.Before(k.held.first):
		m.hold(k, rank, it, now)
	case k.held.first.Before(rank) && now.Sub(k.held.since) >= m.holdTime(rank, k.rank):
		m.release(k, it)
	}
}

// holdReturn holds back the first value with which the process of a removed key seems to return. The
// next one shows that it is alive.
func (m *Mirror) holdReturn(k *kept, was carobward.Item, rank, newest carobward.Rank, it carobward.Item, now time.Time) {
	switch {
	case k == nil:
		m.hold(m.keptOr(was, newest, now), rank, it, now)
	case k.held == nil:
		// The removal is kept since the store came back from a backup, not because of a late value.
	case !k.rank.Before(k.held.first):
		m.hold(k, rank, it, now)
	case k.held.first.Before(rank):
		m.release(k, it)
	}
}

// hold begins to hold the store's values of a key back.
func (m *Mirror) hold(k *kept, rank carobward.Rank, it carobward.Item, now time.Time) {
	k.held = &held{first: rank, since: now}

	// Another writer may write the same value again and again.
	r := m.items[k.Key]
	if r.noted == k.rank {
		return
	}

	r.noted = k.rank
	m.items[k.Key] = r

	m.Log.Info("A server's entry is held back: it may be a write that the store executed late.", "key", it.Key, "index", it.Index,
		"start", rank.Start, "write", rank.Write, "newest", k.rank.Write, "removed", k.Deleted)
}

// holdTime returns for how long a server's lower numbers are held back. One that is too far behind to be
// late is held back until the next one shows that its server goes on from there.
func (m *Mirror) holdTime(rank, newest carobward.Rank) time.Duration {
	next := time.Duration(nextHeartbeat * float64(m.Heartbeat))
	if rank.Start != newest.Start || m.Heartbeat <= 0 {
		return maxLateness
	}

	if missed := newest.Write - rank.Write; missed > uint64(maxLateness/m.Heartbeat)+1 {
		return next
	}

	return maxLateness
}

// isLaterWrite reports whether a value is a later one of the same process.
func isLaterWrite(of, value carobward.Rank) bool { return of.Before(value) && of.Start == value.Start }

// has reports whether anything is known of a key.
func (m *Mirror) has(key carobward.Key) bool {
	_, known := m.items[key]

	return known || m.kept[key] != nil
}

// release ends the hold of a key. What peers still keep of it doesn't take effect here again.
func (m *Mirror) release(k *kept, it carobward.Item) {
	delete(m.kept, k.Key)

	r := m.items[k.Key]
	r.released = k.rank
	m.items[k.Key] = r

	m.Log.Info("A server's entry that was held back takes effect: the server goes on writing.", "key", k.Key, "index", it.Index,
		"newest", k.rank.Write, "first", k.held.first.Write)
}
