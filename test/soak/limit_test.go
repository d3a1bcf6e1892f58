package soak

import (
	"testing"
	"time"

	"carobward.example/carobward/internal/cwtest"
)

// limits are what servers name of the requests a second that they take: low, high, changing,
// some that can't be read, and none.
var limits = [][]string{{"1"}, {"2.5"}, {"40"}, {"0"}, {"0.2"}, {"1", "7"}, {"few"}, {"-1"}, {""}, {"1e999"}, nil, nil}

// limited has a server name a limit under the load of all callers, and wants it to get no
// more than the users allow: in any limitWindow from limitFirst on one and a half times the
// limit, and limitSlack more. Then it takes the limit back, and must get more again.
func (w *world) limited(t *testing.T) {
	t.Helper()

	const (
		limitFirst  = 3 * time.Second
		limitWindow = 4 * time.Second
		allowed     = 2*4*1.5 + 5
		used        = 30
	)

	s := w.servers[w.random.IntN(servers)]
	s.SetLimit("2")
	<-time.After(limitFirst)

	before := len(s.Runs())
	<-time.After(limitWindow)

	if n := len(s.Runs()) - before; n > allowed {
		t.Errorf("%s names a limit of 2 and got %d requests in %s, %.0f allowed", s.instance, n, limitWindow, allowed)
	}

	s.SetLimit()

	before = len(s.Runs())
	cwtest.Wait(t, s.instance+" is used again", func() bool { return len(s.Runs()) > before+used })
}
