// Package cwpick decides which server gets a request: whom to look at, and
// which of those that were looked at is the best. It is pure over the table's
// views.
package cwpick

import (
	"math/rand/v2"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// The weights of the choice.
const (
	// kneeShare is the part of the slots in use above which some servers slow
	// down. By how much is learned.
	kneeShare = 0.8
	// awayCost is the cost of another failure domain, in usual times: less for
	// the way than for the bytes, which are paid for.
	awayCost = 0.3
	// fillCost is the cost of a server's slots in use. Among servers alike,
	// the one with more free slots stays good for longer.
	fillCost = 0.1
	// troubleCost is the cost of a server all of whose requests failed lately.
	troubleCost = 4
	// overdueCost is the cost of a server where one of ours is overdue.
	overdueCost = 4
)

// Crowded tells whether one more request takes a server above the part of its
// slots at which some servers slow down.
func Crowded(r *carobward.Report, slots int) bool {
	return float64(r.Running+1) > kneeShare*float64(slots)
}

// Time returns how long a request would take at a server, in usual times.
func Time(v *cwbackend.View, f Factors) float64 {
	r := &v.Report
	slots := v.SlotCount()
	// A request keeps the pace that its server's machine has when it begins.
	out := max(1, r.Slowness)

	if Crowded(r, slots) {
		out *= f.Crowd
	}

	if v.Warming {
		out *= f.Cold
	}

	// Each request ahead beyond the free slots waits for one to be freed.
	if ahead := r.Running + r.Queued + 1 - slots; ahead > 0 {
		out += out * float64(ahead) / float64(slots)
	}

	return out
}

// Alone returns how long a request would take at a server that had no other, in usual
// times. A server of few slots may be crowded by one.
func Alone(v *cwbackend.View, f Factors) float64 {
	empty := *v
	empty.Report.Running, empty.Report.Queued = 0, 0

	return Time(&empty, f)
}

// Cost returns what speaks against a server: the time that a request would
// take there, in usual times, and what makes another one better all the same.
func Cost(v *cwbackend.View, f Factors, home carobward.Domain) float64 {
	cost := Time(v, f)
	cost += fillCost * float64(v.Report.Running) / float64(v.SlotCount())
	cost += troubleCost * v.Trouble

	if v.Overdue {
		cost += overdueCost
	}

	if v.Domain != home {
		cost += awayCost
	}

	return cost
}

// newShare is the share of draws in which a server without an idle connection
// may come before those with one. New connections are paid for, and without
// any new one the choice would narrow to a few servers.
const newShare = 0.1

// Random is where random choices come from: a rand.Rand, or Global.
type Random interface {
	Float64() float64
	Shuffle(n int, swap func(i, j int))
}

// Global is the random source that all goroutines share.
type Global struct{}

// Float64 implements Random.
func (Global) Float64() float64 { return rand.Float64() }

// Shuffle implements Random.
func (Global) Shuffle(n int, swap func(i, j int)) { rand.Shuffle(n, swap) }

// The measures of looking at servers before a request is sent.
const (
	// Width is how many servers are looked at at once. Of four, with a quarter of
	// the machines slowed at any moment, one is at its usual speed in 99.6 of 100
	// looks.
	Width = 4
	// Rounds bounds the rounds of looking for a better server.
	Rounds = 2
)

// FirstRound returns the round of looks that a request begins with. One for which
// servers were looked at in vain makes only the last one: where all are full more
// looks at once find no more room, and looks are few. While a third of the servers
// is slow 0.852 are in time, 0.837 with both rounds each time, and in bursts of a
// fleet of 127 entry VMs 0.798, and 0.781 (carobward bench worst, patterns slow and
// bursts, twelve and two seeds).
func FirstRound(vain bool) int {
	if vain {
		return Rounds - 1
	}

	return 0
}

// Draw returns up to n servers to look at, at random among those that may get
// a request: those of the home domain before the others, and of these those
// with an idle connection before the others. Blocked ones are looked at only
// where there is no other. In rounds after the first one half of the places goes to
// other failure domains: where two thirds of the callers are in one of three, 0.99
// of the requests are in time, 0.93 where near servers come first in each round
// (carobward bench worst, pattern lean, 127 entry VMs, four seeds).
func Draw(
	random Random, views []cwbackend.View, n int, home carobward.Domain, seen map[*cwbackend.Server]bool, round int,
) []cwbackend.View {
	var idle, near, far, blocked []cwbackend.View

	fresh := random.Float64() < newShare

	for i := range views {
		v := &views[i]

		switch {
		case seen[v.Server], v.Barred:
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

// Free returns how many more requests of a rank, out of so many ranks, a
// server takes, below zero where it has more already. The most urgent ones may
// queue for a while, the least urgent ones leave a slot free for others. Spared
// slots are left to others beside that, if the server has more. Crowd is how many
// times longer requests take at a crowded server.
func Free(v *cwbackend.View, rank, ranks, spared int, crowd float64) int {
	if v.Barred {
		return 0
	}

	r := &v.Report
	slots := v.SlotCount()
	useful := usefulSlots(slots, crowd)
	most := useful

	switch {
	case ranks < 2:
	case rank == 0:
		most = useful + slots/2
	case rank == ranks-1:
		most = max(1, min(useful, slots-1))
	}

	return max(1, most-spared) - r.Running - r.Queued
}

// usefulSlots returns how many of a server's slots add to its throughput:
// where crowding costs more than the last slots bring, those are left empty.
func usefulSlots(slots int, crowd float64) int {
	below := max(1, int(kneeShare*float64(slots)))
	if float64(slots)/crowd < float64(below) {
		return below
	}

	return slots
}
