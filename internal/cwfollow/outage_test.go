package cwfollow

import (
	"math/rand/v2"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwmesh"
)

// outageVM is one of many entry VMs that lose the store at the same moment.
type outageVM struct {
	Follower

	callStarted time.Time // When the call in flight began.
	storeDown   bool
	pause       time.Duration
}

// TestOutageCalls counts the calls of all entry VMs in the first seconds after a store that serves
// a large fleet falls silent or refuses all. If each entry VM queried the store as soon as the
// newest answer is stale, all 472 would do so within a second.
func TestOutageCalls(t *testing.T) {
	const (
		vms    = 472
		length = 5 * time.Second
		step   = 10 * time.Millisecond
	)

	for name, c := range map[string]struct {
		answer   time.Duration
		maxCalls int
	}{
		"refused": {step, 200},
		"silent":  {800 * time.Millisecond, 160},
	} {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 1))
			all := make([]outageVM, vms)
			lost := time.Now()
			calls, unserved := 0, 0

			for age := time.Duration(0); age < length; age += step {
				now := lost.Add(age)
				known := &fleet{domains: []cwmesh.Summary{{Alive: vms, StoreDown: unserved}}}
				place := 0

				for i := range all {
					v := &all[i]

					if !v.callStarted.IsZero() {
						elapsed := now.Sub(v.callStarted)
						if !v.storeDown && elapsed >= min(overdueDelay, c.answer) {
							v.storeDown = true
							unserved++
						}

						if elapsed >= c.answer {
							v.callStarted, v.lastFailure, v.backoff = time.Time{}, now, minBackoff
							v.pause = backoffPause(v.backoff, unserved, rnd.Float64())
						}
					}

					own := noPlace
					if !v.storeDown {
						own = place
						place++
					}

					due := shouldQuery(own, age) && !v.isDeferred(known, now, age)
					if v.backoff > 0 {
						due = now.Sub(v.lastFailure) >= v.pause
					}

					if due && v.callStarted.IsZero() {
						v.callStarted = now
						calls++
					}
				}
			}

			if calls > c.maxCalls {
				t.Errorf("%d calls in %s", calls, length)
			}
		})
	}
}
