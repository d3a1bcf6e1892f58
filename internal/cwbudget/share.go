package cwbudget

import "time"

// Unit is the largest cost of one probe. A budget that does not hold one a
// second for each entry VM is divided by time.
const Unit = 1 << 10

// The turns of a budget that is divided by time. Two entry VMs with different
// turns never spend within the same second as long as their clocks differ by
// less than turnLength - turnOpen - probe timeout (half a second) - 1 s.
const (
	turnLength = 3 * time.Second
	turnOpen   = 500 * time.Millisecond
)

// share is what one entry VM may spend: most within any second, and that only
// in its turns if there is more than one.
type share struct {
	most  Cost
	turns int64
	rank  int64
}

// newShare divides the budget by the size and some headroom.
func newShare(v View) share {
	size := int64(max(1, v.Size))
	size += (size + headroom - 1) / headroom
	b := v.Budget

	if b.Calls < 1 || b.Bytes < Unit {
		return share{}
	}

	most := Cost{b.Calls / size, b.Bytes / size}
	if most.Calls >= 1 && most.Bytes >= Unit {
		return share{most: most, turns: 1}
	}

	// A power of two, so that the turns of VMs which see different sizes
	// nest.
	units := min(b.Calls, b.Bytes/Unit)
	turns := int64(1)

	for size > turns*units {
		turns *= 2
	}

	return share{most: Cost{Calls: 1, Bytes: Unit}, turns: turns, rank: int64(v.Rank)}
}

// open tells whether it is this entry VM's turn, by the machine's clock.
func (s share) open(now time.Time) bool {
	if s.turns <= 1 {
		return s.turns == 1
	}

	nanos := now.UnixNano()
	turn := nanos / int64(turnLength)

	return turn%s.turns == s.rank%s.turns && nanos%int64(turnLength) < int64(turnOpen)
}

// span is the time in which most may be spent.
func (s share) span() time.Duration {
	if s.turns > 1 {
		return turnLength
	}

	return time.Second
}

// LateMost is how far ahead of now a reservation may be settled.
const LateMost = 2 * time.Second

// bucketLength and buckets make the window: any second lies within the
// buckets that a sum over it reads.
const (
	bucketLength = 50 * time.Millisecond
	buckets      = int((turnLength+LateMost)/bucketLength) + 2
)

// window counts what was spent lately.
type window struct {
	epoch time.Time
	cost  [buckets]Cost
	place [buckets]int64
}

func (w *window) index(t time.Time) int64 {
	if w.epoch.IsZero() {
		// Room below, since a time may lie before the first one.
		w.epoch = t.Add(-time.Hour)
	}

	return int64(t.Sub(w.epoch) / bucketLength)
}

func (w *window) add(t time.Time, c Cost) {
	i := w.index(t)
	at := int(i % int64(buckets))

	if w.place[at] != i {
		w.place[at], w.cost[at] = i, Cost{}
	}

	w.cost[at] = w.cost[at].Plus(c)
}

// sum returns what was spent in the span before t and what ends after t.
func (w *window) sum(t time.Time, span time.Duration) Cost {
	first := w.index(t) - int64(span/bucketLength)

	var all Cost

	for at := range buckets {
		if w.place[at] >= first {
			all = all.Plus(w.cost[at])
		}
	}

	return all
}

// sizes remembers the highest sizes: each is lower and later than the one
// before it.
type sizes []sizeAt

type sizeAt struct {
	size int
	at   time.Time
}

func (s *sizes) note(now time.Time, size int) {
	for n := len(*s); n > 0 && (*s)[n-1].size <= size; n-- {
		*s = (*s)[:n-1]
	}

	*s = append(*s, sizeAt{size, now})
}

func (s *sizes) highest(now time.Time) int {
	list := *s
	for len(list) > 1 && now.Sub(list[0].at) > sizeKeep {
		list = list[1:]
	}

	*s = list

	return list[0].size
}
