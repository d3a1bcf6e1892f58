package cwretry

import (
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// The constants of hedges and retries. docs/design/route.md has the
// measurements.
const (
	// Share is how many extra calls a request may cost on average.
	Share = 0.05
	// saved bounds how many extra calls can be saved up.
	saved = 10
	// hedgeAt is the quantile of a target's latencies after which a call is
	// hedged in any case.
	hedgeAt = 0.97
	// earlyFactor is how many usual latencies a call must be out to be hedged
	// early, which needs that earlyCalls of ours on the same server are.
	earlyFactor = 1.5
	earlyCalls  = 2
	// lookFactor is the time between two looks, in usual latencies.
	lookFactor = 0.3
	// leastWait is the least time before a hedge; below it the timers cost
	// more than they win.
	leastWait = time.Millisecond
)

// Record is what is kept for one target.
type Record struct {
	// Budget is shared by retries and hedges.
	Budget *Budget
	// Latency follows the quantile that hedging waits for.
	Latency *Quantile
}

// NewRecord returns the record of a target without requests.
func NewRecord() *Record {
	return &Record{Budget: NewBudget(Share, saved), Latency: NewQuantile(hedgeAt)}
}

// Due tells whether a call that has been out for age on a server should be
// hedged now, and if not, at which age to look again; zero means never.
func (r *Record) Due(now time.Time, age time.Duration, s *cwserver.Server) (bool, time.Duration) {
	last, ok := r.Latency.Value()
	if !ok {
		return false, 0
	}

	if last = max(last, leastWait); age >= last {
		return true, 0
	}

	usual := float64(s.Usual())

	early := time.Duration(earlyFactor * usual)
	if age < early {
		return false, min(early, last)
	}

	if s.Overdue(now, early) >= earlyCalls {
		return true, 0
	}

	return false, min(last, age+max(leastWait, time.Duration(lookFactor*usual)))
}
