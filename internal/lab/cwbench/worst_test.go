package cwbench

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// manySeeds is how many seeds a comparison of two near ones adds up, fewSeeds one of
// those far apart.
const (
	manySeeds = 6
	fewSeeds  = 3
)

// shares runs a pattern under some ways and returns the shares of its requests, by
// way: in time of all and of those that came while entry VMs ran, and refused for
// good. VMs changes the number of entry VMs where it is not zero, fleet that of
// servers and requests with it.
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

	sums, err := RunWorstSeeds(p, ways, seeds, len(ways))
	if err != nil {
		t.Fatal(err)
	}

	out := map[string]share{}

	for _, r := range sums {
		out[r.Way] = share{
			float64(r.InTime) / float64(r.Calls), float64(r.FreshInTime) / float64(r.Fresh), float64(r.Refused) / float64(r.Calls),
		}
	}

	return out
}

// share has the shares of a pattern's requests that ended so.
type share struct{ inTime, fresh, refused float64 }

// TestWorst replays loads at their worst. Turns serve more in time than requests
// that each look for themselves, and most of what a line over all entry VMs with
// perfect sight would; the calm load is served whole.
func TestWorst(t *testing.T) {
	for name, c := range map[string]struct {
		// more is the least share of requests more in time than alone, near the
		// least part of what the ceiling has in time.
		more, near float64
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

			if ours < alone+c.more || ours < c.near*ceiling {
				t.Errorf("%.3f in time, %.3f alone, %.3f at the ceiling", ours, alone, ceiling)
			}
		})
	}
}

// TestWorstParts replays for each part of the decisions the load that it answers,
// with and without it.
func TestWorstParts(t *testing.T) {
	for name, c := range map[string]struct {
		pattern, without string
		vms, fleet       int
		// more is the least share of requests more in time, fewer of fewer refused.
		more, fewer float64
	}{
		"servers that refuse use the bound":  {"shed", "reserved", 0, 0, 0.02, 0.02},
		"the same in a fleet of hundreds":    {"shed", "reserved", 0, 472, 0.02, 0.02},
		"others help out a failure domain":   {"lean", "homebound", 0, 127, 0.02, -1},
		"others serve for a lost domain":     {"fallen", "narrow", 0, 0, 0.002, 0},
		"who has come back is known":         {"dark", "ageless", 0, 0, 0.05, -1},
		"late requests spare a slot":         {"dark", "greedy", 0, 0, 0.05, -1},
		"freed slots are handed over":        {"bursts", "forgetful", 4, 0, 0.02, -1},
		"only the first in line looks":       {"bursts", "restless", 0, 0, 0.02, -1},
		"where all are slow, late is enough": {"all-slow", "paceless", 0, 0, -1, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			seeds := manySeeds
			if c.fleet > 0 { // Many requests a seed.
				seeds = 1
			}

			got := shares(t, c.pattern, c.vms, c.fleet, seeds, nameOurs, c.without)
			ours, without := got[nameOurs], got[c.without]

			if ours.fresh < without.fresh+c.more {
				t.Errorf("%.3f in time, %.3f without", ours.fresh, without.fresh)
			}

			if ours.refused > without.refused-c.fewer {
				t.Errorf("%.3f refused, %.3f without", ours.refused, without.refused)
			}
		})
	}
}

// TestWorstRepeats wants a run to be the same each time, whatever runs beside it.
func TestWorstRepeats(t *testing.T) {
	p, err := FindPattern("dark")
	if err != nil {
		t.Fatal(err)
	}

	first, err := RunWorst(p, Ways()[:3], 3)
	if err != nil {
		t.Fatal(err)
	}

	second, err := RunWorst(p, Ways()[:3], 1)
	if err != nil {
		t.Fatal(err)
	}

	if diff := cmp.Diff(first, second, cmpopts.IgnoreUnexported(WorstResult{})); diff != "" {
		t.Error(diff)
	}
}

// TestPatternErrors has patterns that make no sense.
func TestPatternErrors(t *testing.T) {
	if _, err := FindPattern("none"); err == nil {
		t.Error("a pattern that there is not")
	}

	for name, change := range map[string]func(*Pattern){
		"no servers":        func(p *Pattern) { p.Servers = 0 },
		"no load":           func(p *Pattern) { p.Rate = 0 },
		"no work":           func(p *Pattern) { p.Work = 0 },
		"a wait too short":  func(p *Pattern) { p.Wait = p.Objective / 2 },
		"no end of noise":   func(p *Pattern) { p.NoiseEvery = 0 },
		"more than callers": func(p *Pattern) { p.VMs = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			p := Patterns()[0]
			change(&p)

			if _, err := RunWorst(p, Ways()[:1], 1); err == nil {
				t.Error("it ran")
			}
		})
	}
}
