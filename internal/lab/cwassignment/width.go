package cwassignment

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
	"carobward.example/carobward/internal/cwpeer"
)

// hot is the target whose width is observed. keep is how long callers cache a
// lookup reply.
const (
	hot  = carobward.TargetName("hot")
	keep = 5 * time.Second
)

// Settle simulates callers of one failure domain that follow the width of a hot
// target. The target gets rate requests per second, and one entry VM should
// serve at most the given maximum of them. For each round of decisions it
// returns the width that each entry VM then assigned to the target has decided
// on.
func Settle(vms, rounds int, rate, maxPerVM float64) [][]int {
	local := localWidths(vms, maxPerVM)
	now := time.Unix(0, 0)
	width := min(cwlookup.BaseWidth, len(local))
	all := make([][]int, rounds)

	for round := range all {
		now = now.Add(local[0].Interval())
		decide(local, width, now, rate)

		// Callers follow the reply of an entry VM assigned to the target.
		width = min(len(local), local[0].Of(hot, 0))
		for _, w := range local[:width] {
			all[round] = append(all[round], w.Of(hot, 0))
		}
	}

	return all
}

// localWidths returns the widths kept by the entry VMs of one failure domain,
// in the order in which they are assigned to the target.
func localWidths(vms int, maxPerVM float64) []*cwlookup.Widths {
	peers := Peers(vms)

	var local []*cwlookup.Widths

	for _, p := range cwlookup.AssignedVMs(peers, hot, len(peers)) {
		if p.Domain != peers[0].Domain {
			continue
		}

		table := cwpeer.NewTable(p)
		table.Replace(peers)
		local = append(local, cwlookup.NewWidths(table, maxPerVM, keep))
	}

	return local
}

// decide gives each of the first width entry VMs an equal share of the rate,
// and lets all of them decide on the width again.
func decide(local []*cwlookup.Widths, width int, now time.Time, rate float64) {
	for i, w := range local {
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
