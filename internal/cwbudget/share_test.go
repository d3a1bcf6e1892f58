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

// TestShare shows that the division leaves each VM something, by time where
// it can't be by number.
func TestShare(t *testing.T) {
	for name, test := range map[string]struct {
		budget Cost
		size   int
		want   share
	}{
		"a call each":               {Cost{100, 64 << 10}, 19, share{most: Cost{4, 2730}, turns: 1}},
		"fewer calls than VMs":      {Cost{10, 64 << 10}, 19, share{most: Cost{1, Unit}, turns: 4, rank: 7}},
		"fewer bytes than a call's": {Cost{100, 4 << 10}, 19, share{most: Cost{1, Unit}, turns: 8, rank: 7}},
		"no budget":                 {Cost{0, 64 << 10}, 19, share{}},
		"no bytes":                  {Cost{100, 100}, 19, share{}},
		"alone":                     {Cost{1, Unit}, 1, share{most: Cost{1, Unit}, turns: 2, rank: 7}},
		"one call's bytes and some": {Cost{2, Unit + 384}, 24, share{most: Cost{1, Unit}, turns: 32, rank: 7}},
		"size at scale":             {Cost{2000, 2 << 20}, 200, share{most: Cost{8, 8388}, turns: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := newShare(View{Budget: test.budget, Size: test.size, Rank: 7})
			if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(share{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTinyBudgetReachesAll shows that each of 19 VMs gets its turn within the
// cycle of a budget of ten calls.
func TestTinyBudgetReachesAll(t *testing.T) {
	for rank := range 19 {
		a := New()
		granted := 0

		for now := time.Duration(0); now < settle+4*turnLength; now += step {
			at := start.Add(now)
			a.Tick(at, View{Budget: Cost{10, 64 << 10}, Size: 19, Rank: rank, At: at})

			if a.Reserve(at, Cost{1, Unit}) {
				granted++

				a.Settle(at, Cost{1, Unit}, Cost{1, Unit})
			}
		}

		if granted == 0 {
			t.Errorf("rank %d got nothing in a cycle", rank)
		}
	}
}

// TestNothingBeforeOrAfter has the times at which nothing may be spent.
func TestNothingBeforeOrAfter(t *testing.T) {
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
		"newcomer":         {func(a *Account) { tick(a, 0, settle, run) }, settle - 1, false},
		"settled":          {func(a *Account) { tick(a, 0, settle, run) }, settle, true},
		"no tick":          {func(a *Account) { tick(a, 0, settle, run) }, settle + gapMost + 1, false},
		"blind":            {func(a *Account) { tick(a, 0, 20*time.Second, 9*time.Second) }, 20 * time.Second, false},
		"after a freeze":   {func(a *Account) { tick(a, 0, settle, run); tick(a, 30*time.Second, 34*time.Second, run) }, 34 * time.Second, false},
		"well after it":    {func(a *Account) { tick(a, 0, settle, run); tick(a, 30*time.Second, 36*time.Second, run) }, 36 * time.Second, true},
		"nobody ever seen": {func(a *Account) { tick(a, 0, 8*time.Second, 0) }, 8 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := New()
			test.ticks(a)

			if got := a.Reserve(start.Add(test.at), Cost{1, Unit}); got != test.want {
				t.Errorf("granted: %v, want %v", got, test.want)
			}
		})
	}
}

func BenchmarkReserve(b *testing.B) {
	a := New()
	for now := time.Duration(0); now <= settle; now += time.Second {
		a.Tick(start.Add(now), View{Budget: Cost{1 << 40, 1 << 50}, Size: 200, At: start.Add(now)})
	}

	at := start.Add(settle)

	for b.Loop() {
		a.ReserveReport(at, 160)
		a.Settle(at, Cost{Bytes: 160}, Cost{Bytes: 160})
	}
}
