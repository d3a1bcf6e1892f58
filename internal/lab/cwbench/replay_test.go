package cwbench

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobward.example/carobward/internal/cwtest"
)

// Number of seeds to add up: manySeeds where the compared ways give similar results,
// fewSeeds where they differ clearly.
const (
	manySeeds = 6
	fewSeeds  = 3
)

// shares runs a pattern with some ways and returns the shares of its requests by
// way. vms, if not zero, replaces the number of entry VMs only; fleet, if not zero,
// scales servers and requests in proportion to that number of entry VMs.
func shares(t *testing.T, name string, vms, fleet, seeds int, names ...string) map[string]share {
	t.Helper()

	p, err := FindPattern(name)
	if err != nil {
		t.Fatal(err)
	}

	if vms > 0 {
		p.VMs = vms
	}

	if fleet > 0 {
		p.Grow(fleet)
	}

	var ways []Way

	for _, w := range Ways() {
		for _, n := range names {
			if w.Name == n {
				ways = append(ways, w)
			}
		}
	}

	sums, err := ReplaySeeds(p, ways, seeds, len(ways))
	if err != nil {
		t.Fatal(err)
	}

	out := map[string]share{}

	for _, r := range sums {
		out[r.Way] = share{
			float64(r.InTime) / float64(r.Calls), float64(r.FreshInTime) / float64(r.Fresh), float64(r.Refused) / float64(r.Calls),
			float64(r.Ranks[0].InTime) / float64(max(1, r.Ranks[0].Calls)),
		}
	}

	return out
}

// share has shares of the requests of a pattern: answered in time, answered in time
// of those that arrived while entry VMs had power, refused for good, and answered in time of
// the urgent ones.
type share struct{ inTime, fresh, refused, urgent float64 }

// TestReplay checks that under overload and failures the product answers more
// requests in time than requests that each check servers independently, and nearly
// as many as a single queue with perfect knowledge of all servers. A calm load is
// answered almost completely.
func TestReplay(t *testing.T) {
	for name, c := range map[string]struct {
		// more is the minimum gain over the way "alone" in the share of requests in
		// time, ratio the minimum ratio to the upper bound.
		more, ratio float64
	}{
		"calm":   {-0.01, 0.98},
		"burst":  {0.12, 0.82},
		"bursts": {0.12, 0.82},
		"slow":   {0.08, 0.82},
		"gone":   {0.08, 0.82},
		"shed":   {-0.04, 0.93},
		"dark":   {0.08, 0.85},
		"lean":   {-0.01, 0.95},
		"fallen": {0.08, 0.82},
		"single": {0.15, 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			got := shares(t, name, 0, 0, fewSeeds, "alone", nameOurs, nameCeiling)
			ours, alone, ceiling := got[nameOurs].fresh, got["alone"].fresh, got[nameCeiling].fresh

			if ours < alone+c.more || ours < c.ratio*ceiling {
				t.Errorf("in time: %.3f, alone %.3f, upper bound %.3f", ours, alone, ceiling)
			}
		})
	}
}

// TestReplayParts runs for each part of the server selection the pattern that needs
// it, with and without that part.
func TestReplayParts(t *testing.T) {
	for name, c := range map[string]struct {
		pattern, without string
		vms, fleet       int
		// more is the minimum gain in the share of requests in time, fewer the minimum
		// drop in the share of refused requests.
		more, fewer float64
	}{
		"refused requests may use all extra calls": {"shed", "reserved", 0, 0, 0.02, 0.02},
		"refused requests in a fleet of hundreds":  {"shed", "reserved", 0, 472, 0.02, 0.02},
		"other domains help a crowded one":         {"lean", "homebound", 0, 127, 0.02, -1},
		"spare servers replace a lost domain":      {"fallen", "narrow", 0, 0, 0.002, 0},
		"retries are recognized":                   {"dark", "ageless", 0, 0, 0.05, -1},
		"late requests leave a slot free":          {"dark", "greedy", 0, 0, 0.05, -1},
		"freed slots go to waiting requests":       {"bursts", "forgetful", 4, 0, 0.02, -1},
		"only the first in the queue checks":       {"bursts", "restless", 0, 0, 0.02, -1},
		"requests wait for a copy at a start":      {"return", "impatient", 0, 0, 0.03, 0.03},
		"refused callers come back in turn":        {"ranks-long", "constant", 0, 472, 0.02, -1},
		"the most urgent first, at all entry VMs":  {"ranks-long", "unled", 0, 472, 0.08, 0.02},
		"slow servers are accepted where all are":  {"all-slow", "paceless", 0, 0, -1, 0.2},
		"servers that all refuse are equal":        {"shed", "wary", 0, 472, 0.002, -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			seeds := manySeeds
			if c.fleet > 0 { // One seed has enough requests.
				seeds = 1
			}

			got := shares(t, c.pattern, c.vms, c.fleet, seeds, nameOurs, c.without)
			ours, without := got[nameOurs], got[c.without]

			if ours.fresh < without.fresh+c.more {
				t.Errorf("in time: %.3f, without the part %.3f", ours.fresh, without.fresh)
			}

			if ours.refused > without.refused-c.fewer {
				t.Errorf("refused: %.3f, without the part %.3f", ours.refused, without.refused)
			}
		})
	}
}

