package cwlookup

import (
	"math"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// Widths decides how many entry VMs of each failure domain carry a target,
// by the rate that this entry VM sees of it. Callers renew their answers at
// the entry VMs that carry the target, so each one's own rate is enough and
// nothing has to be agreed. One that carries a target only because it is hot
// learns the width from the callers, who say what they were told.
type Widths struct {
	table *cwpeer.Table
	// most is the rate of one target that one entry VM should carry.
	most float64
	// pace is the time between two decisions, in which callers follow.
	pace time.Duration

	mutex   sync.Mutex
	decided time.Time
	widths  map[carobward.TargetName]int
	heard   map[carobward.TargetName]int
}

// paceKeeps is the time between two decisions in times that callers keep an
// answer.
const paceKeeps = 2

// heardMost bounds the targets whose width is learned from callers, who may ask
// for any name.
const heardMost = 4096

// NewWidths returns widths for a rate in requests a second, and for callers
// that keep answers for a time.
func NewWidths(table *cwpeer.Table, most float64, keep time.Duration) *Widths {
	return &Widths{
		table:  table,
		most:   most,
		pace:   paceKeeps * keep,
		widths: map[carobward.TargetName]int{},
		heard:  map[carobward.TargetName]int{},
	}
}

// Pace returns the time between two decisions.
func (w *Widths) Pace() time.Duration { return w.pace }

// Of returns the width of a target for a caller who was told another one
// before, or zero. Callers may tell any number, so that only one who would
// carry the target by it, and not else, goes by it, and no further than there
// are entry VMs.
func (w *Widths) Of(target carobward.TargetName, told int) int {
	self, peers := w.table.Self(), w.table.All()
	at, told := place(peers, target, &self), min(told, len(peers))

	w.mutex.Lock()
	defer w.mutex.Unlock()

	own := max(Base, w.widths[target])
	if at < own || at >= told {
		return own
	}

	if _, known := w.heard[target]; !known && len(w.heard) >= heardMost {
		return own
	}

	w.heard[target] = max(told, w.heard[target])

	return told
}

// Tick decides anew if it is time. Counts returns the requests of each target
// since it was last called.
func (w *Widths) Tick(now time.Time, counts func() map[carobward.TargetName]int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	passed := now.Sub(w.decided)
	if passed < w.pace {
		return
	}

	first := w.decided.IsZero()
	w.decided = now

	seen := counts()
	if first {
		return
	}

	self, peers := w.table.Self(), w.table.All()
	next := map[carobward.TargetName]int{}

	for target, n := range seen {
		rate := float64(n) / passed.Seconds()

		if width := decide(rate, w.most, max(w.widths[target], w.heard[target]), place(peers, target, &self)); width > Base {
			next[target] = width
		}
	}

	w.widths, w.heard = next, map[carobward.TargetName]int{}
}

// decide returns the next width of a target that this entry VM, at its place
// among the domain's, sees at a rate. All of the old width share the domain's
// requests alike; who is asked beyond that knows of a greater one.
func decide(rate, most float64, old, place int) int {
	shared := max(Base, old, place+1)
	if rate < most/leftover {
		shared = max(Base, old)
	}

	return max(Base, int(math.Ceil(rate*float64(shared)/most)))
}

// leftover parts what callers with old or few addresses send from a share: an
// entry VM that sees less than that part of the most does not carry a target.
const leftover = 10
