package cwretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

const testSpan = 10 * time.Second

// limitOf returns the limit for a share, with a tenth of the bound that can be saved up.
func limitOf(share float64) Limit {
	return Limit{Share: share, Burst: share / 9, Span: testSpan}
}

// TestWindow generates random loads and checks that each span of time, wherever it begins,
// has no more extra calls than its limit: a share of the requests of that span or of the
// one before it, whichever has more, plus twice minExtra.
func TestWindow(t *testing.T) {
	const (
		share    = 0.2
		minExtra = 3.0
		span     = 10 * time.Second
		step     = 50 * time.Millisecond
	)

	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.Now()
		w := NewWindow(limitOf(share), start, 0)

		var requests, extras []int

		spans := int(span / step)
		load := 0.5

		for i := range 8 * spans {
			if i%(spans/4) == 0 {
				load = random.Float64() * 3
			}

			now := start.Add(time.Duration(i) * step)
			asked, given := int(random.Float64()*load+0.5), 0

			for range asked {
				w.Request(now)
			}

			for range 3 { // Take as many as the window allows.
				if w.Take(now, minExtra, Needed).Granted() {
					given++
				}
			}

			requests, extras = append(requests, asked), append(extras, given)
		}

		for from := spans; from+spans <= len(extras); from++ {
			more := sum(extras[from : from+spans])
			most := share*float64(max(sum(requests[from:from+spans]), sum(requests[from-spans:from]))) + 2*minExtra

			if float64(more) > most {
				t.Fatalf("seed %d: %d extra calls from step %d on, at most %.1f", seed, more, from, most)
			}
		}
	}
}

// TestWindowClaims lets claims of all kinds at ten entry VMs, whose windows begin at different
// times, take what they can. They use nine tenths of the operators' bound, as the product
// does. In no span of time may all of them together pass that bound: a share of the requests in
// that span, the one before it or the one half a span before it, whichever has most, plus
// minExtra.
func TestWindowClaims(t *testing.T) {
	const (
		share    = 0.2
		minExtra = 0.5 // At each entry VM.
		used     = 0.9
		vms      = 10
		span     = 10 * time.Second
		step     = 50 * time.Millisecond
		spans    = int(span / step)
	)

	claims := []Claim{Needed, Refused, RefusedLate, Overdue}
	for rank := range 3 {
		claims = append(claims, ClaimOf(carobward.NotRun, Refusal{Rank: rank, Ranks: 3, RouteRank: rank, RouteRanks: 3, Timely: true, Returns: true}))
	}

	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		start := time.Now()
		windows := make([]*Window, vms)

		for i := range windows {
			windows[i] = NewWindow(Limit{Share: used * share, Burst: (1 - used) * share, Span: span}, start.Add(-span-time.Duration(random.Int64N(int64(span)))), 0)
		}

		requests, extras := make([]int, 8*spans), make([]int, 8*spans)
		load := 0.5

		for i := range requests {
			if i%(spans/4) == 0 {
				load = random.Float64()
			}

			now := start.Add(time.Duration(i) * step)

			for _, w := range windows {
				if random.Float64() < load {
					requests[i]++
					w.Request(now)
				}

				if w.Take(now, used*minExtra, claims[random.IntN(len(claims))]).Granted() {
					extras[i]++
				}
			}
		}

		for from := spans; from+spans <= len(extras); from++ {
			more := sum(extras[from : from+spans])
			asked := max(sum(requests[from:from+spans]), sum(requests[from-spans:from]), sum(requests[from-spans/2:from+spans/2]))
			most := share*float64(asked) + minExtra*vms

			if float64(more) > most {
				t.Fatalf("seed %d: %d extra calls from step %d on, at most %.1f", seed, more, from, most)
			}
		}
	}
}

// TestWindowIdle checks that extra calls are available again after a pause.
func TestWindowIdle(t *testing.T) {
	const minExtra = 2

	now := time.Now()
	w := NewWindow(limitOf(0), now.Add(-testSpan), 0)

	for range 2 {
		if !w.Take(now, minExtra, Needed).Granted() {
			t.Fatal("no extra call available at the start")
		}
	}

	if w.Take(now.Add(9*time.Second), minExtra, Needed).Granted() {
		t.Error("more extra calls than allowed within one span")
	}

	if !w.Take(now.Add(time.Minute), minExtra, Needed).Granted() {
		t.Error("no extra call available after a pause")
	}
}

// TestTakeShare checks that claims of less need leave a share of the bound to others, and
// that the bound limits both together.
func TestTakeShare(t *testing.T) {
	const (
		minExtra = 10.0
		reserved = 0.4
	)

	now := time.Now()
	w := NewWindow(limitOf(0.2), now.Add(-testSpan), 0)

	count := func(take func() bool) int {
		n := 0
		for take() {
			n++
		}

		return n
	}

	if n := count(func() bool { return w.Take(now, minExtra, Claim{Share: 1 - reserved}).Granted() }); n != 6 {
		t.Errorf("%d extra calls, want 6, which leaves four of ten", n)
	}

	if n := count(func() bool { return w.Take(now, minExtra, Needed).Granted() }); n != 4 {
		t.Errorf("%d extra calls, want the 4 that are left", n)
	}

	if w.Take(now, minExtra, Claim{Share: 1 - reserved}).Granted() {
		t.Error("an extra call beyond the bound")
	}
}

// TestWindowStart checks what a new process may use of the fixed part: nothing at first, what
// its requests have paid for within the first span, and all of it after that.
func TestWindowStart(t *testing.T) {
	const fixed = 3.0

	for name, c := range map[string]struct {
		age      time.Duration
		requests int
		want     int
	}{
		"no request":               {time.Second, 0, 0},
		"some requests":            {time.Second, 12, 2},
		"many requests":            {time.Second, 100, 5},
		"old, no request":          {testSpan, 0, 3},
		"old, many requests":       {testSpan, 100, 5},
		"a service that comes new": {time.Hour, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			w := NewWindow(limitOf(0.2), start, 0)
			now := start.Add(c.age)

			for range c.requests {
				w.Request(now)
			}

			got := 0
			for w.Take(now, fixed, Needed).Granted() {
				got++
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
