// Package cwadmit is the admission control of an entry VM. While the servers of a service have
// too few free slots for all requests (a shortage), it decides which requests may try to get a
// server, and when the callers of the others may retry. It has no side effects: it works on the
// load that the entry VMs report to one another, and on times and random numbers that are passed
// in.
//
// It is for a lasting shortage in fleets whose entry VMs get a few requests a second each: a
// queue at one of them holds one request or none, so no queue orders the requests of different
// entry VMs by priority. Instead all entry VMs derive a limit from the same reported load, and
// each applies it to its own requests.
package cwadmit

import (
	"math"
	"strconv"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// The parameters of the threshold.
const (
	// crowdedShare is the ratio of requests whose first health checks found no free slot to
	// completed requests from which on there is a shortage. A request checks eight servers
	// first, so half of the requests find no slot once more than nine in ten are in use.
	crowdedShare = 0.5
	// shortFactor is the ratio of arriving to completed requests from which on there is a
	// shortage. It is above the ratio that a sudden rise of the load shows while its first
	// requests are running.
	shortFactor = 1.15
	// minSeen is the request rate below which a shortage can't be told from chance: twenty
	// requests in the time over which the load is measured.
	minSeen = carobward.Rate(20 * float64(time.Second) / float64(loadTime))
	// chanceFactor is by how many standard deviations the arriving requests have to exceed the
	// completed ones. The standard deviation of a count is its square root.
	chanceFactor = 2.5
	// surplus is the ratio of admitted to completed requests. It is above 1 so that a request
	// waits whenever a slot becomes free.
	surplus = 1.1
	// shrinkRate is how fast the limit falls, growRate how fast it rises without a shortage,
	// in fractions a second. The count of completed requests lags behind: a limit that follows
	// it at once would fall below what the servers can handle.
	shrinkRate = 0.3
	growRate   = 0.5
	// minShare is the fraction of requests of each rank that is admitted in any case. They
	// show when the shortage is over.
	minShare = 0.05
	// settleTime is for how long a new entry VM admits all requests: until then the measured
	// load does not show what servers can complete, in particular after a restart of the
	// whole fleet.
	settleTime = 3 * time.Second
	// observeInterval is the time between updates of the limit.
	observeInterval = 100 * time.Millisecond
	// lateWeight is the weight of one request in the moving average of late ones.
	lateWeight = 0.1
	// roomSamples is how many of an entry VM's latest requests must have found a free slot,
	// all of them within roomTime, for it to ignore the load that others report.
	roomSamples = 3
	roomTime    = time.Second
	// nearSeen is the request rate of the entry VM's own failure domain from which on the load
	// of that domain alone is used. It is a second or two newer than that of the others, and
	// shows which servers its callers reach.
	nearSeen = 2 * minSeen
)

// Request is what is known of a request on its arrival.
type Request struct {
	// Rank is its rank among the service's, 0 being the most urgent.
	Rank int
	// Returned reports that its caller was probably refused before, Timely that an answer
	// can still be in time.
	Returned, Timely bool
	// Draw is a random number in [0,1), see Draw.
	Draw float64
}

// Draw returns the random number of a request. It is the same at all entry VMs and changes once
// in each period of length earliest, the shortest retry delay: a caller that retries sooner than
// told is refused again, however often it does.
func Draw(id carobward.RequestID, earliest time.Duration, now time.Time) float64 {
	period := uint64(max(time.Millisecond, earliest))
	turn := (uint64(now.UnixNano()) + cwrank.Weight(string(id), "")%period) / period

	return float64(cwrank.Weight(string(id), strconv.FormatUint(turn, 10))) / (1 << 64)
}

// late reports whether a retry comes too late for an answer in time. A first attempt does not
// count as late: if servers are too slow for it, they are too slow for all requests.
func (r *Request) late() bool { return r.Returned && !r.Timely }

func (r *Request) rank() int { return min(max(0, r.Rank), carobward.LoadRanks-1) }

// Control admits the requests of one service at one entry VM. It is not safe for concurrent
// use.
type Control struct {
	// limit is the request rate that the entry VMs whose load is used admit together; 0
	// without a shortage.
	limit carobward.Rate
	// vms is the number of entry VMs whose load was used last.
	vms int
	// began is when the load was first looked at, observed when it was last.
	began, observed time.Time
	// shares has the fraction of the requests of each rank that is admitted, lateShare that
	// of requests whose answer will be late.
	shares    [carobward.LoadRanks]float64
	lateShare float64
	// late is the moving average of the fraction of late requests at this entry VM.
	late float64
	// found has when the latest requests found room, since one that did not.
	found []time.Time

	returns returns
}

// Due reports whether Observe is to be called again.
func (c *Control) Due(now time.Time) bool {
	age := now.Sub(c.observed)

	return age < 0 || age >= observeInterval
}

// Observe updates the limit by the load of the service: list has that of the failure domains, the
// entry VM's own first, and own that of this entry VM alone. With an empty list all requests are
// admitted.
func (c *Control) Observe(list []carobward.DomainLoad, own *carobward.ServiceLoad, now time.Time) {
	elapsed := min(now.Sub(c.observed), time.Second).Seconds()
	c.observed = now

	if c.began.IsZero() {
		c.began = now
	}

	if len(list) == 0 || now.Sub(c.began) < settleTime {
		c.limit = 0

		return
	}

	sum, vms := sight(list)

	if c.vms > 0 { // The limit is that of the entry VMs in sight, which may now be others.
		c.limit *= carobward.Rate(vms) / carobward.Rate(c.vms)
	}

	c.vms = vms
	c.adjust(&sum, max(0, elapsed))
	c.share(&sum)
	c.returns.observe(&sum, own, c.limit)
}

// sight returns the load by which the limit is set, and the number of entry VMs that have it.
func sight(list []carobward.DomainLoad) (carobward.ServiceLoad, int) {
	if list[0].Total() >= nearSeen {
		list = list[:1]
	}

	var sum carobward.ServiceLoad

	vms := 0

	for i := range list {
		sum.Add(&list[i].ServiceLoad)
		vms += list[i].VMs
	}

	return sum, vms
}

// adjust moves the limit. During a shortage it is slightly above the rate of completed requests.
// It does not fall below what is admitted in any case: from far lower it would take too long to
// rise after an outage of all servers.
func (c *Control) adjust(sum *carobward.ServiceLoad, elapsed float64) {
	total, crowded := sum.Total(), c.crowded(sum)

	switch {
	case crowded && c.limit == 0:
		c.limit = surplus * sum.Completed
	case crowded:
		c.limit = max(surplus*sum.Completed, c.limit*carobward.Rate(1-shrinkRate*elapsed), minShare*total)
	case c.limit > 0:
		c.limit *= carobward.Rate(1 + growRate*elapsed)
	}

	if c.limit >= total && !crowded {
		c.limit = 0
	}
}

// crowded reports whether the load shows a shortage. While no limit is in force, it must also be
// larger than chance explains.
func (c *Control) crowded(sum *carobward.ServiceLoad) bool {
	total := sum.Total()

	if chance := math.Sqrt(float64(total) / loadTime.Seconds()); c.limit == 0 && (total < minSeen || total < sum.Completed+carobward.Rate(chanceFactor*chance)) {
		return false
	}

	// Without requests that found no room there is room, also if none has completed yet.
	return total >= shortFactor*sum.Completed && sum.Full > 0 && sum.Full >= crowdedShare*sum.Completed
}

// share divides the limit among the ranks, the most urgent first. Late requests get what is left.
func (c *Control) share(sum *carobward.ServiceLoad) {
	left := c.limit

	for i, demand := range sum.Demand {
		timely := demand * carobward.Rate(1-c.late)
		c.shares[i] = fraction(left, timely)
		left = max(0, left-timely)
	}

	c.lateShare = fraction(left, sum.Total()*carobward.Rate(c.late))
}

// fraction returns which part of a demand there is room for.
func fraction(room, demand carobward.Rate) float64 {
	switch {
	case room <= 0:
		return minShare
	case room >= demand:
		return 1
	default:
		return max(minShare, float64(room/demand))
	}
}

// Admit reports whether a request may try to get a server.
func (c *Control) Admit(r Request, now time.Time) bool {
	c.noteLate(r.late())

	if c.limit == 0 || c.foundRoom(now) {
		return true
	}

	switch share := c.shares[r.rank()]; {
	case r.late():
		return r.Draw < c.lateShare
	case r.Returned:
		// It was told to retry now, and callers don't retry twice.
		return share > minShare
	default:
		return r.Draw < share
	}
}

func (c *Control) noteLate(late bool) {
	value := 0.0
	if late {
		value = 1
	}

	c.late += lateWeight * (value - c.late)
}

// Checked records whether a request found a server with room at first.
func (c *Control) Checked(room bool, now time.Time) {
	if !room {
		c.found = nil

		return
	}

	if len(c.found) == roomSamples {
		c.found = c.found[1:]
	}

	c.found = append(c.found, now)
}

// foundRoom reports whether the latest requests of this entry VM all found a free slot. Load that
// others report can't make it refuse requests then.
func (c *Control) foundRoom(now time.Time) bool {
	return len(c.found) == roomSamples && now.Sub(c.found[0]) < roomTime
}

// Short reports whether a limit is in force.
func (c *Control) Short() bool { return c.limit > 0 }
