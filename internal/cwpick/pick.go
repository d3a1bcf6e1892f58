// Package cwpick chooses the server for a request: which servers to health check, and which of
// those is the best. It works on views of the server table only and keeps no state of its own
// beside Times.
package cwpick

import (
	"math/rand/v2"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// The weights of the cost function, in usual response times unless noted.
const (
	// kneeShare is the share of a server's slots in use above which some servers slow down. By
	// how much is learned, see Times.
	kneeShare = 0.8
	// crossDomainCost is the cost of a server in another failure domain: mostly for the
	// traffic, which is billed, and less for the latency.
	crossDomainCost = 0.3
	// fillCost is the cost of a server with all slots in use. Among equal servers, one with
	// more free slots stays a good choice for longer.
	fillCost = 0.1
	// failureCost is the cost of a server all of whose recent requests failed, or were refused
	// while others refuse none.
	failureCost = 4
	// overdueCost is the cost of a server with an overdue request of this entry VM.
	overdueCost = 4
)

// Crowded reports whether one more request takes a server above the share of its slots at
// which some servers slow down.
func Crowded(r *carobward.Report, slots int) bool {
	return float64(r.Running+1) > kneeShare*float64(slots)
}

// ExpectedTime returns the expected duration of a request at a server, in usual response times.
func ExpectedTime(v *cwbackend.View, f Factors) float64 {
	r := &v.Report
	slots := v.SlotCount()
	// The speed of the server's machine when a request begins applies to the whole request.
	out := max(1, r.Slowness)

	if Crowded(r, slots) {
		out *= f.Crowd
	}

	if v.Warming {
		out *= f.Warmup
	}

	// Each request ahead of it beyond the free slots delays it until a slot is free.
	if ahead := r.Running + r.Queued + 1 - slots; ahead > 0 {
		out += out * float64(ahead) / float64(slots)
	}

	return out
}

// UnloadedTime returns the expected duration of a request at a server without other requests,
// in usual response times. At a server with few slots, a single request may be enough for it
// to be crowded.
func UnloadedTime(v *cwbackend.View, f Factors) float64 {
	empty := *v
	empty.Report.Running, empty.Report.Queued = 0, 0

	return ExpectedTime(&empty, f)
}

// Cost returns the cost of choosing a server: the expected duration of the request, in usual
// response times, plus penalties for other reasons against the server.
func Cost(v *cwbackend.View, f Factors, home carobward.Domain) float64 {
	cost := ExpectedTime(v, f)
	cost += fillCost * float64(v.Report.Running) / float64(v.SlotCount())
	cost += failureCost * (v.FailureRate + max(0, v.RefusalRate-f.Refused))

	if v.Overdue {
		cost += overdueCost
	}

	if v.Domain != home {
		cost += crossDomainCost
	}

	return cost
}

// newConnShare is the share of draws in which servers without an idle connection are equal to
// those with one. New connections are costly, but without any the choice would narrow to a few
// servers.
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
// those of the home domain first, and of these those with an idle connection first. Blocked
// ones are only drawn if there are no others. In rounds after the first, half of the places go
// to other failure domains: where most callers are in one of them, its own servers are full while
// others have free slots.
func Sample(
	random Random, views []cwbackend.View, n int, home carobward.Domain, seen map[*cwbackend.Server]bool, round int,
) []cwbackend.View {
	var idle, near, far, blocked []cwbackend.View

	fresh := random.Float64() < newConnShare

	for i := range views {
		v := &views[i]

		switch {
		case seen[v.Server], v.Throttled:
		case v.Blocked:
			blocked = append(blocked, *v)
		case v.Domain != home:
			far = append(far, *v)
		case v.Idle || fresh || v.Report.At.IsZero():
			idle = append(idle, *v)
		default:
			near = append(near, *v)
		}
	}

	shuffle(random, idle)
	shuffle(random, near)
	shuffle(random, far)

	farFirst := 0
	if round > 0 {
		farFirst = min(len(far), n/2)
	}

	good := slices.Concat(far[:farFirst], idle, near, far[farFirst:])
	if len(good) > 0 {
		return good[:min(n, len(good))]
	}

	shuffle(random, blocked)

	return blocked[:min(1, len(blocked))]
}

func shuffle(random Random, list []cwbackend.View) {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// FreeSlots returns how many more requests of the given rank a server takes; the result is
// negative if it has too many already. Rank 0 of ranks is the most urgent: its requests may
// queue for a while. Requests of the last rank leave a slot free for others. In addition, as
// many slots as spared are left to others, but at least one slot is used. Crowd is the factor
// by which requests take longer at a crowded server.
func FreeSlots(v *cwbackend.View, rank, ranks, spared int, crowd float64) int {
	if v.Throttled {
		return 0
	}

	r := &v.Report
	slots := v.SlotCount()
	useful := usefulSlots(slots, crowd)
	maxSlots := useful

	switch {
	case ranks < 2:
	case rank == 0:
		maxSlots = useful + slots/2
	case rank == ranks-1:
		maxSlots = max(1, min(useful, slots-1))
	}

	return max(1, maxSlots-spared) - r.Running - r.Queued
}

// usefulSlots returns how many of a server's slots add to its throughput. Where crowding costs
// more throughput than the last slots add, those are left free.
func usefulSlots(slots int, crowd float64) int {
	below := max(1, int(kneeShare*float64(slots)))
	if float64(slots)/crowd < float64(below) {
		return below
	}

	return slots
}
