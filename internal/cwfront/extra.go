package cwfront

import (
	"time"

	"carobward.example/carobward/internal/cwretry"
)

// extraCallFraction is the fraction of the limit on extra calls that requests earn and that the
// fixed part is used of. Of the part that grows with the requests, the rest may be saved up; of
// the fixed part, it covers entry VMs that underestimate the size of the fleet, and calls that
// arrive late.
const extraCallFraction = 0.9

// extraLimit returns the part of the limit on extra calls that grows with the requests.
func (l *Limits) extraLimit() cwretry.Limit {
	return cwretry.Limit{Share: extraCallFraction * l.ExtraShare, Burst: (1 - extraCallFraction) * l.ExtraShare, Span: l.ExtraWindow}
}

// fixedExtraCalls returns this entry VM's share of the extra calls that are allowed regardless of
// the number of requests, in a fleet of a size.
func (f *Front) fixedExtraCalls(fleet int) float64 {
	return extraCallFraction * float64(f.limits.Load().ExtraMin) / float64(max(1, fleet))
}

// checkExtraCall reports whether there is an extra call left for a claim, and spends none.
func (r *request) checkExtraCall(now time.Time, c cwretry.Claim) bool {
	fleet := r.front.FleetSize()

	d := r.state.window.Check(now, r.front.fixedExtraCalls(fleet), c)
	if !d.Granted() {
		r.logExtraCall(c, &d, fleet)
	}

	return d.Granted()
}

// takeExtraCall spends an extra call and reports whether there was one left for the claim.
func (r *request) takeExtraCall(now time.Time, c cwretry.Claim) bool {
	fleet := r.front.FleetSize()
	d := r.state.window.Take(now, r.front.fixedExtraCalls(fleet), c)
	r.logExtraCall(c, &d, fleet)

	return d.Granted()
}

// takeRetry spends the extra call of a retry that is about to be sent, and reports whether there
// is still one left. The limit counts calls when they arrive, and the search for a server takes
// time.
func (r *request) takeRetry() bool {
	if r.retryClaim == nil {
		return true
	}

	claim := *r.retryClaim
	r.retryClaim = nil

	if !r.takeExtraCall(r.front.Clock.Now(), claim) {
		return false
	}

	r.front.counts.Add(countRetries, 1)

	return true
}

// logExtraCall logs the decision on an extra call, and counts a denial.
func (r *request) logExtraCall(c cwretry.Claim, d *cwretry.Decision, fleet int) {
	if !d.Granted() {
		r.front.counts.Add(countDenied, 1)
	}

	r.front.Log.Info("Decided on an extra call.", "id", r.id, "service", r.service, "kind", string(c.Kind), "granted", d.Granted(), "denied", string(d.Denied),
		"requests", d.Requests, "extras", d.Extras, "bound", d.Bound, "available", d.Available, "reserved", d.Reserved, "fleet", fleet, "age", d.Age.Milliseconds())
}

// extraMetric is the metric of the window of extra calls of one service.
type extraMetric struct {
	Requests  int     `json:"requests"`
	Extras    int     `json:"extras"`
	Bound     float64 `json:"bound"`
	Available float64 `json:"available"`
	// Age is how long this process has run, in milliseconds.
	Age int64 `json:"age"`
}

// extraMetric returns what the window of extra calls of a service counts.
func (f *Front) extraMetric(w *cwretry.Window) any {
	u := w.Usage(f.Clock.Now(), f.fixedExtraCalls(f.FleetSize()))

	return extraMetric{Requests: u.Requests, Extras: u.Extras, Bound: u.Bound, Available: u.Available, Age: u.Age.Milliseconds()}
}
