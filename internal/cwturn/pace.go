package cwturn

import "slices"

// The figures of a pace.
const (
	// paceLooks is how many looks at servers are remembered: a second or two of
	// one entry VM's.
	paceLooks = 32
	// paceLeast is how many are needed to tell a pace.
	paceLeast = 8
	// paceQuantile is the part of servers that are faster. A few fast ones among
	// many slow ones are worth waiting for: a look at four finds one in two of
	// three times where a quarter are fast.
	paceQuantile = 0.25
)

// Pace is how much longer than usual servers take now, learned from looks at
// them. Without it requests wait for a fast server, and four in ten are refused in
// the end, while all servers are slow but have room (carobward bench worst, pattern
// all-slow, two seeds). It is not safe for use by several goroutines.
type Pace struct {
	list []float64
	next int
	pace float64
}

// Add takes how long one server takes that has no other request, in usual times.
func (p *Pace) Add(alone float64) {
	if len(p.list) < paceLooks {
		p.list = append(p.list, alone)
	} else {
		p.list[p.next] = alone
	}

	p.next = (p.next + 1) % paceLooks

	if len(p.list) < paceLeast {
		return
	}

	sorted := slices.Clone(p.list)
	slices.Sort(sorted)
	p.pace = sorted[int(paceQuantile*float64(len(sorted)))]
}

// Now returns the pace, 1 where none is known.
func (p *Pace) Now() float64 { return max(1, p.pace) }
