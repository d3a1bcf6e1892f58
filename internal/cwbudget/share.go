package cwbudget

import "time"

// MaxProbeBytes is the largest size of one probe in bytes, sent and received. A
// budget that does not allow each entry VM one such probe per second is divided
// by time.
const MaxProbeBytes = 1 << 10

// The turns of a budget that is divided by time: an entry VM may start probes
// for turnOpen from the start of its turn. Two entry VMs with different turns
// never spend within the same second as long as their clocks differ by less than
// turnLength - turnOpen - probe timeout (half a second) - 1 s.
const (
	turnLength = 3 * time.Second
	turnOpen   = 500 * time.Millisecond
)

// share is what one entry VM may spend: limit within any second, or, if there is
// more than one turn, limit within each of its own turns.
type share struct {
	limit Cost
	turns int64
	rank  int64
}

// newShare divides the budget by the size plus some headroom.
func newShare(v View) share {
	size := int64(max(1, v.Size))
	size += (size + headroomDivisor - 1) / headroomDivisor
	b := v.Budget

	if b.Calls < 1 || b.Bytes < MaxProbeBytes {
		return share{}
	}

	limit := Cost{b.Calls / size, b.Bytes / size}
	if limit.Calls >= 1 && limit.Bytes >= MaxProbeBytes {
		return share{limit: limit, turns: 1}
	}

	// A power of two, so that the turns of entry VMs that see different sizes
	// nest within each other.
	units := min(b.Calls, b.Bytes/MaxProbeBytes)
	turns := int64(1)

	for size > turns*units {
		turns *= 2
	}

	return share{limit: Cost{Calls: 1, Bytes: MaxProbeBytes}, turns: turns, rank: int64(v.Rank)}
}

// inTurn reports whether it is this entry VM's turn by its wall clock. If there
// is only one turn, it always is.
func (s share) inTurn(now time.Time) bool {
	if s.turns <= 1 {
		return s.turns == 1
	}

	nanos := now.UnixNano()
	turn := nanos / int64(turnLength)

	return turn%s.turns == s.rank%s.turns && nanos%int64(turnLength) < int64(turnOpen)
}

// period is the time in which limit may be spent.
func (s share) period() time.Duration {
	if s.turns > 1 {
		return turnLength
	}

	return time.Second
}

// MaxSettleAhead is how far in the future a reservation may be settled.
const MaxSettleAhead = 2 * time.Second

// bucketLength and buckets are the dimensions of a window. A sum over a period
// reads all buckets that overlap with it.
const (
	bucketLength = 50 * time.Millisecond
	buckets      = int((turnLength+MaxSettleAhead)/bucketLength) + 2
)

// window is a ring of buckets that counts what was spent recently. indexes has
// for each bucket the number of the interval that it counts.
type window struct {
	epoch   time.Time
	costs   [buckets]Cost
	indexes [buckets]int64
}

func (w *window) index(t time.Time) int64 {
	if w.epoch.IsZero() {
		// An hour earlier, because times before the first one may follow.
		w.epoch = t.Add(-time.Hour)
	}

	return int64(t.Sub(w.epoch) / bucketLength)
}

func (w *window) add(t time.Time, c Cost) {
	i := w.index(t)
	at := int(i % int64(buckets))

	if w.indexes[at] != i {
		w.indexes[at], w.costs[at] = i, Cost{}
	}

	w.costs[at] = w.costs[at].Plus(c)
}

// sum returns what was spent in the span before t, plus what was settled for
// times after t.
func (w *window) sum(t time.Time, span time.Duration) Cost {
	first := w.index(t) - int64(span/bucketLength)

	var all Cost

	for at := range buckets {
		if w.indexes[at] >= first {
			all = all.Plus(w.costs[at])
		}
	}

	return all
}

// sizes is a monotonic queue to find the highest recent size: each entry is
// lower and later than the one before it.
type sizes []sizeAt

type sizeAt struct {
	size int
	at   time.Time
}

func (s *sizes) add(now time.Time, size int) {
	for n := len(*s); n > 0 && (*s)[n-1].size <= size; n-- {
		*s = (*s)[:n-1]
	}

	*s = append(*s, sizeAt{size, now})
}

func (s *sizes) highest(now time.Time) int {
	list := *s
	for len(list) > 1 && now.Sub(list[0].at) > maxSizeAge {
		list = list[1:]
	}

	*s = list

	return list[0].size
}
