// Package cwpoison replays requests that end the servers which run them, and servers
// that end by themselves, against the product's rule of quarantine. Servers, callers and
// the time until all entry VMs know are modelled, so that the same seed gives the same
// figures: how many servers end, and how many innocent requests are refused for it.
package cwpoison

import "time"

// Pattern is what happens to the servers.
type Pattern struct {
	Name string
	// Culprits are the requests that end servers, each sent again Every so often.
	Culprits int
	Every    time.Duration
	// Crashes is how often a Share of the servers ends by itself.
	Crashes int
	Share   float64
	// Popular is the share of the requests that are the same charge of many callers.
	Popular float64
}

// Patterns are those of the bench.
var Patterns = []Pattern{
	{Name: "culprit", Culprits: 1, Every: 70 * time.Millisecond},
	{Name: "five", Culprits: 5, Every: 300 * time.Millisecond},
	{Name: "rare", Culprits: 1, Every: 6 * time.Second},
	{Name: "crashes", Crashes: 8, Share: 0.3},
	{Name: "popular", Crashes: 8, Share: 0.3, Popular: 0.3},
	{Name: "gone", Crashes: 2, Share: 1, Popular: 0.3},
	{Name: "both", Culprits: 1, Every: 150 * time.Millisecond, Crashes: 4, Share: 0.2, Popular: 0.3},
}

// Way is a rule with or without some of its parts.
type Way struct {
	Name string
	// Holds tells that requests are quarantined at all, Shares that entry VMs share
	// what they see, Callers that a request is of one caller, Clears that an answer
	// clears it.
	Holds, Shares, Callers, Clears bool
}

// Ways are those of the bench, the product's first.
var Ways = []Way{
	{"ours", true, true, true, true},
	{"each for itself", true, false, true, true},
	{"of any caller", true, true, false, true},
	{"answers clear nothing", true, true, true, false},
	{"none", false, false, false, false},
}

// Result is what became of the requests.
type Result struct {
	// Ended are the servers that culprits ended, Late the sends of culprits that came
	// more than lateTime after the third end.
	Ended, Late int
	// Innocent are the other requests, Cut those that ended without an answer,
	// Full those for which no server had room, Refused those that were quarantined.
	Innocent, Cut, Full, Refused int
}

// Add adds the figures of another run.
func (r *Result) Add(o Result) {
	r.Ended += o.Ended
	r.Late += o.Late
	r.Innocent += o.Innocent
	r.Cut += o.Cut
	r.Full += o.Full
	r.Refused += o.Refused
}
