package cwassignment

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
)

// Distribution is how targets are distributed over entry VMs.
type Distribution struct {
	VMs, Targets int
	// Min and Max are the smallest and largest number of targets that one entry
	// VM is assigned to.
	Min, Max int
	// Moved is the share of all assignments that change when one entry VM is
	// lost, including those of the lost one, on average over the lost VMs.
	// NaiveMoved is the same share for Naive.
	Moved, NaiveMoved float64
}

// MeasureDistribution returns how a number of targets is distributed over a
// number of entry VMs.
func MeasureDistribution(vms, targets int) Distribution {
	all := Peers(vms)
	s := Distribution{VMs: vms, Targets: targets, Min: targets}

	counts := map[carobward.VMID]int{}

	for i := range targets {
		for _, p := range cwlookup.AssignedVMs(all, Target(i), cwlookup.BaseWidth) {
			counts[p.ID]++
		}
	}

	for _, p := range all {
		s.Min, s.Max = min(s.Min, counts[p.ID]), max(s.Max, counts[p.ID])
	}

	s.Moved, s.NaiveMoved = moved(cwlookup.AssignedVMs, all, targets), moved(Naive, all, targets)

	return s
}

// Moved returns how many entry VMs are assigned to a target before, but not
// after, a change of the fleet.
func Moved(choice Choice, before, after []carobward.Peer, target carobward.TargetName) int {
	still := IDs(choice(after, target, cwlookup.BaseWidth))
	changed := 0

	for _, p := range choice(before, target, cwlookup.BaseWidth) {
		if !still[p.ID] {
			changed++
		}
	}

	return changed
}

// maxLosses bounds the number of entry VMs that are lost, one at a time.
const maxLosses = 20

// moved returns the share of assignments that change when an entry VM is lost.
func moved(choice Choice, all []carobward.Peer, targets int) float64 {
	changed, assigned := 0, 0

	for _, lost := range all[:min(len(all), maxLosses)] {
		remaining := Without(all, lost.ID)

		for i := range targets {
			changed += Moved(choice, all, remaining, Target(i))
			assigned += len(choice(all, Target(i), cwlookup.BaseWidth))
		}
	}

	return float64(changed) / float64(max(1, assigned))
}
