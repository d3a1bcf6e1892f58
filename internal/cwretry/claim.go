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
	// Share is the fraction of the bound that it may use at once.
	Share float64
	// Paced lets it use the rest of the bound as fast as requests earn it, so that there
	// are extra calls in each second of an outage that lasts for a whole window.
	Paced bool
	// Reserve is how many earned extra calls a paced claim leaves to more urgent claims.
	// If it is negative, the claim may use that many before they are earned.
	Reserve float64
	// Capped limits the claims of this kind to Share, also where they are paced.
	Capped bool
}

// The shares of the bound that requests with another chance to succeed may use at once.
const (
	// refusedShare covers the first half second of refusals by all servers. The rest of
	// the bound then lasts for the rest of its window.
	refusedShare = 0.15
	// mostReserve is how many earned extra calls the least urgent requests leave to others.
	mostReserve = 2
	// overdueShare leaves most of the bound to requests that failed: the first send may
	// still be answered.
	overdueShare = 0.25
)

// The claims of the kinds of extra calls.
var (
	// Needed is for requests that can't succeed otherwise: they failed at a server after
	// it may have run them, or their callers have retried already and won't again.
	Needed = Claim{Kind: KindNeeded, Share: 1}
	// Refused is for requests that a server refused. Their callers can retry, which costs
	// no extra call. While all servers refuse, callers retry within half a usual response
	// time. The waits of different callers differ by more than that, so hardly any retry is
	// recognized as one, and extra calls reserved for retries would be left over. So these
	// claims may use the whole bound, evenly over the window.
	Refused = Claim{Kind: KindRefused, Share: refusedShare, Paced: true}
	// RefusedLate is the same for requests whose answers would be late in any case.
	RefusedLate = Claim{Kind: KindRefusedLate, Share: refusedShare, Paced: true, Reserve: mostReserve}
	// Overdue is for hedges: second sends while the first may still be answered. Where other
	// claims have used their share, as while servers refuse, hedges wait until those leave
	// earned calls over.
	Overdue = Claim{Kind: KindHedge, Share: overdueShare, Paced: true, Reserve: mostReserve, Capped: true}
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
		return r.claim()
	}
}

// claim returns the claim of a request whose caller can still retry. The more urgent it is,
// the fewer earned extra calls it leaves to others. Teams come before routes: where teams are
// equally urgent, the more urgent route goes first.
func (r *Refusal) claim() Claim {
	c := Refused
	if r.Ranks < 2 && r.RouteRanks < 2 {
		return c
	}

	route := float64(r.RouteRank) / float64(max(1, r.RouteRanks))
	place := (float64(r.Rank) + route) / float64(max(1, r.Ranks))
	c.Reserve = place*(maxOwed+mostReserve) - maxOwed

	return c
}
