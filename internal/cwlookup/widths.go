package cwlookup

import (
	"math"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// Widths decides how many entry VMs of each failure domain are assigned to a
// target, by the request rate that this entry VM sees of it. Callers renew their
// replies at the entry VMs that are assigned to the target, so each one can
// decide by its own rate without agreement. An entry VM that is assigned only
// because the width was raised learns the width from callers, who pass the one
// of their last reply.
type Widths struct {
	table *cwpeer.Table
	// maxRate is the rate of one target, in requests per second, that one entry
	// VM should get.
	maxRate float64
	// interval is the time between two decisions, in which callers adopt the
	// last one.
	interval time.Duration

	mutex     sync.Mutex
	decidedAt time.Time
	widths    map[carobward.TargetName]int
	learned   map[carobward.TargetName]int
}

// keepTimesPerInterval is the time between two decisions, as a multiple of the
// time for which callers keep a reply.
const keepTimesPerInterval = 2

// maxLearned bounds the targets whose width is learned from callers, because
// callers may ask for any name.
const maxLearned = 4096

// NewWidths returns Widths for a rate per entry VM in requests per second and
// callers that keep replies for a time.
func NewWidths(table *cwpeer.Table, maxRate float64, keep time.Duration) *Widths {
	return &Widths{
		table:    table,
		maxRate:  maxRate,
		interval: keepTimesPerInterval * keep,
		widths:   map[carobward.TargetName]int{},
		learned:  map[carobward.TargetName]int{},
	}
}

// Interval returns the time between two decisions.
func (w *Widths) Interval() time.Duration { return w.interval }

// Of returns the width of a target for a caller whose last reply had the width
// previous, or zero. Callers may pass any number, so it is used only if this
// entry VM is assigned to the target by that width and not by its own one, and
// it is bounded by the number of entry VMs.
func (w *Widths) Of(target carobward.TargetName, previous int) int {
	self, peers := w.table.Self(), w.table.All()
	rank, previous := rankOf(peers, target, &self), min(previous, len(peers))

	w.mutex.Lock()
	defer w.mutex.Unlock()

	own := max(BaseWidth, w.widths[target])
	if rank < own || rank >= previous {
		return own
	}

	if _, known := w.learned[target]; !known && len(w.learned) >= maxLearned {
		return own
	}

	w.learned[target] = max(previous, w.learned[target])

	return previous
}

// Tick decides the widths again if it is time. The function counts returns the
// number of requests of each target since its last call.
func (w *Widths) Tick(now time.Time, counts func() map[carobward.TargetName]int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	elapsed := now.Sub(w.decidedAt)
	if elapsed < w.interval {
		return
	}

	first := w.decidedAt.IsZero()
	w.decidedAt = now

	seen := counts()
	if first {
		return
	}

	self, peers := w.table.Self(), w.table.All()
	next := map[carobward.TargetName]int{}

	for target, n := range seen {
		rate := float64(n) / elapsed.Seconds()

		if width := nextWidth(rate, w.maxRate, max(w.widths[target], w.learned[target]), rankOf(peers, target, &self)); width > BaseWidth {
			next[target] = width
		}
	}

	w.widths, w.learned = next, map[carobward.TargetName]int{}
}

// nextWidth returns the next width of a target whose requests arrive at this
// entry VM at a rate. The entry VMs within the old width get equal shares of the
// domain's requests. If one whose rank is outside the old width gets a share as
// well, callers use a larger width that includes it.
func nextWidth(rate, maxRate float64, old, rank int) int {
	shared := max(BaseWidth, old, rank+1)
	if rate < maxRate/strayDivisor {
		shared = max(BaseWidth, old)
	}

	return max(BaseWidth, int(math.Ceil(rate*float64(shared)/maxRate)))
}

// strayDivisor divides maxRate to get the lowest rate that counts as a share of
// a target's requests. A lower one comes from callers with outdated replies or
// few addresses, so it does not show that this entry VM is assigned to the
// target.
const strayDivisor = 10
