package cwretry

import "carobward.example/carobward"

// Kind is the kind of an extra call, by the need for it.
type Kind string

// The kinds of extra calls. All but hedges are retries.
const (
	KindNeeded      Kind = "needed"
	KindRefused     Kind = "refused"
	KindRefusedLate Kind = "refused-late"
	KindHedge       Kind = "hedge"
)

// Claim limits how much of the bound on extra calls one kind of extra call may use.
type Claim struct {
	// Kind says for which kind of extra call this is.
	Kind Kind
	// Reserve is the fraction of what can be saved up that it leaves to more urgent claims.
	Reserve float64
	// Share, if not zero, is the fraction of the bound that all claims of its kind may use.
	Share float64
}

// What claims leave to more urgent ones.
const (
	// maxReserve is for the least urgent: they get little more than what could not be saved up.
	maxReserve = 0.8
	// overdueShare leaves most of the bound to requests that failed: the first send may
	// still be answered.
	overdueShare = 0.25
)

// The claims of the kinds of extra calls.
var (
	// Needed is for requests that can't succeed otherwise: they failed at a server after
	// it may have run them, or their callers have retried already and won't again.
	Needed = Claim{Kind: KindNeeded}
	// Refused is for requests that a server refused. Their callers can retry, which costs
	// no extra call. While all servers refuse, callers retry within half a usual response
	// time. The waits of different callers differ by more than that, so hardly any retry is
	// recognized as one, and extra calls reserved for retries would be left over. So these
	// claims may use the whole bound.
	Refused = Claim{Kind: KindRefused}
	// RefusedLate is the same for requests whose answers would be late in any case.
	RefusedLate = Claim{Kind: KindRefusedLate, Reserve: maxReserve}
	// Overdue is for hedges: second sends while the first may still be answered. Where other
	// claims need the extra calls, as while servers refuse, hedges wait until those leave some
	// over.
	Overdue = Claim{Kind: KindHedge, Reserve: maxReserve, Share: overdueShare}
)

// Refusal is what decides about the second send of a request that did not run.
type Refusal struct {
	// Rank is the request's priority among the Ranks priorities at its service, 0 being the
	// most urgent.
	Rank, Ranks int
	// RouteRank is that of its route among the RouteRanks priorities of routes. It differs if
	// teams have priorities of their own.
	RouteRank, RouteRanks int
	// Timely reports that the answer to a second send can be in time, Returns that the
	// caller can still retry and get an answer in time.
	Timely, Returns bool
}

// ClaimOf returns the claim of the next send of a request whose last send ended with a
// verdict.
//
// The load is that of servers which refuse a part of all requests, whatever their load: a
// second send succeeds as often as the first, but the bound covers only some of them.
func ClaimOf(v carobward.Verdict, r Refusal) Claim {
	switch {
	case v != carobward.NotRun:
		return Needed
	case !r.Timely:
		return RefusedLate
	case !r.Returns:
		return Needed
	default:
		c := Refused
		c.Reserve = maxReserve * r.place()

		return c
	}
}

// place returns the place of a request among the priorities of its service, from 0, the most
// urgent, to 1. Teams come before routes: where teams are equally urgent, the more urgent route
// goes first.
func (r *Refusal) place() float64 {
	routeRanks := max(1, r.RouteRanks)
	last := max(1, r.Ranks)*routeRanks - 1

	return float64(r.Rank*routeRanks+r.RouteRank) / float64(max(1, last))
}
