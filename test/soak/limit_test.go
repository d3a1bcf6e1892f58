package soak

import (
	"testing"
	"time"

	"carobward.example/carobward/internal/cwtest"
)

// limits are the rate limits, in requests per second, that servers announce: low, high,
// repeated, invalid and none.
var limits = [][]string{{"1"}, {"2.5"}, {"40"}, {"0"}, {"0.2"}, {"1", "7"}, {"few"}, {"-1"}, {""}, {"1e999"}, nil, nil}

// checkLimit makes a server announce a rate limit under the load of all callers. Once limitFirst
// has passed, the server may get at most 1.5 times the limit and 5 requests more in any
// limitWindow, as the users require. Then the limit is lifted, and the server must
// get more requests again.
func (w *world) checkLimit(t *testing.T) {
	t.Helper()

	const (
		limitFirst  = 3 * time.Second
		limitWindow = 4 * time.Second
		allowed     = 2*4*1.5 + 5
		minRuns     = 30
	)

	s := w.servers[w.random.IntN(servers)]
	s.SetLimit("2")
	<-time.After(limitFirst)

	before := len(s.Runs())
	<-time.After(limitWindow)

	if n := len(s.Runs()) - before; n > allowed {
		t.Errorf("%s announced a limit of 2 and got %d requests in %s, %.0f allowed", s.instance, n, limitWindow, allowed)
	}

	s.SetLimit()

	before = len(s.Runs())
	cwtest.Wait(t, s.instance+" is used again", func() bool { return len(s.Runs()) > before+minRuns })
}
