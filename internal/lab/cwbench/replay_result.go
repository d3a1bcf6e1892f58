package cwbench

import "time"

// ReplayResult has the outcomes of the requests of one pattern and way.
type ReplayResult struct {
	Pattern, Way string
	// Calls counts the requests that arrived during a disturbance or within a second
	// after one, or all if the pattern has none. Each ends as InTime, Late, Refused
	// (for good) or Failed. Retried counts the refusals after which the caller retried,
	// over the whole run.
	Calls, InTime, Late, Refused, Failed, Retried int
	// Fresh counts the requests that arrived while entry VMs had power, FreshInTime
	// those of them that were answered in time.
	Fresh, FreshInTime int
	// Urgent counts the requests of the higher of two priorities, UrgentInTime those of
	// them that were answered in time.
	Urgent, UrgentInTime int
	// P99 is the 99th percentile of the time of answered requests.
	P99 time.Duration
	// Series holds the whole run in steps of replayStepLength.
	Series []ReplayStep

	took []time.Duration
}

// ReplayStep counts the requests that arrived in one step of a run, by their
// outcome.
type ReplayStep struct{ InTime, Late, Refused int }

// replayStepLength is the length of one step of a series.
const replayStepLength = 250 * time.Millisecond

// counts reports whether a request that arrived at a time counts in the totals: it
// arrived during a disturbance or shortly after one, or the pattern has none.
func (w *replay) counts(at time.Duration) bool {
	p := w.pattern
	all := []Interval{p.Slow.Interval, p.Silent.Interval, p.Shed.Interval, p.PowerLoss, p.Skew.Interval}

	for _, s := range p.Surges {
		all = append(all, s.Interval)
	}

	disturbed := false

	for _, s := range all {
		disturbed = disturbed || s.To > 0

		if s.From <= at && at < s.To+aftermath {
			return true
		}
	}

	return !disturbed
}

func (r *ReplayResult) count(took time.Duration, answered, late, refused, fresh bool) {
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

func (r *ReplayResult) countUrgent(inTime bool) {
	r.Urgent++

	if inTime {
		r.UrgentInTime++
	}
}

// ReplaySeeds runs a pattern with a number of consecutive seeds, starting with
// its own, and adds up the results of each way.
func ReplaySeeds(p Pattern, ways []Way, seeds, parallel int) ([]*ReplayResult, error) {
	var sums []*ReplayResult

	for range max(1, seeds) {
		list, err := Replay(p, ways, parallel)
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

// add adds the counts of another run. P99 is the longest one.
func (r *ReplayResult) add(o *ReplayResult) {
	r.Calls += o.Calls
	r.InTime += o.InTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.Retried += o.Retried
	r.Fresh += o.Fresh
	r.FreshInTime += o.FreshInTime
	r.Urgent += o.Urgent
	r.UrgentInTime += o.UrgentInTime
	r.P99 = max(r.P99, o.P99)

	for i := range r.Series {
		r.Series[i].InTime += o.Series[i].InTime
		r.Series[i].Late += o.Series[i].Late
		r.Series[i].Refused += o.Series[i].Refused
	}
}
