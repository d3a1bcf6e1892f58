package cwcarrier

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
)

// Spread is how targets spread over entry VMs.
type Spread struct {
	VMs, Targets int
	// Least and Most are the targets that one entry VM carries.
	Least, Most int
	// Moved is the share of all carriers that change when one entry VM is
	// lost, on average over all, with the lost one itself among them.
	Moved, NaiveMoved float64
}

// MeasureSpread returns how so many targets spread over so many entry VMs.
func MeasureSpread(vms, targets int) Spread {
	all := Peers(vms)
	s := Spread{VMs: vms, Targets: targets, Least: targets}

	counts := map[carobward.VMID]int{}

	for i := range targets {
		for _, p := range cwlookup.AssignedVMs(all, Target(i), cwlookup.BaseWidth) {
			counts[p.ID]++
		}
	}

	for _, p := range all {
		s.Least, s.Most = min(s.Least, counts[p.ID]), max(s.Most, counts[p.ID])
	}

	s.Moved, s.NaiveMoved = moved(cwlookup.AssignedVMs, all, targets), moved(Naive, all, targets)

	return s
}

// Moved returns how many carriers of a target no longer carry it once others
// are there.
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

// losses bounds the entry VMs that are lost in turn.
const losses = 20

// moved returns the share of carriers that a lost entry VM changes.
func moved(choice Choice, all []carobward.Peer, targets int) float64 {
	changed, carriers := 0, 0

	for _, lost := range all[:min(len(all), losses)] {
		left := Without(all, lost.ID)

		for i := range targets {
			changed += Moved(choice, all, left, Target(i))
			carriers += len(choice(all, Target(i), cwlookup.BaseWidth))
		}
	}

	return float64(changed) / float64(max(1, carriers))
}
