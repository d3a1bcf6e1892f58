// Package cwpick chooses the server for a request: which servers to health check, and which of
// those is the best. It works on views of the server table only and keeps no state of its own
// beside Times.
package cwpick

import (
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
