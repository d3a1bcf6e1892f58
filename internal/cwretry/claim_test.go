package cwretry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobward.example/carobward"
)

// TestClaimOf checks the claims of extra calls. If the caller can still retry after a
// refusal, the request may use a share of the bound at once and the rest evenly. If the
// caller has retried already, or the request failed otherwise, it may use the whole bound.
func TestClaimOf(t *testing.T) {
	first := Refusal{Ranks: 1, Timely: true, Returns: true}
	retry := Refusal{Ranks: 1, Timely: true}
	ranked := func(rank, routeRank int, returns bool) Refusal {
		return Refusal{Rank: rank, Ranks: 3, RouteRank: routeRank, RouteRanks: 3, Timely: true, Returns: returns}
	}
	spare := func(fraction float64) Claim { return Claim{Kind: KindRefused, Reserve: maxReserve * fraction} }

	for name, c := range map[string]struct {
		verdict carobward.Verdict
		refusal Refusal
		want    Claim
	}{
		"refused, for the first time": {carobward.NotRun, first, Refused},
		"refused, a retry":            {carobward.NotRun, retry, Needed},
		"no answer":                   {carobward.Unknown, first, Needed},
		"no answer, too late":         {carobward.Unknown, Refusal{Ranks: 1}, Needed},
		"a server's failure":          {carobward.Ran, first, Needed},
		"refused, too late":           {carobward.NotRun, Refusal{Ranks: 1}, RefusedLate},
		"refused, too late, urgent":   {carobward.NotRun, Refusal{Ranks: 3}, RefusedLate},
		"refused, most urgent":        {carobward.NotRun, ranked(0, 0, true), spare(0)},
		"an urgent team":              {carobward.NotRun, ranked(0, 2, true), spare(2. / 8)},
		"an urgent route":             {carobward.NotRun, ranked(1, 0, true), spare(3. / 8)},
		"a route in the middle":       {carobward.NotRun, ranked(1, 1, true), spare(4. / 8)},
		"refused, least urgent":       {carobward.NotRun, ranked(2, 2, true), spare(1)},
		"equal teams, urgent route":   {carobward.NotRun, Refusal{Ranks: 1, RouteRanks: 2, Timely: true, Returns: true}, spare(0)},
		"equal teams, other route":    {carobward.NotRun, Refusal{Ranks: 1, RouteRank: 1, RouteRanks: 2, Timely: true, Returns: true}, spare(1)},
		"one team, route unknown":     {carobward.NotRun, Refusal{Ranks: 1, Timely: true, Returns: true}, Refused},
		"a retry, least urgent":       {carobward.NotRun, ranked(2, 2, false), Needed},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ClaimOf(c.verdict, c.refusal), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTakeClumps lets refusals come four at a time, as callers do at an entry VM with few
// requests. What the requests between them have earned isn't lost. They begin after a calm span:
// what can be saved up follows from the requests of the last one.
func TestTakeClumps(t *testing.T) {
	const (
		share  = 0.2
		clump  = 4
		clumps = 30
		calm   = int(testSpan / time.Second)
	)

	start := time.Now()
	w := NewWindow(limitOf(share), start.Add(-2*testSpan), 0)
	taken := 0

	for i := -calm; i < clumps; i++ {
		now := start.Add(time.Duration(i) * time.Second)

		for range int(clump / share) {
			w.Request(now)
		}

		if i < 0 {
			continue
		}

		for range clump {
			if w.Take(now, 0, Refused).Granted() {
				taken++
			}
		}
	}

	if taken < clump*clumps*9/10 {
		t.Errorf("%d extra calls of %d that were earned", taken, clump*clumps)
	}
}

// TestTakeInOrder lets all servers refuse for most of a window, more requests than the bound
// covers. Urgent requests get nearly all the extra calls that they ask for, the others what is
// left of the bound, in the order of their claims.
func TestTakeInOrder(t *testing.T) {
	const (
		share = 0.2
		each  = 20 // Requests a second. Every second one is refused.
		span  = 10 * time.Second
	)

	claim := func(rank int) Claim {
		return ClaimOf(carobward.NotRun, Refusal{Rank: rank, Ranks: 3, RouteRank: rank, RouteRanks: 3, Timely: true, Returns: true})
	}
	claims := map[string]Claim{"urgent": claim(0), "middle": claim(1), "spare": claim(2)}
	asked, taken := map[string]int{}, map[string]int{}
	start := time.Now()
	w := NewWindow(limitOf(share), start.Add(-testSpan), 0)

	for i := range 19 * each {
		now := start.Add(time.Duration(i) * time.Second / each)
		w.Request(now)

		if now.Sub(start) < span || i%2 == 0 {
			continue
		}

		name := []string{"urgent", "middle", "middle", "spare", "spare"}[i/2%5]
		asked[name]++

		if w.Take(now, 0, claims[name]).Granted() {
			taken[name]++
		}
	}

	part := func(name string) float64 { return float64(taken[name]) / float64(asked[name]) }
	if part("urgent") < 0.95 || part("middle") < part("spare") {
		t.Errorf("taken %v of %v", taken, asked)
	}

	if all := taken["urgent"] + taken["middle"] + taken["spare"]; all < 30 || all > share*each*10 {
		t.Errorf("%d extra calls, the bound is %.0f", all, share*each*10)
	}
}

// TestTakePaced lets all servers refuse for most of a window. Paced claims use up the
// bound with some calls in each second. Other claims use their share in the first second
// and leave the rest.
func TestTakePaced(t *testing.T) {
	const (
		share   = 0.2
		seconds = 9
		each    = 20
	)

	for name, c := range map[string]struct {
		claim                 Claim
		least, most, inSecond int
	}{
		"unlimited": {Refused, 34, 40, 3},
		"limited":   {Overdue, 10, 13, 0},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			w := NewWindow(limitOf(share), start.Add(-testSpan), 0)

			for i := range seconds * each {
				w.Request(start.Add(time.Duration(i) * time.Second / each))
			}

			total, fewest := 0, each

			for second := range seconds {
				taken := 0

				for i := range each {
					now := start.Add(10*time.Second + time.Duration(second)*time.Second + time.Duration(i)*time.Second/each)
					w.Request(now)

					if w.Take(now, 0, c.claim).Granted() {
						taken++
					}
				}

				total += taken
				fewest = min(fewest, taken)
			}

			if total < c.least || total > c.most || fewest < c.inSecond {
				t.Errorf("%d extra calls, %d in the second with the fewest", total, fewest)
			}
		})
	}
}

// TestOverdueAfterRefusals lets all servers refuse for most of a window. Hedges, which are few,
// wait meanwhile, since refused requests need the extra calls more. Within a second of the end
// they are made again, though the window is full of extra calls.
func TestOverdueAfterRefusals(t *testing.T) {
	const (
		share = 0.2
		each  = 20 // Requests a second.
	)

	var (
		start = time.Now()
		w     = NewWindow(limitOf(share), start.Add(-testSpan), 0)
		from  = 10 * time.Second
		to    = 18 * time.Second
	)

	during, after := 0, 0

	for i := range 22 * each {
		at := time.Duration(i) * time.Second / each
		w.Request(start.Add(at))

		refusing := at >= from && at < to
		if refusing {
			w.Take(start.Add(at), 0, Refused)
		}

		if i%each != each-1 || at < from+time.Second { // One overdue request a second.
			continue
		}

		switch taken := w.Take(start.Add(at), 0, Overdue).Granted(); {
		case taken && refusing:
			during++
		case taken:
			after++
		}
	}

	if during > 2 || after != 4 {
		t.Errorf("%d hedges while servers refuse, want 2 at most; %d of 4 after it", during, after)
	}
}
