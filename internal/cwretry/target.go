package cwretry

import (
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// The constants of hedges and retries. docs/design/route.md has the measurements.
const (
	// Share is how many extra calls (retries and hedges) a request may cost on average.
	Share = 0.05
	// maxSaved is how many extra calls can be saved up.
	maxSaved = 10
	// hedgeQuantile is the quantile of a target's latencies after which a call is hedged
	// in any case.
	hedgeQuantile = 0.97
	// earlyFactor is the age from which a call may be hedged earlier than that, as a
	// multiple of the server's usual latency. The condition is that at least earlyCalls
	// calls of this entry VM to the same server have exceeded that age.
	earlyFactor = 1.5
	earlyCalls  = 2
	// recheckFactor is the interval between two decisions about a hedge, as a multiple of
	// the server's usual latency.
	recheckFactor = 0.3
	// minHedgeDelay is the minimum time before a hedge; below it the timers cost more than
	// the hedges gain.
	minHedgeDelay = time.Millisecond
)

// TargetState is the state of retries and hedges for one target.
type TargetState struct {
	// Budget is shared by retries and hedges.
	Budget *Budget
	// Latency estimates the latency after which a call is hedged.
	Latency *Quantile
}

// NewTargetState returns the state of a target without requests.
func NewTargetState() *TargetState {
	return &TargetState{Budget: NewBudget(Share, maxSaved), Latency: NewQuantile(hedgeQuantile)}
}

// Due reports whether a call that started age ago on a server should be hedged now, and if
// not, at which age to ask again; zero means never.
func (t *TargetState) Due(now time.Time, age time.Duration, s *cwserver.Server) (bool, time.Duration) {
	last, ok := t.Latency.Value()
	if !ok {
		return false, 0
	}

	if last = max(last, minHedgeDelay); age >= last {
		return true, 0
	}

	usual := float64(s.UsualLatency())

	early := time.Duration(earlyFactor * usual)
	if age < early {
		return false, min(early, last)
	}

	if s.Overdue(now, early) >= earlyCalls {
		return true, 0
	}

	return false, min(last, age+max(minHedgeDelay, time.Duration(recheckFactor*usual)))
}
