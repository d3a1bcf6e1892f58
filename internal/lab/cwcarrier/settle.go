package cwcarrier

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
	"carobward.example/carobward/internal/cwpeer"
)

// hot is the target whose width is looked at, and keep how long callers keep
// an answer.
const (
	hot  = carobward.TargetName("hot")
	keep = 5 * time.Second
)

// Settle lets the callers of one failure domain follow the widths of a hot
// target with a rate, where one entry VM should carry at most so much, both in
// requests a second. For each round of decisions it returns the width by each
// entry VM that carries the target then.
func Settle(vms, rounds int, rate, most float64) [][]int {
	near := carriersNear(vms, most)
	now := time.Unix(0, 0)
	width := min(cwlookup.BaseWidth, len(near))
	all := make([][]int, rounds)

	for round := range all {
		now = now.Add(near[0].Interval())
		decide(near, width, now, rate)

		// Callers follow what a carrier answers.
		width = min(len(near), near[0].Of(hot, 0))
		for _, w := range near[:width] {
			all[round] = append(all[round], w.Of(hot, 0))
		}
	}

	return all
}

// carriersNear returns the widths that the entry VMs of one failure domain
// keep, in the order in which they carry the target.
func carriersNear(vms int, most float64) []*cwlookup.Widths {
	peers := Peers(vms)

	var near []*cwlookup.Widths

	for _, p := range cwlookup.AssignedVMs(peers, hot, len(peers)) {
		if p.Domain != peers[0].Domain {
			continue
		}

		table := cwpeer.NewTable(p)
		table.Replace(peers)
		near = append(near, cwlookup.NewWidths(table, most, keep))
	}

	return near
}

// decide has the first width carriers see an equal part of the rate each, and
// all of them decide anew.
func decide(near []*cwlookup.Widths, width int, now time.Time, rate float64) {
	for i, w := range near {
		if i < width {
			w.Of(hot, width)
		}

		w.Tick(now, func() map[carobward.TargetName]int {
			if i >= width {
				return nil
			}

			return map[carobward.TargetName]int{hot: int(rate / float64(width) * w.Interval().Seconds())}
		})
	}
}
