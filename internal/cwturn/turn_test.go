package cwturn

import (
	"testing"
	"time"
)

const (
	usual     = 100 * time.Millisecond
	objective = 400 * time.Millisecond
	wait      = 2 * time.Second
)

// begin is when the tests' requests come.
var begin = time.Unix(1000, 0)

// turn returns a request whose first attempt was so long before it came.
func turn(rank int, age time.Duration) *Turn {
	return &Turn{
		Rank: rank, Arrived: begin, Due: begin.Add(objective - age), Deadline: begin.Add(wait - age),
		Objective: objective, Usual: usual, Pace: 1,
	}
}

// TestBefore has pairs of which the first gets a server before the other.
func TestBefore(t *testing.T) {
	at := begin.Add(50 * time.Millisecond)
	slow := turn(0, 0)
	slow.Pace = 5

	for name, c := range map[string]struct{ first, second *Turn }{
		"in time before late":        {turn(1, 0), turn(1, 350*time.Millisecond)},
		"in time though less urgent": {turn(2, 0), turn(0, 350*time.Millisecond)},
		"the more urgent":            {turn(0, 0), turn(1, 100*time.Millisecond)},
		"less time left":             {turn(1, 100*time.Millisecond), turn(1, 0)},
		"late ones by age":           {turn(1, time.Second), turn(1, 400*time.Millisecond)},
		"late since servers slowed":  {turn(1, 0), slow},
	} {
		t.Run(name, func(t *testing.T) {
			if !c.first.Before(c.second, at) || c.second.Before(c.first, at) {
				t.Errorf("%+v not before %+v", c.first, c.second)
			}
		})
	}
}

// TestDecisions has what becomes of a request that found the best server to take
// so many usual times, at a moment after it came.
func TestDecisions(t *testing.T) {
	const none = 1000

	for name, c := range map[string]struct {
		age, after time.Duration
		best, pace float64
		sent, over bool
	}{
		"a fast server":                            {0, 0, 1, 1, true, false},
		"a crowded one":                            {0, 0, 1.7, 1, true, false},
		"slower, a better one is looked for":       {0, 0, 3, 1, false, false},
		"and is taken while it is in time":         {0, 80 * time.Millisecond, 3, 1, true, false},
		"too slow to be in time":                   {0, 80 * time.Millisecond, 5, 1, false, false},
		"no room":                                  {0, 80 * time.Millisecond, none, 1, false, false},
		"no room until the last moment":            {0, 299 * time.Millisecond, none, 1, false, false},
		"nor then":                                 {0, 301 * time.Millisecond, none, 1, false, true},
		"come back in time to be served":           {250 * time.Millisecond, 0, 1, 1, true, false},
		"come back late, a fast server":            {time.Second, 0, 1, 1, true, false},
		"come back late, a slow server":            {time.Second, 100 * time.Millisecond, 5, 1, false, false},
		"come back late, no room for a while":      {time.Second, 201 * time.Millisecond, none, 1, false, true},
		"nearly gone":                              {wait - 50*time.Millisecond, 0, none, 1, false, true},
		"all servers are slow: late, but answered": {0, 0, 5, 5, true, false},
		"all are slow, this one more":              {0, 0, 12, 5, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := turn(0, c.age)
			r.Pace = c.pace
			now := begin.Add(c.after)

			if got := r.Good(c.best) || r.Suits(c.best, now); got != c.sent {
				t.Errorf("sent: %v", got)
			}

			if got := r.Over(now); got != c.over {
				t.Errorf("refused: %v", got)
			}
		})
	}
}

// TestTimes wants the times of waiting to follow the usual time of an answer.
func TestTimes(t *testing.T) {
	for name, usual := range map[string]time.Duration{"short work": 10 * time.Millisecond, "long work": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r := &Turn{Usual: usual, Pace: 1}

			if p := r.Pause(); p <= 0 || p >= usual {
				t.Errorf("a pause of %s between looks, work of %s", p, usual)
			}

			if d := r.Return(); d < usual || d > 2*usual {
				t.Errorf("back after %s, work of %s", d, usual)
			}

			r.Pace = 4
			if d := r.Return(); d < 4*usual {
				t.Errorf("back after %s while work takes %s", d, 4*usual)
			}
		})
	}
}

// TestLeastTimes wants neither waiting requests nor refused callers to come in
// quick succession where work takes next to no time.
func TestLeastTimes(t *testing.T) {
	r := &Turn{Usual: time.Microsecond, Pace: 1}

	for name, d := range map[string]time.Duration{"a pause": r.Pause(), "a return": r.Return(), "a return after a refusal": r.ReturnShed()} {
		if d < time.Millisecond {
			t.Errorf("%s of %s", name, d)
		}
	}
}

// TestSpares wants late requests to leave a slot to others.
func TestSpares(t *testing.T) {
	if r := turn(0, 0); r.Spares(begin) != 0 || r.Spares(begin.Add(objective)) != 1 {
		t.Error("a request in time spares a slot, or a late one none")
	}
}
