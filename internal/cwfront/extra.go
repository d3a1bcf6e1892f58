package cwfront

import (
	"time"

	"carobward.example/carobward/internal/cwretry"
)

// extraCallFraction is the fraction of the limit on extra calls that entry VMs use in each
// window. Of the part that requests add, the rest may be saved up; of the fixed part, it
// covers entry VMs that underestimate the size of the fleet.
const extraCallFraction = 0.9

// extraShares returns how many extra calls each request allows at once, and how many more may be
// saved up for it.
func (l *Limits) extraShares() (share, saved float64) {
	return extraCallFraction * l.ExtraShare, (1 - extraCallFraction) * l.ExtraShare
}

// extraLimit returns the part of the limit on extra calls that requests add.
func (l *Limits) extraLimit() cwretry.Limit {
	share, saved := l.extraShares()

	return cwretry.Limit{Share: share, Saved: saved, Span: l.ExtraWindow}
}

// minExtraCalls returns this entry VM's share of the extra calls that are allowed
// regardless of the number of requests.
func (f *Front) minExtraCalls() float64 {
	return extraCallFraction * float64(f.limits.Load().ExtraMin) / float64(max(1, f.FleetSize()))
}

// payRetry spends the extra call of a retry that is about to be sent, and reports whether there is
// still one left. The limit counts calls when they arrive, and the search for a server takes time.
func (r *request) payRetry() bool {
	if r.retry == nil {
		return true
	}

	claim := *r.retry
	r.retry = nil

	if !r.takeExtraCall(r.front.Clock.Now(), claim) {
		return false
	}

	r.front.counts.Add(countRetries, 1)

	return true
}

// takeExtraCall spends one call beyond the first of a request if there is one left for the
// claim.
func (r *request) takeExtraCall(now time.Time, c cwretry.Claim) bool {
	granted := r.state.window.Take(now, r.front.minExtraCalls(), c)
	r.logExtraCall(now, c, granted)

	return granted
}

// logExtraCall logs whether an extra call is made, and counts it if not.
func (r *request) logExtraCall(now time.Time, c cwretry.Claim, granted bool) {
	f := r.front
	if !granted {
		f.counts.Add(countDenied, 1)
	}

	u := r.state.window.Usage(now, f.minExtraCalls())
	f.Log.Info("Decided on an extra call.", "id", r.id, "service", r.service, "kind", string(c.Kind), "granted", granted,
		"requests", u.Requests, "extras", u.Extras, "bound", u.Bound, "left", u.Left, "fleet", f.FleetSize(), "age", u.Age.Milliseconds())
}

// extraMetric is the metric of the window of extra calls of one service.
type extraMetric struct {
	Requests int     `json:"requests"`
	Extras   int     `json:"extras"`
	Bound    float64 `json:"bound"`
	Left     float64 `json:"left"`
	// Age is how long this process has run, in milliseconds.
	Age int64 `json:"age"`
}

// extraMetric returns what the window of extra calls of a service counts.
func (f *Front) extraMetric(w *cwretry.Window) any {
	u := w.Usage(f.Clock.Now(), f.minExtraCalls())

	return extraMetric{Requests: u.Requests, Extras: u.Extras, Bound: u.Bound, Left: u.Left, Age: u.Age.Milliseconds()}
}
