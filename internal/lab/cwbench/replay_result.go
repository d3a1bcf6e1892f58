package cwbench

import (
	"time"

	"carobward.example/carobward"
)

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
	// Unadmitted counts the refusals at arrival, before any health check, over the whole
	// run.
	Unadmitted int
	// Ranks has the outcomes by rank.
	Ranks [carobward.LoadRanks]RankResult
	// P99 is the 99th percentile of the time of answered requests.
	P99 time.Duration
	// Series holds the whole run in steps of replayStepLength.
	Series []ReplayStep

	took []time.Duration
	// attempts has when requests arrived at entry VMs, extras when they were sent again.
	attempts, extras []time.Time
}

// RankResult counts the requests of one rank by their outcome.
type RankResult struct{ Calls, InTime, Late, Refused int }

// countRank counts the end of a request of a rank.
func (r *ReplayResult) countRank(rank int, answered, late, refused bool) {
	k := &r.Ranks[min(rank, carobward.LoadRanks-1)]
	k.Calls++

	switch {
	case answered && !late:
		k.InTime++
	case answered:
		k.Late++
	case refused:
		k.Refused++
	}
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
	r.P99 = max(r.P99, o.P99)
	r.Unadmitted += o.Unadmitted

	for i := range r.Ranks {
		r.Ranks[i].Calls += o.Ranks[i].Calls
		r.Ranks[i].InTime += o.Ranks[i].InTime
		r.Ranks[i].Late += o.Ranks[i].Late
		r.Ranks[i].Refused += o.Ranks[i].Refused
	}

	for i := range r.Series {
		r.Series[i].InTime += o.Series[i].InTime
		r.Series[i].Late += o.Series[i].Late
		r.Series[i].Refused += o.Series[i].Refused
	}
}
