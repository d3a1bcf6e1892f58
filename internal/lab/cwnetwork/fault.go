package cwnetwork

import (
	"slices"
	"time"

	"carobward.example/carobward"
)

// Fault is a fault under which no VM that runs may be taken for dead.
type Fault struct {
	Name string
	// Run puts a settled network through it and counts the false deaths.
	Run func(n *Network) int
}

// The lengths of the faults.
const (
	lossLong = 40 * time.Second
	pairLong = 20 * time.Second
	deafLong = 14 * time.Second
	// brief is longer than the naive version's timeout.
	brief    = 5500 * time.Millisecond
	after    = 20 * time.Second
	resumed  = 10 * time.Second
	lossHigh = 0.3
)

// The places that the faults strike.
const (
	frozen = 3
	faulty = 5
)

// Faults returns the faults that membership must bear.
func Faults() []Fault {
	return []Fault{
		{"loss of 30 %", func(n *Network) int {
			n.Loss = lossHigh

			return n.FalseDeaths(lossLong)
		}},
		{"one-way cut of a pair", func(n *Network) int {
			n.Cut = func(from, to int) bool { return from == 1 && to == 2 }

			return n.FalseDeaths(pairLong)
		}},
		{"loss of 30 %, and one VM hears nobody for 14 s", func(n *Network) int {
			// It is rightly taken for dead, since it answers nobody; but it
			// must not bury the others.
			n.Loss = lossHigh

			return n.cutFor(deafLong, func(_, to int) bool { return to == faulty }, faulty)
		}},
		{"nobody hears one VM for 5.5 s", func(n *Network) int {
			return n.cutFor(brief, func(from, _ int) bool { return from == faulty })
		}},
		{"freeze of 5.5 s", func(n *Network) int {
			v := n.VMs[frozen]
			v.Frozen = true
			count := n.FalseDeaths(brief)
			v.Frozen = false

			return count + n.FalseDeaths(resumed)
		}},
	}
}

// cutFor counts the false deaths during a cut and after it.
func (n *Network) cutFor(d time.Duration, cut func(from, to int) bool, but ...int) int {
	n.Cut = cut
	count := n.FalseDeaths(d, but...)
	n.Cut = none

	return count + n.FalseDeaths(after, but...)
}

// lookEvery is the number of steps between two looks, which cost more than
// the steps.
const lookEvery = 4

// FalseDeaths counts how often a VM that runs is taken for dead by another
// in a time, but for some.
func (n *Network) FalseDeaths(d time.Duration, but ...int) int {
	count, looks := 0, 0
	dead := map[[2]int]bool{}

	n.Run(d, func() {
		if looks++; looks%lookEvery > 0 {
			return
		}

		for i, v := range n.VMs {
			if v.Down || v.Frozen {
				continue
			}

			for _, p := range v.Actor.Peers() {
				j := n.byAddr[p.Peers]
				now := p.State == carobward.PeerDead && !n.VMs[j].Down && !slices.Contains(but, j)

				if now && !dead[[2]int{i, j}] {
					count++
				}

				dead[[2]int{i, j}] = now
			}
		}
	})

	return count
}