// TestReplayRanks checks that urgent requests get second sends before others while all servers
// refuse over half of what they get, which costs the others little.
func TestReplayRanks(t *testing.T) {
	for name, c := range map[string]struct{ vms, seeds int }{
		"a few entry VMs": {0, manySeeds}, "a fleet": {139, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			got := shares(t, "shed-ranked", 0, c.vms, c.seeds, nameOurs, "rankless")
			ours, without := got[nameOurs], got["rankless"]

			if ours.urgent < without.urgent+0.06 || ours.inTime < without.inTime-0.02 {
				t.Errorf("urgent in time: %.3f, without ranks %.3f; all: %.3f and %.3f", ours.urgent, without.urgent, ours.inTime, without.inTime)
			}
		})
	}
}

// TestReplayExtraCalls checks the bound on extra calls over all entry VMs where these lose power
// while all servers refuse.
func TestReplayExtraCalls(t *testing.T) {
	for name, vms := range map[string]int{"a few entry VMs": 0, "a fleet": 139} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			p, err := FindPattern("shed-dark")
			if err != nil {
				t.Fatal(err)
			}

			if vms > 0 {
				p.Grow(vms)
			}

			list, err := Replay(p, Ways()[:1], 1)
			if err != nil {
				t.Fatal(err)
			}

			r := list[0]
			limit := cwtest.ExtraLimit{Share: extraShare + extraBurst, Fixed: extraFree * p.Rate, Span: extraWindow}

			w := limit.Worst(r.attempts, r.extras)
			if float64(w.Extras) > w.Allowed || w.Extras == 0 {
				t.Errorf("%d extra calls in %s from %s on, %.0f allowed", w.Extras, extraWindow, w.From.Sub(epoch), w.Allowed)
			}
		})
	}
}

// TestReplayRepeats checks that a run gives the same result each time, whatever runs
// in parallel.
func TestReplayRepeats(t *testing.T) {
	p, err := FindPattern("dark")
	if err != nil {
		t.Fatal(err)
	}

	first, err := Replay(p, Ways()[:3], 3)
	if err != nil {
		t.Fatal(err)
	}

	second, err := Replay(p, Ways()[:3], 1)
	if err != nil {
		t.Fatal(err)
	}

	if diff := cmp.Diff(first, second, cmpopts.IgnoreUnexported(ReplayResult{})); diff != "" {
		t.Error(diff)
	}
}

// TestPatternErrors checks that unknown and invalid patterns are rejected.
func TestPatternErrors(t *testing.T) {
	if _, err := FindPattern("none"); err == nil {
		t.Error("FindPattern of an unknown pattern returned no error")
	}

	for name, change := range map[string]func(*Pattern){
		"no servers":                   func(p *Pattern) { p.Servers = 0 },
		"no load":                      func(p *Pattern) { p.Rate = 0 },
		"no work":                      func(p *Pattern) { p.Work = 0 },
		"wait shorter than objective":  func(p *Pattern) { p.Wait = p.Objective / 2 },
		"no noise interval":            func(p *Pattern) { p.NoiseEvery = 0 },
		"negative number of entry VMs": func(p *Pattern) { p.VMs = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			p := Patterns()[0]
			change(&p)

			if _, err := Replay(p, Ways()[:1], 1); err == nil {
				t.Error("an invalid pattern returned no error")
			}
		})
	}
}
