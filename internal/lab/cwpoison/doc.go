// Package cwpoison simulates requests that crash the servers which run them,
// and servers that crash by themselves, against the product's quarantine.
// Servers, callers and the delay until all entry VMs have received an
// announcement are modelled, so that the same seed gives the same figures: how
// many servers crash, and how many innocent requests are refused.
package cwpoison

import "time"

// Pattern describes the crashes of a simulation.
type Pattern struct {
	Name string
	// Culprits is the number of requests that crash servers. Each of them is
	// sent again at every Interval.
	Culprits int
	Interval time.Duration
	// Crashes is how often a Share of the servers, drawn at random, crashes by
	// itself.
	Crashes int
	Share   float64
	// Popular is the share of requests that are the same charge, sent by many
	// callers.
	Popular float64
}

// Patterns are the patterns of the simulation.
var Patterns = []Pattern{
	{Name: "culprit", Culprits: 1, Interval: 70 * time.Millisecond},
	{Name: "five", Culprits: 5, Interval: 300 * time.Millisecond},
	{Name: "rare", Culprits: 1, Interval: 6 * time.Second},
	{Name: "crashes", Crashes: 8, Share: 0.3},
	{Name: "popular", Crashes: 8, Share: 0.3, Popular: 0.3},
	{Name: "gone", Crashes: 2, Share: 1, Popular: 0.3},
	{Name: "both", Culprits: 1, Interval: 150 * time.Millisecond, Crashes: 4, Share: 0.2, Popular: 0.3},
}

// Variant is the quarantine rule with or without some of its parts.
type Variant struct {
	Name string
	// Quarantine is whether requests are quarantined at all, Shared whether
	// entry VMs announce crashes, trials and answers to each other, PerCaller
	// whether the caller is part of a request's fingerprint, and Clears whether
	// an answer clears a request.
	Quarantine, Shared, PerCaller, Clears bool
}

// Variants are the variants that are compared, the product's first.
var Variants = []Variant{
	{"ours", true, true, true, true},
	{"each for itself", true, false, true, true},
	{"of any caller", true, true, false, true},
	{"answers clear nothing", true, true, true, false},
	{"none", false, false, false, false},
}

// Result counts the outcomes of the requests.
type Result struct {
	// Crashed is the number of servers that culprits crashed, Late the number
	// of sends of culprits later than lateTime after the third crash.
	Crashed, Late int
	// Innocent is the number of other requests, Aborted of those that ended
	// without an answer, Full of those for which no server had room, and
	// Refused of those that were quarantined.
	Innocent, Aborted, Full, Refused int
}

// Add adds the figures of another run.
func (r *Result) Add(o Result) {
	r.Crashed += o.Crashed
	r.Late += o.Late
	r.Innocent += o.Innocent
	r.Aborted += o.Aborted
	r.Full += o.Full
	r.Refused += o.Refused
}
