// Package cwadmit decides at an entry VM which requests of a service may try to get a server
// while there is too little room for all of them, and when the refused ones may come back. It
// has no side effects: it works on the load that the entry VMs tell one another, and on times
// and random numbers that are passed in.
//
// It is for a lasting lack of room in fleets whose entry VMs get a few requests a second each:
// a queue at one of them holds one request or none, so nothing there puts the requests of
// different entry VMs in order. Each entry VM applies the same threshold to its own requests.
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
	// crowdedShare is the fraction of requests that found no room at first, to those that
	// servers completed, from which on there is too little room. A request checks eight
	// servers first, so half of them find none once more than nine in ten slots are in use.
	crowdedShare = 0.5
	// shortFactor is by how much the requests exceed those completed where room is short. It
	// is above what a sudden rise of the load shows while its first requests are running.
	shortFactor = 1.15
	// minSeen is the requests a second in sight below which there are too few to tell a lack of
	// room from chance: twenty in the time over which the load is measured.
	minSeen = carobward.Rate(20 * float64(time.Second) / float64(loadTime))
	// chanceFactor is by how many standard deviations the requests have to exceed those
	// completed. Either number varies by its square root.
	chanceFactor = 2.5
	// surplus is by how much more is admitted than is completed, so that a request waits
	// whenever a slot becomes free.
	surplus = 1.1
	// shrinkRate is how fast the limit falls, growRate how fast it rises while there is
	// room, in fractions a second. What was completed lags behind: a limit that follows at
	// once would fall below what servers can do.
	shrinkRate = 0.3
	growRate   = 0.5
	// minShare is the fraction of requests of each rank that is admitted in any case. They
	// show when there is room again.
	minShare = 0.05
	// settleTime is for how long a new entry VM admits all: what it and the others measure
	// does not show yet what servers complete, in particular after the loss of all.
	settleTime = 3 * time.Second
	// observeInterval is the time between updates of the threshold.
	observeInterval = 100 * time.Millisecond
	// lateWeight is the weight of one request in the moving average of late ones.
	lateWeight = 0.1
	// roomSamples is how many of an entry VM's latest requests must all have found room, each
	// within roomTime, for its own experience to count more than what others tell.
	roomSamples = 3
	roomTime    = time.Second
	// nearSeen is the requests a second in the failure domain from which on its load alone is
	// used. It is a second or two newer than that of the others, and shows what callers
	// there find.
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

// Draw returns the random number of a request, the same at all entry VMs for as long as any
// refused caller has to wait at least. A caller that comes back sooner than that is told the
// same again, however often it does.
func Draw(id carobward.RequestID, earliest time.Duration, now time.Time) float64 {
	period := uint64(max(time.Millisecond, earliest))
	turn := (uint64(now.UnixNano()) + cwrank.Weight(string(id), "")%period) / period

	return float64(cwrank.Weight(string(id), strconv.FormatUint(turn, 10))) / (1 << 64)
}

// late reports whether a request is late since its caller has waited. A first attempt is not:
// if servers are too slow for it, they are so for all.
func (r *Request) late() bool { return r.Returned && !r.Timely }

func (r *Request) rank() int { return min(max(0, r.Rank), carobward.LoadRanks-1) }

// Control admits the requests of one service at one entry VM. It is not safe for concurrent
// use.
type Control struct {
	// limit is the number of requests a second that the entry VMs in sight admit together,
	// 0 while there is room.
	limit carobward.Rate
	// vms is the number of entry VMs that were in sight.
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

// Due reports whether the load is to be looked at again.
func (c *Control) Due(now time.Time) bool {
	age := now.Sub(c.observed)

	return age < 0 || age >= observeInterval
}

// Observe updates the threshold by the load of the service at all entry VMs in sight, own
// being that at this one. Without others there is none.
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

// sight returns the load of the entry VMs by which the threshold is set, and their number.
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

// adjust moves the limit. While room is short it is what servers complete, and a little more.
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

// crowded reports whether the load shows a lack of room: at first one that is not by chance.
func (c *Control) crowded(sum *carobward.ServiceLoad) bool {
	total := sum.Total()

	if chance := math.Sqrt(float64(total) / loadTime.Seconds()); c.limit == 0 && (total < minSeen || total < sum.Completed+carobward.Rate(chanceFactor*chance)) {
		return false
	}

	// Without requests that found no room there is room, also if none has completed yet.
	return total >= shortFactor*sum.Completed && sum.Full > 0 && sum.Full >= crowdedShare*sum.Completed
}

// share divides the limit: the more urgent first, and what they leave to late requests.
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
		// It was told to come back now, and can't come a third time.
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

// foundRoom reports whether the latest requests of this entry VM all found room. What others
// tell can't make it refuse then.
func (c *Control) foundRoom(now time.Time) bool {
	return len(c.found) == roomSamples && now.Sub(c.found[0]) < roomTime
}

// Short reports whether a threshold is in force.
func (c *Control) Short() bool { return c.limit > 0 }
