package cwretry_test

import (
	"fmt"
	"testing"

	"carobward.example/carobward/internal/cwretry"
)

// TestRestartsForgetExtraCalls lets servers refuse a share of everything while entry VMs restart, and
// counts at the servers: entry VMs whose successors know nothing of their extra calls must not
// pass the operators' bound together.
func TestRestartsForgetExtraCalls(t *testing.T) {
	for name, c := range map[string]struct {
		refusing, load, moved func(step int) float64
		events                func(h *restartHistory, step int)
	}{
		"no restart":                   {refusing: between(13, 30, 0.6, 0)},
		"all killed":                   {refusing: between(13, 30, 0.6, 0), events: every(18, 19, 1, killEach(1))},
		"all killed in series":         {refusing: between(13, 30, 0.6, 0), events: every(16, 24, 2, killEach(1))},
		"all killed at the begin":      {refusing: between(13, 30, 1, 0), events: every(13.5, 14, 1, killEach(1))},
		"half killed in series":        {refusing: between(13, 30, 0.6, 0), events: every(15, 22, 1.5, killEach(0.5))},
		"one by one":                   {refusing: between(13, 30, 0.6, 0), events: every(12, 28, 0.1, roll(0.01))},
		"rolled twice":                 {refusing: between(13, 30, 0.6, 0), events: join(every(15, 16.5, 0.5, roll(0.34)), every(19, 20.5, 0.5, roll(0.34)))},
		"replaced":                     {refusing: between(13, 30, 0.6, 0), events: every(14, 24, 0.5, replaceRoll(0.1))},
		"suspended, then killed":       {refusing: between(13, 30, 0.6, 0), events: join(every(15, 16, 1, suspendEach(0.9, 2.5)), every(20, 21, 1, killEach(1)))},
		"grows, then killed":           {refusing: between(13, 30, 0.6, 0), events: join(every(12, 13, 1, grow(1)), every(18, 19, 1, killEach(1)))},
		"shrinks, then killed":         {refusing: between(13, 30, 0.6, 0), events: join(every(14, 15, 1, shrink(0.5)), every(18, 19, 1, killEach(1)))},
		"traffic falls":                {refusing: between(19, 40, 1, 0), load: between(0, 19, 1, 0.1)},
		"traffic falls, all killed":    {refusing: between(13, 40, 1, 0), load: between(0, 20, 1, 0.1), events: every(20, 21, 1, killEach(1))},
		"traffic rises, all killed":    {refusing: between(13, 40, 1, 0), load: between(0, 15, 0.3, 1.5), events: every(20, 21, 1, killEach(1))},
		"requests move to others":      {refusing: between(13, 40, 0.8, 0), moved: between(0, 14, 0.95, 0.05)},
		"peaks, refused in between":    {refusing: between(14, 40, 1, 0), load: func(step int) float64 { return between(0, 2, 4, 0.2)(step % (spanSteps / 2)) }},
		"peaks, all killed each time":  {refusing: between(11, 40, 1, 0), load: func(step int) float64 { return between(0, 2, 4, 0.2)(step % (spanSteps / 2)) }, events: every(12, 35, 5, killEach(1))},
		"half killed, requests follow": {refusing: between(13, 30, 0.7, 0), moved: between(0, 16, 0.9, 0.2), events: every(16, 17, 1, killEach(0.5))},
	} {
		for _, vms := range []int{17, 60, 126, 472} {
			t.Run(fmt.Sprintf("%s/%d", name, vms), func(t *testing.T) {
				h := newRestartHistory(uint64(vms), vms)
				h.refusing, h.moved = c.refusing, c.moved

				if c.load != nil {
					h.load = c.load
				}

				if c.events != nil {
					h.events = c.events
				}

				h.check(t)
			})
		}
	}
}

// TestExtraCallsRandom plays random histories: several kinds of restarts that overlap, any load, any
// share that servers refuse.
func TestExtraCallsRandom(t *testing.T) {
	sizes := []int{17, 17, 60, 60, 126, 126, 472}

	for seed := range uint64(28) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newRestartHistory(seed, sizes[seed%uint64(len(sizes))])
			from := 10 + 8*h.rnd.Float64()
			h.refusing = between(from, from+4+20*h.rnd.Float64(), 0.3+0.7*h.rnd.Float64(), 0.05)
			h.load = h.randomLoad()

			if h.rnd.IntN(2) == 0 {
				h.moved = between(0, from+4*h.rnd.Float64(), h.rnd.Float64(), h.rnd.Float64())
			}

			h.events = join(h.randomEvents(from), h.randomEvents(from), h.randomEvents(from))
			h.check(t)
		})
	}
}

// TestExtraCallsLeft checks what the limit leaves to callers while servers refuse more than it
// covers: nine tenths of the bound without restarts, and soon after a restart of all nearly as
// much of what requests allow.
func TestExtraCallsLeft(t *testing.T) {
	const (
		refused = 13
		killed  = 24
		// started is when all have started again and had requests for a second.
		started = killed + 3
		after   = 4
		// tolerance is for the extra calls that arrive in the next span.
		tolerance = 0.01
		// restartShare is lower since parts of a call are left over at each entry VM.
		restartShare = 0.8
	)

	for _, vms := range []int{17, 126, 472} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			h := newRestartHistory(uint64(vms), vms)
			h.claims = []cwretry.Claim{cwretry.Needed}
			h.refusing = between(refused, 40, 0.6, 0)
			h.events = every(killed, killed+1, 1, killEach(1))
			h.run()

			span := boundSpan.Seconds()
			if got, bound := h.count(h.extras, refused, span), boundShare*h.count(h.requests, refused, span)+h.fixed; got < (usedShare-tolerance)*bound || got > (usedShare+tolerance)*bound {
				t.Errorf("%.0f extra calls in the first span of refusals, want nine tenths of %.0f", got, bound)
			}

			if got, allowed := h.count(h.extras, started, after), boundShare*h.count(h.requests, started, after); got < restartShare*allowed {
				t.Errorf("%.0f extra calls soon after a restart, want %.1f of the %.0f that requests allow", got, restartShare, allowed)
			}
		})
	}
}
