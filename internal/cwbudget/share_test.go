package cwbudget

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	step = 100 * time.Millisecond
	run  = 45 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

// TestShare verifies that each entry VM gets a share of a budget of any size: of
// calls and bytes, or of time if there are too few of them.
func TestShare(t *testing.T) {
	for name, test := range map[string]struct {
		budget Cost
		size   int
		want   share
	}{
		"a call each":                       {Cost{100, 64 << 10}, 19, share{limit: Cost{4, 2730}, turns: 1}},
		"fewer calls than entry VMs":        {Cost{10, 64 << 10}, 19, share{limit: Cost{1, MaxProbeBytes}, turns: 4, rank: 7}},
		"fewer bytes than a probe each":     {Cost{100, 4 << 10}, 19, share{limit: Cost{1, MaxProbeBytes}, turns: 8, rank: 7}},
		"no budget":                         {Cost{0, 64 << 10}, 19, share{}},
		"no bytes":                          {Cost{100, 100}, 19, share{}},
		"single entry VM":                   {Cost{1, MaxProbeBytes}, 1, share{limit: Cost{1, MaxProbeBytes}, turns: 2, rank: 7}},
		"bytes of little more than a probe": {Cost{2, MaxProbeBytes + 384}, 24, share{limit: Cost{1, MaxProbeBytes}, turns: 32, rank: 7}},
		"large fleet":                       {Cost{2000, 2 << 20}, 200, share{limit: Cost{8, 8388}, turns: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := newShare(View{Budget: test.budget, Size: test.size, Rank: 7})
			if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(share{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTinyBudgetReachesAll verifies that with a budget of ten calls each of 19
// entry VMs gets its turn within one cycle of turns.
func TestTinyBudgetReachesAll(t *testing.T) {
	for rank := range 19 {
		a := New()
		granted := 0

		for now := time.Duration(0); now < settleDelay+4*turnLength; now += step {
			at := start.Add(now)
			a.Tick(at, View{Budget: Cost{10, 64 << 10}, Size: 19, Rank: rank, At: at})

			if a.Reserve(at, Cost{1, MaxProbeBytes}) {
				granted++

				a.Settle(at, Cost{1, MaxProbeBytes}, Cost{1, MaxProbeBytes})
			}
		}

		if granted == 0 {
			t.Errorf("rank %d was granted nothing in a cycle of turns", rank)
		}
	}
}

// TestReserveRefusedUntilReady checks when an account grants nothing: before the
// other entry VMs count this one, and after a gap in ticks or answers.
func TestReserveRefusedUntilReady(t *testing.T) {
	view := View{Budget: Cost{100, 64 << 10}, Size: 5}
	tick := func(a *Account, from, to, seen time.Duration) {
		for now := from; now <= to; now += time.Second {
			v := view
			v.At = start.Add(min(now, seen))
			a.Tick(start.Add(now), v)
		}
	}

	for name, test := range map[string]struct {
		ticks func(a *Account)
		at    time.Duration
		want  bool
	}{
		"just started":                 {func(a *Account) { tick(a, 0, settleDelay, run) }, settleDelay - 1, false},
		"after settleDelay":            {func(a *Account) { tick(a, 0, settleDelay, run) }, settleDelay, true},
		"gap in ticks":                 {func(a *Account) { tick(a, 0, settleDelay, run) }, settleDelay + maxTickGap + 1, false},
		"no answers of any source":     {func(a *Account) { tick(a, 0, 20*time.Second, 9*time.Second) }, 20 * time.Second, false},
		"shortly after a long gap":     {func(a *Account) { tick(a, 0, settleDelay, run); tick(a, 30*time.Second, 34*time.Second, run) }, 34 * time.Second, false},
		"settleDelay after a long gap": {func(a *Account) { tick(a, 0, settleDelay, run); tick(a, 30*time.Second, 36*time.Second, run) }, 36 * time.Second, true},
		"no answer after the start":    {func(a *Account) { tick(a, 0, 8*time.Second, 0) }, 8 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := New()
			test.ticks(a)

			if got := a.Reserve(start.Add(test.at), Cost{1, MaxProbeBytes}); got != test.want {
				t.Errorf("granted: %v, want %v", got, test.want)
			}
		})
	}
}

func BenchmarkReserve(b *testing.B) {
	a := New()
	for now := time.Duration(0); now <= settleDelay; now += time.Second {
		a.Tick(start.Add(now), View{Budget: Cost{1 << 40, 1 << 50}, Size: 200, At: start.Add(now)})
	}

	at := start.Add(settleDelay)

	for b.Loop() {
		a.ReserveReport(at, 160)
		a.Settle(at, Cost{Bytes: 160}, Cost{Bytes: 160})
	}
}
