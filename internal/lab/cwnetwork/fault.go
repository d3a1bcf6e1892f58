package cwnetwork

import (
	"slices"
	"time"

	"carobward.example/carobward"
)

// Fault is a fault under which no running VM may be considered dead.
type Fault struct {
	Name string
	// Run applies the fault to a settled network and counts the false deaths.
	Run func(n *Network) int
}

// The durations of the faults and of the periods after them.
const (
	lossTime      = 40 * time.Second
	pairTime      = 20 * time.Second
	isolationTime = 14 * time.Second
	// briefOutage is longer than the naive version's timeout.
	briefOutage  = 5500 * time.Millisecond
	recoveryTime = 20 * time.Second
	resumeTime   = 10 * time.Second
	highLoss     = 0.3
)

// The indexes of the VMs that the faults affect.
const (
	pausedVM = 3
	faultyVM = 5
)

// Faults returns the faults that membership must tolerate.
func Faults() []Fault {
	return []Fault{
		{"loss of 30 %", func(n *Network) int {
			n.Loss = highLoss

			return n.FalseDeaths(lossTime)
		}},
		{"one-way cut of a pair", func(n *Network) int {
			n.Blocked = func(from, to int) bool { return from == 1 && to == 2 }

			return n.FalseDeaths(pairTime)
		}},
		{"loss of 30 %, and one VM hears nobody for 14 s", func(n *Network) int {
			// The isolated VM is rightly considered dead, since it answers
			// nobody, but it must not consider the others dead.
			n.Loss = highLoss

			return n.blockFor(isolationTime, func(_, to int) bool { return to == faultyVM }, faultyVM)
		}},
		{"nobody hears one VM for 5.5 s", func(n *Network) int {
			return n.blockFor(briefOutage, func(from, _ int) bool { return from == faultyVM })
		}},
		{"freeze of 5.5 s", func(n *Network) int {
			v := n.VMs[pausedVM]
			v.Paused = true
			count := n.FalseDeaths(briefOutage)
			v.Paused = false

			return count + n.FalseDeaths(resumeTime)
		}},
	}
}

// blockFor counts the false deaths during and after a partition.
func (n *Network) blockFor(d time.Duration, blocked func(from, to int) bool, except ...int) int {
	n.Blocked = blocked
	count := n.FalseDeaths(d, except...)
	n.Blocked = noBlock

	return count + n.FalseDeaths(recoveryTime, except...)
}

// checkSteps is the number of steps between two checks, because a check costs
// more than a step.
const checkSteps = 4

// FalseDeaths runs the network for a while and counts how often a running VM
// considers another running VM dead, except the VMs with the given indexes.
func (n *Network) FalseDeaths(d time.Duration, except ...int) int {
	count, steps := 0, 0
	dead := map[[2]int]bool{}

	n.Run(d, func() {
		if steps++; steps%checkSteps > 0 {
			return
		}

		for i, v := range n.VMs {
			if v.Down || v.Paused {
				continue
			}

			for _, p := range v.Actor.Peers() {
				j := n.byAddr[p.Peers]
				isDead := p.State == carobward.PeerDead && !n.VMs[j].Down && !slices.Contains(except, j)

				if isDead && !dead[[2]int{i, j}] {
					count++
				}

				dead[[2]int{i, j}] = isDead
			}
		}
	})

	return count
}
