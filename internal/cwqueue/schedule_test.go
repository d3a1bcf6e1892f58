package cwqueue

import (
	"testing"
	"time"
)

const (
	usual     = 100 * time.Millisecond
	objective = 400 * time.Millisecond
	wait      = 2 * time.Second
)

// begin is when the tests' requests arrive.
var begin = time.Unix(1000, 0)

// schedule returns the schedule of a request whose caller made its first attempt age before
// begin.
func schedule(rank int, age time.Duration) *Schedule {
	return &Schedule{
		Rank: rank, Arrived: begin, Due: begin.Add(objective - age), Deadline: begin.Add(wait - age),
		Objective: objective, Usual: usual, Slowdown: 1,
	}
}

// TestBefore checks pairs in which the first request gets a server before the second.
func TestBefore(t *testing.T) {
	at := begin.Add(50 * time.Millisecond)
	slow := schedule(0, 0)
	slow.Slowdown = 5

	for name, c := range map[string]struct{ first, second *Schedule }{
		"in time before late":           {schedule(1, 0), schedule(1, 350*time.Millisecond)},
		"in time though less urgent":    {schedule(2, 0), schedule(0, 350*time.Millisecond)},
		"the more urgent":               {schedule(0, 0), schedule(1, 100*time.Millisecond)},
		"less time left":                {schedule(1, 100*time.Millisecond), schedule(1, 0)},
		"late ones by age":              {schedule(1, time.Second), schedule(1, 400*time.Millisecond)},
		"late because servers are slow": {schedule(1, 0), slow},
	} {
		t.Run(name, func(t *testing.T) {
			if !c.first.Before(c.second, at) || c.second.Before(c.first, at) {
				t.Errorf("%+v not before %+v", c.first, c.second)
			}
		})
	}
}

// TestDecisions checks whether a request is sent or refused, given the time at the best
// server that it found, in usual response times, and the time since it arrived.
func TestDecisions(t *testing.T) {
	const none = 1000

	for name, c := range map[string]struct {
		age, after     time.Duration
		best, slowdown float64
		sent, refused  bool
	}{
		"a fast server":                            {0, 0, 1, 1, true, false},
		"a crowded one":                            {0, 0, 1.7, 1, true, false},
		"a slower one, search for a better one":    {0, 0, 3, 1, false, false},
		"a slower one after the search, in time":   {0, 80 * time.Millisecond, 3, 1, true, false},
		"too slow to be in time":                   {0, 80 * time.Millisecond, 5, 1, false, false},
		"no room":                                  {0, 80 * time.Millisecond, none, 1, false, false},
		"no room until the last moment":            {0, 299 * time.Millisecond, none, 1, false, false},
		"no room, past the last moment":            {0, 301 * time.Millisecond, none, 1, false, true},
		"a retry that can be in time":              {250 * time.Millisecond, 0, 1, 1, true, false},
		"a late retry, a fast server":              {time.Second, 0, 1, 1, true, false},
		"a late retry, a slow server":              {time.Second, 100 * time.Millisecond, 5, 1, false, false},
		"a late retry, no room for a while":        {time.Second, 201 * time.Millisecond, none, 1, false, true},
		"shortly before the deadline":              {wait - 50*time.Millisecond, 0, none, 1, false, true},
		"all servers are slow: late, but answered": {0, 0, 5, 5, true, false},
		"all servers are slow, this one more so":   {0, 0, 12, 5, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := schedule(0, c.age)
			r.Slowdown = c.slowdown
			now := begin.Add(c.after)

			if got := r.Good(c.best) || r.Acceptable(c.best, now); got != c.sent {
				t.Errorf("sent: %v", got)
			}

			if got := r.ShouldRefuse(now); got != c.refused {
				t.Errorf("refused: %v", got)
			}
		})
	}
}

// TestIntervals checks that the intervals of waiting follow the usual response time.
func TestIntervals(t *testing.T) {
	for name, usual := range map[string]time.Duration{"short work": 10 * time.Millisecond, "long work": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r := &Schedule{Usual: usual, Slowdown: 1}

			if p := r.CheckInterval(); p <= 0 || p >= usual {
				t.Errorf("health checks every %s, work of %s", p, usual)
			}

			if d := r.RetryAfter(); d < usual || d > 2*usual {
				t.Errorf("retry after %s, work of %s", d, usual)
			}

			r.Slowdown = 4
			if d := r.RetryAfter(); d < 4*usual {
				t.Errorf("retry after %s while work takes %s", d, 4*usual)
			}
		})
	}
}

// TestMinIntervals checks that neither health checks of waiting requests nor retries of
// refused callers follow in quick succession if work takes next to no time.
func TestMinIntervals(t *testing.T) {
	r := &Schedule{Usual: time.Microsecond, Slowdown: 1}

	for name, d := range map[string]time.Duration{"a check interval": r.CheckInterval(), "a retry": r.RetryAfter(), "a retry after a refusal": r.RetryAfterRefusal()} {
		if d < time.Millisecond {
			t.Errorf("%s after %s", name, d)
		}
	}
}

// TestSpares checks that late requests leave a slot to others.
func TestSpares(t *testing.T) {
	if r := schedule(0, 0); r.Spares(begin) != 0 || r.Spares(begin.Add(objective)) != 1 {
		t.Error("a request in time leaves a slot to others, or a late one none")
	}
}
