package cwretry

import "carobward.example/carobward"

// Claim tells how much of the bound on extra calls one of them may use.
type Claim struct {
	// Part of the bound is what it may use at once.
	Part float64
	// Paced lets it use the rest of the bound as fast as requests earn it. Trouble
	// that lasts for a whole span then finds extra calls in each second of it.
	Paced bool
}

// The parts of the bound that requests use at once that have another way to end well.
const (
	// refusedPart carries over the first half second of refusals by all servers. The
	// rest of the bound lasts for the rest of its span then.
	refusedPart = 0.15
	// overduePart leaves most to requests that failed: the first send may still be
	// answered.
	overduePart = 0.25
)

// The claims of requests.
var (
	// Needed is for requests that have no other way to end well: they failed at a
	// server after it may have run them, or their callers have come back and won't
	// again.
	Needed = Claim{Part: 1}
	// Refused is for requests that a server refused, whose callers can come back,
	// which costs no extra call. While all servers refuse, those come back within
	// half a usual time, less than the waits of callers differ by: hardly one can be
	// told to have come back. What is kept for such is left over, so that these
	// claims have to use the whole bound, and evenly. While all servers refuse half,
	// 0.903 of the requests are in time, 0.865 where three quarters of the bound are
	// kept (carobward bench worst, pattern shed, twelve seeds); 0.902 and 0.870 in
	// a fleet of 472 entry VMs.
	Refused = Claim{Part: refusedPart, Paced: true}
	// Overdue is for second sends while the first may still be answered.
	Overdue = Claim{Part: overduePart}
)

// ClaimOf returns the claim of the next send of a request that ended with a verdict.
// Returned tells that its caller has come back after a refusal.
func ClaimOf(v carobward.Verdict, returned bool) Claim {
	if returned || v != carobward.NotRun {
		return Needed
	}

	return Refused
}
