package cwpick

import (
	"math"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

const home = carobward.Domain("a")

// view returns a server in the home domain with a report.
func view(running, queued int, slowness float64) cwbackend.View {
	return cwbackend.View{
		Server: &cwbackend.Server{}, Slots: 4, Domain: home,
		Report: carobward.Report{At: time.Now(), Running: running, Queued: queued, Slots: 4, Slowness: slowness},
	}
}

// TestCost checks pairs of servers of which the first must have the lower cost.
func TestCost(t *testing.T) {
	factors := Factors{Crowd: 1.5, Warmup: 2}

	with := func(v cwbackend.View, change func(*cwbackend.View)) cwbackend.View {
		change(&v)

		return v
	}

	for name, c := range map[string]struct{ good, bad cwbackend.View }{
		"more free slots":                           {view(0, 0, 1), view(2, 0, 1)},
		"below the knee":                            {view(2, 0, 1), view(3, 0, 1)},
		"a crowded one before a slow one":           {view(3, 0, 1), view(0, 0, 5)},
		"a queue before a slow machine":             {view(4, 1, 1), view(0, 0, 5)},
		"no queue":                                  {view(3, 0, 1), view(4, 2, 1)},
		"the home domain":                           {view(1, 0, 1), with(view(1, 0, 1), func(v *cwbackend.View) { v.Domain = "b" })},
		"another domain before a slow one":          {with(view(1, 0, 1), func(v *cwbackend.View) { v.Domain = "b" }), view(1, 0, 2)},
		"a warmed-up one":                           {view(2, 0, 1), with(view(0, 0, 1), func(v *cwbackend.View) { v.Warming = true })},
		"one without failures":                      {view(3, 0, 1), with(view(0, 0, 1), func(v *cwbackend.View) { v.FailureRate = 0.5 })},
		"one where nothing is overdue":              {view(3, 0, 1), with(view(0, 0, 1), func(v *cwbackend.View) { v.Overdue = true })},
		"one without a report before a crowded one": {cwbackend.View{Slots: 4, Domain: home}, view(3, 0, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			if good, bad := Cost(&c.good, factors, home), Cost(&c.bad, factors, home); good >= bad {
				t.Errorf("costs %.2f and %.2f, want the first to be lower", good, bad)
			}
		})
	}
}

// TestCostRefusals checks that a server which refuses a part of the requests is avoided only
// as far as others refuse less.
func TestCostRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		// own is the share that the server refuses, other that of another one with more
		// requests, all that of all servers.
		own, other, all float64
		avoided         bool
	}{
		"none refuse":                     {0, 0, 0, false},
		"it refuses, others don't":        {0.3, 0, 0.05, true},
		"all refuse alike":                {0.5, 0.5, 0.5, false},
		"all refuse, it by chance more":   {0.5, 0.3, 0.5, false},
		"all refuse, none of its refused": {0, 0.5, 0.5, false},
		"it refuses all, others half":     {0.9, 0.5, 0.5, true},
	} {
		t.Run(name, func(t *testing.T) {
			free, used := view(0, 0, 1), view(2, 0, 1)
			free.RefusalRate, used.RefusalRate = c.own, c.other

			f := Factors{Crowd: 1.5, Warmup: 2, Refused: c.all}
			if got := Cost(&free, f, home) > Cost(&used, f, home); got != c.avoided {
				t.Errorf("avoided: %v", got)
			}
		})
	}
}

// TestLearnRefusal checks that the share of refusals follows a change within forty
// requests, some seconds at one entry VM.
func TestLearnRefusal(t *testing.T) {
	for name, share := range map[string]float64{"all refuse half": 0.5, "none refuses": 0} {
		times := NewTimes()

		for range 10 { // Before the change.
			times.LearnRefusal(share == 0)
		}

		for i := range 40 {
			times.LearnRefusal(share > 0 && i%2 == 0)
		}

		if got := times.Factors().Refused; math.Abs(got-share) > 0.1 {
			t.Errorf("%s: share %.2f", name, got)
		}
	}
}

// TestFreeSlots checks that urgent requests are accepted when others are not.
func TestFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		running, rank, ranks int
		room                 bool
		crowd                float64
		spared               int
	}{
		"the least urgent leaves a slot":         {3, 2, 3, false, 1, 0},
		"the least urgent takes the other slots": {2, 2, 3, true, 1, 0},
		"the middle rank takes all slots":        {3, 1, 3, true, 1, 0},
		"the middle rank does not queue":         {4, 1, 3, false, 1, 0},
		"the most urgent may queue":              {5, 0, 3, true, 1, 0},
		"the most urgent queues up to a bound":   {6, 0, 3, false, 1, 0},
		"a single rank":                          {3, 0, 1, true, 1, 0},
		"a single rank does not queue":           {4, 0, 1, false, 1, 0},
		"crowding costs more":                    {3, 1, 3, false, 1.6, 0},
		"crowding costs more, one less":          {2, 1, 3, true, 1.6, 0},
		"crowding costs less":                    {3, 1, 3, true, 1.2, 0},
		"a slot is spared":                       {3, 0, 1, false, 1, 1},
		"the other slots are not spared":         {2, 0, 1, true, 1, 1},
		"one slot at least is used":              {0, 0, 1, true, 1, 9},
	} {
		t.Run(name, func(t *testing.T) {
			v := view(c.running, 0, 1)
			if got := FreeSlots(&v, c.rank, c.ranks, c.spared, c.crowd) > 0; got != c.room {
				t.Errorf("has free slots: %v", got)
			}
		})
	}
}

// TestUnloadedTime checks the expected duration at a server without other requests: requests
// that it already has do not count, but its speed does, and so does crowding by the request
// itself.
func TestUnloadedTime(t *testing.T) {
	const crowd = 1.8

	for name, c := range map[string]struct {
		slots, running, queued int
		slowness, want         float64
	}{
		"one of four slots":  {4, 4, 3, 1, 1},
		"a slow machine":     {4, 0, 0, 5, 5},
		"its only slot":      {1, 1, 2, 1, crowd},
		"its only one, slow": {1, 0, 0, 2, 2 * crowd},
	} {
		t.Run(name, func(t *testing.T) {
			v := view(c.running, c.queued, c.slowness)
			v.Report.Slots = c.slots

			if got := UnloadedTime(&v, Factors{Crowd: crowd}); got != c.want {
				t.Errorf("%.2f usual response times, want %.2f", got, c.want)
			}

			if v.Report.Running != c.running || v.Report.Queued != c.queued {
				t.Error("the view has changed")
			}
		})
	}
}
