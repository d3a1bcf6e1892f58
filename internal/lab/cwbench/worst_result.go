package cwbench

import "time"

// WorstResult is what became of the requests of one pattern under one way.
type WorstResult struct {
	Pattern, Way string
	// Calls counts the requests that came during the trouble or within a second
	// after it, or all where there is none. Each ends InTime, Late, Refused for good
	// or Failed; Back counts those that were refused once.
	Calls, InTime, Late, Refused, Failed, Back int
	// Fresh counts those that came while entry VMs ran, FreshInTime those of them
	// that were answered in time.
	Fresh, FreshInTime int
	// P99 is the time of the slowest answer but one in a hundred.
	P99 time.Duration
	// Series holds the whole run in steps of worstStep.
	Series []WorstStep

	took []time.Duration
}

// WorstStep counts the requests that came in one step of a run by their end.
type WorstStep struct{ InTime, Late, Refused int }

// worstStep is the length of one step of a series.
const worstStep = 250 * time.Millisecond

// counts tells whether a request that came at a time counts: from the first trouble
// to a while after the last.
func (w *worst) counts(at time.Duration) bool {
	p := w.pattern
	all := []Stretch{p.Slow.Stretch, p.Gone.Stretch, p.Shed.Stretch, p.Dark, p.Lean.Stretch}

	for _, s := range p.Surges {
		all = append(all, s.Stretch)
	}

	troubled := false

	for _, s := range all {
		troubled = troubled || s.To > 0

		if s.From <= at && at < s.To+worstAfter {
			return true
		}
	}

	return !troubled
}

func (r *WorstResult) count(took time.Duration, answered, late, refused, fresh bool) {
	r.Calls++

	if fresh {
		r.Fresh++
	}

	switch {
	case answered && !late:
		r.InTime++

		if fresh {
			r.FreshInTime++
		}
	case answered:
		r.Late++
	case refused:
		r.Refused++
	default:
		r.Failed++
	}

	if answered {
		r.took = append(r.took, took)
	}
}

// RunWorstSeeds runs a pattern with so many seeds, counted up from its own, and adds
// up the results by way.
func RunWorstSeeds(p Pattern, ways []Way, seeds, parallel int) ([]*WorstResult, error) {
	var sums []*WorstResult

	for range max(1, seeds) {
		list, err := RunWorst(p, ways, parallel)
		if err != nil {
			return nil, err
		}

		if sums == nil {
			sums = list
		} else {
			for i := range sums {
				sums[i].add(list[i])
			}
		}

		p.Seed++
	}

	return sums, nil
}

// add adds another run's counts; P99 is the longest one.
func (r *WorstResult) add(o *WorstResult) {
	r.Calls += o.Calls
	r.InTime += o.InTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.Back += o.Back
	r.Fresh += o.Fresh
	r.FreshInTime += o.FreshInTime
	r.P99 = max(r.P99, o.P99)

	for i := range r.Series {
		r.Series[i].InTime += o.Series[i].InTime
		r.Series[i].Late += o.Series[i].Late
		r.Series[i].Refused += o.Series[i].Refused
	}
}
