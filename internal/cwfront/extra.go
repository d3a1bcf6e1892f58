package cwfront

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwretry"
)

// takeExtraCall spends one call beyond the first of a request if there is one left for the
// claim, and counts a denial otherwise.
func (r *request) takeExtraCall(now time.Time, c cwretry.Claim) bool {
	f := r.front
	least := f.minExtraCalls()
	granted := r.state.window.Take(now, least, c)

	if !granted {
		f.counts.Add(countDenied, 1)
	}

	u := r.state.window.Usage(now, least)
	f.Log.Info("Decided on an extra call.", "id", r.id, "service", r.service, "kind", string(c.Kind), "granted", granted,
		"requests", u.Requests, "extras", u.Extras, "bound", u.Bound, "fleet", f.FleetSize(), "age", u.Age.Milliseconds())

	return granted
}

// extraMetric is the metric of the window of extra calls of one service.
type extraMetric struct {
	Requests int     `json:"requests"`
	Extras   int     `json:"extras"`
	Bound    float64 `json:"bound"`
	// Age is how long this process has counted, in milliseconds.
	Age int64 `json:"age"`
}

// extraMetrics returns what the windows of extra calls count, by service.
func (f *Front) extraMetrics() any {
	now, least := f.Clock.Now(), f.minExtraCalls()
	metrics := map[carobward.Service]extraMetric{}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	for name, s := range f.services {
		u := s.window.Usage(now, least)
		metrics[name] = extraMetric{Requests: u.Requests, Extras: u.Extras, Bound: u.Bound, Age: u.Age.Milliseconds()}
	}

	return metrics
}
