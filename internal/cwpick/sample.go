package cwpick

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// newConnShare is the share of draws in which servers without a connection are equal to those
// with an idle one. New connections are costly, but without any the choice would narrow to a
// few servers.
const newConnShare = 0.1

// Random is a source of randomness: a rand.Rand, or Global.
type Random interface {
	Float64() float64
	Shuffle(n int, swap func(i, j int))
}

// Global is the random source shared by all goroutines.
type Global struct{}

// Float64 implements Random.
func (Global) Float64() float64 { return rand.Float64() }

// Shuffle implements Random.
func (Global) Shuffle(n int, swap func(i, j int)) { rand.Shuffle(n, swap) }

// The parameters of health checks before a request is sent.
const (
	// SampleSize is the number of servers that are health checked at once. With a quarter of
	// the machines slow at any moment, at least one of four is at its usual speed in 99.6 % of
	// cases.
	SampleSize = 4
	// MaxRounds is the largest number of rounds of health checks for one request.
	MaxRounds = 2
)

// FirstRound returns the first round of health checks for a request. If earlier health checks
// for it failed to find a server, only the last round is made: where all servers are full, more
// checks at once find no more free slots, and the number of checks is limited.
func FirstRound(failed bool) int {
	if failed {
		return MaxRounds - 1
	}

	return 0
}

// Sample returns up to n servers to health check, at random among those that may get a request:
// those of the home domain first, and of these those that need no new connection first, see
// orderNear. Blocked ones are only drawn if there are no others. In rounds after the first, half
// of the places go to other failure domains: where most callers are in one of them, its own
// servers are full while others have free slots.
func Sample(
	random Random, views []cwbackend.View, n int, home carobward.Domain, seen map[*cwbackend.Server]bool, round int,
) []cwbackend.View {
	var near, far, blocked []cwbackend.View

	fresh := random.Float64() < newConnShare

	for i := range views {
		v := &views[i]

		switch {
		case seen[v.Server], v.Throttled:
		case v.Blocked:
			blocked = append(blocked, *v)
		case v.Domain != home:
			far = append(far, *v)
		default:
			near = append(near, *v)
		}
	}

	orderNear(random, near, fresh)
	orderFar(random, far, fresh)

	farFirst := 0
	if round > 0 {
		farFirst = min(len(far), n/2)
	}

	good := slices.Concat(far[:farFirst], near, far[farFirst:])
	if len(good) > 0 {
		return good[:min(n, len(good))]
	}

	shuffle(random, blocked)

	return blocked[:min(1, len(blocked))]
}

// tryShare is the share of draws in which one near server that has not been tried yet counts as
// one with a connection. An entry VM with few requests a second to a service stays with the few
// servers that it needs; one with many knows all of its servers within seconds.
const tryShare = 0.3

// connOrder orders servers by what a health check costs in connections. An entry VM with few
// requests a second reuses its connections before they idle out only if it does not open more
// than it needs.
type connOrder int

const (
	// connFirst: an idle connection can be used, or another server is tried.
	connFirst connOrder = iota
	// connNew: there is no connection. A new one can be reused.
	connNew
	// connExtra: all connections are in use, so this entry VM has a request or a health check
	// in progress there. One more would be idle soon after.
	connExtra
)

// orderNear puts the servers of the home domain in order.
func orderNear(random Random, list []cwbackend.View, fresh bool) {
	shuffle(random, list)

	try := untried(random, list)
	orders := make(map[*cwbackend.Server]connOrder, len(list))

	for i := range list {
		v := &list[i]

		switch {
		case v.InUse:
			orders[v.Server] = connExtra
		case v.Idle || fresh || v.Server == try:
			orders[v.Server] = connFirst
		default:
			orders[v.Server] = connNew
		}
	}

	sortByOrder(list, orders)
}

// untried returns the server that is tried in this draw, or nil.
func untried(random Random, list []cwbackend.View) *cwbackend.Server {
	for i := range list {
		if v := &list[i]; !v.Idle && !v.InUse && v.Report.At.IsZero() {
			if random.Float64() < tryShare {
				return v.Server
			}

			return nil
		}
	}

	return nil
}

// orderFar puts servers of other failure domains in order. Few of them are needed at most times,
// so that those with a connection come first, unless one of these was full lately.
func orderFar(random Random, list []cwbackend.View, fresh bool) {
	shuffle(random, list)

	for i := range list {
		v := &list[i]
		fresh = fresh || v.Idle && v.Report.Running+v.Report.Queued >= v.SlotCount()
	}

	orders := make(map[*cwbackend.Server]connOrder, len(list))

	for i := range list {
		switch v := &list[i]; {
		case v.InUse:
			orders[v.Server] = connExtra
		case v.Idle || fresh:
			orders[v.Server] = connFirst
		default:
			orders[v.Server] = connNew
		}
	}

	sortByOrder(list, orders)
}

// sortByOrder sorts servers by their order and leaves those that are equal as they are.
func sortByOrder(list []cwbackend.View, orders map[*cwbackend.Server]connOrder) {
	slices.SortStableFunc(list, func(a, b cwbackend.View) int { return cmp.Compare(orders[a.Server], orders[b.Server]) })
}

func shuffle(random Random, list []cwbackend.View) {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
