package cwbench

import (
	"time"
)

// Trouble tells how a stretch of trouble went.
type Trouble struct {
	// Answered counts whole answers in the stretch, Room what the servers
	// could have run in it.
	Answered, Room int
	// Recovery is the time from the end of the stretch until nothing is lost
	// any more and no answer is slower than twice the slowest one before the
	// trouble. With several seeds it is the longest.
	Recovery time.Duration
	// Recovered tells whether that came before the end of the run, in each
	// run.
	Recovered bool
}

func (t *Trouble) add(o *Trouble) {
	t.Answered += o.Answered
	t.Room += o.Room
	t.Recovery = max(t.Recovery, o.Recovery)
	t.Recovered = t.Recovered && o.Recovered
}

// trouble fills in how the stretch of trouble went.
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

// recovery looks for the last step after the trouble that is not normal.
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
