package cwstop

import (
	"testing"
	"time"
)

var began = time.Unix(1_000_000, 0)

// TestTakes checks that a request is taken if its time limit ends before servers stop working, or if
// its answer usually comes before, for long and short grace periods.
func TestTakes(t *testing.T) {
	for name, c := range map[string]struct {
		grace, now, limit, expected time.Duration
		want                        bool
	}{
		"at the beginning":              {6 * time.Second, 0, 2 * time.Second, 300 * time.Millisecond, true},
		"its limit fits":                {6 * time.Second, 3400 * time.Millisecond, 2 * time.Second, 1900 * time.Millisecond, true},
		"its limit doesn't fit":         {6 * time.Second, 3500 * time.Millisecond, 2 * time.Second, 1900 * time.Millisecond, false},
		"its expected time fits":        {6 * time.Second, 4900 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond, true},
		"its expected time doesn't fit": {6 * time.Second, 5000 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond, false},
		"after the work":                {6 * time.Second, 5500 * time.Millisecond, 2 * time.Second, time.Millisecond, false},
		"short grace, quick":            {2 * time.Second, 1700 * time.Millisecond, 2 * time.Second, 10 * time.Millisecond, true},
		"short grace, slow":             {2 * time.Second, 100 * time.Millisecond, 2 * time.Second, 1200 * time.Millisecond, false},
		"long grace, long limit, quick": {20 * time.Second, 15 * time.Second, 30 * time.Second, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(began, c.grace)
			now := began.Add(c.now)

			if got := p.Takes(now, now.Add(c.limit), c.expected); got != c.want {
				t.Errorf("taken: %v", got)
			}
		})
	}
}

// TestOrder checks that the steps of a stop come in order, that a server's time limit leaves time for
// the answer, and that the process ends before it is killed.
func TestOrder(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 6 * time.Second, 20 * time.Second, time.Minute} {
		p := New(began, grace)

		if !began.Before(p.Accept) || !p.Accept.Before(p.Work) || !p.Work.Before(p.End) || !p.End.Before(began.Add(grace)) {
			t.Errorf("%s: %+v", grace, p)
		}

		if !p.Limit(began.Add(time.Hour)).Equal(p.Work) || !p.Limit(began).Equal(began) {
			t.Errorf("%s: a server's time limit is %s and %s", grace, p.Limit(began.Add(time.Hour)), p.Limit(began))
		}
	}
}
