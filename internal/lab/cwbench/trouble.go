package cwbench

import (
	"time"
)

// Trouble has the goodput during the interval Scenario.Trouble, in which servers are
// overloaded or stopped, and the time to recover from it.
type Trouble struct {
	// Answered counts the complete replies in the interval, Room the calls that the
	// servers could have run in it.
	Answered, Room int
	// Recovery is the time from the end of the interval until no request is lost and
	// no reply takes longer than twice the slowest one before the trouble. With
	// several seeds it is the longest.
	Recovery time.Duration
	// Recovered reports whether every run recovered before its end.
	Recovered bool
}

func (t *Trouble) add(o *Trouble) {
	t.Answered += o.Answered
	t.Room += o.Room
	t.Recovery = max(t.Recovery, o.Recovery)
	t.Recovered = t.Recovered && o.Recovered
}

// trouble computes the figures for Scenario.Trouble.
func (r *Result) trouble(backends []*backend) {
	s := r.scenario
	if s.Trouble.To == 0 {
		return
	}

	t := &Trouble{}

	for _, step := range r.steps(s.Trouble.From, s.Trouble.To) {
		t.Answered += step.Answered
	}

	for _, b := range backends {
		t.Room += int(b.speed.Work(s.Trouble.From, s.Trouble.To)/s.Work) * s.Slots
	}

	t.Recovery, t.Recovered = r.recovery()
	r.Trouble = t
}

func (r *Result) steps(from, to time.Duration) []Step {
	return r.Series[from/SeriesStep : to/SeriesStep]
}

// recovery finds the last step after the trouble with a lost request or a slow
// reply, and returns the time until its end.
func (r *Result) recovery() (time.Duration, bool) {
	const normal = 2

	var worst int64
	for _, step := range r.steps(r.scenario.Warm, r.scenario.Trouble.From) {
		worst = max(worst, step.Worst)
	}

	after := r.steps(r.scenario.Trouble.To, r.scenario.end())
	last := 0

	for i, step := range after {
		if step.Lost > 0 || step.Worst > normal*worst {
			last = i + 1
		}
	}

	return time.Duration(last) * SeriesStep, last < len(after)
}
