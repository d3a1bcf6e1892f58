package cwretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwserver"
)

const usual = 10 * time.Millisecond

var start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetLimitsOutage takes an extra call for each request, as in an outage, and checks
// that the budget limits them.
func TestBudgetLimitsOutage(t *testing.T) {
	tests := map[string]struct{ requests, most int }{
		"few":  {10, 10},
		"many": {10000, 510},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := cwretry.NewBudget(0.05, 10)
			extra := 0

			for range test.requests {
				b.Earn()

				if b.Take() {
					extra++
				}
			}

			if extra > test.most || extra < test.most*9/10 {
				t.Errorf("%d extra calls, want at most %d and most of them", extra, test.most)
			}
		})
	}
}

func TestQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := cwretry.NewQuantile(0.9)

	if _, ok := q.Value(); ok {
		t.Error("Value returned an estimate without samples")
	}

	// Uniform latencies from 1 to 100 ms, then ten times as slow.
	for _, scale := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		for range 20000 {
			q.Add(scale * time.Duration(1+rng.IntN(100)))
		}

		got, ok := q.Value()
		if !ok || got < 80*scale || got > 97*scale {
			t.Errorf("estimate %s, want about %s", got, 90*scale)
		}
	}
}

func TestDue(t *testing.T) {
	type answer struct {
		Due  bool
		Next time.Duration
	}

	tests := map[string]struct {
		samples, running int
		age              time.Duration
		want             answer
	}{
		"too few samples":            {10, 1, time.Second, answer{}},
		"a new call":                 {1000, 1, 0, answer{Next: 15 * time.Millisecond}},
		"one call overdue":           {1000, 1, 16 * time.Millisecond, answer{Next: 19 * time.Millisecond}},
		"two calls overdue":          {1000, 2, 16 * time.Millisecond, answer{Due: true}},
		"a call beyond the quantile": {1000, 1, 60 * time.Millisecond, answer{Due: true}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := cwserver.NewTable()
			table.Update([]carobward.VM{{Address: "10.0.0.1:80", Service: "records"}})

			s := table.Of("records")[0]
			s.Begin(start).End(start.Add(usual), cwserver.Replied)

			for range test.running {
				s.Begin(start)
			}

			r := cwretry.NewTargetState()
			for range test.samples {
				// The estimate starts at twice this and falls slowly.
				r.Latency.Add(30 * time.Millisecond)
			}

			due, next := r.Due(start.Add(test.age), test.age, s)
			if diff := cmp.Diff(test.want, answer{due, next}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
