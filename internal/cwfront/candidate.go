package cwfront

import (
	"context"
	"time"

	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwpick"
)

// The limits of health checks before a request is sent.
const (
	// uncheckedWidth is how many servers are compared if no health check may be made.
	uncheckedWidth = 3
	// recentConnAge is how old the last reply over a connection may be for a request that may not
	// be repeated to use it unchecked, and over a new one for it to use another new one: well below
	// the idle timeouts of servers.
	recentConnAge = 150 * time.Millisecond
	// minCheckTimeout is how long to wait for health checks if servers answer them
	// quickly: several round trips between failure domains, and a new connection. For
	// slower ones the timeout is checkTimeoutFactor times their recent average, up to
	// checkTimeoutShare of the objective, which leaves most of the time to the work.
	minCheckTimeout    = 60 * time.Millisecond
	checkTimeoutFactor = 2
	checkTimeoutShare  = 0.25
	// checkTimeWeight is the weight of one health check in the moving average of their
	// times.
	checkTimeWeight = 0.2
	// minSilent is how many servers have to miss that timeout, and none to answer, for the path
	// to the service to be in doubt.
	minSilent = 3
	// stragglerTimeout is how long to wait for the other health checks after the first
	// answer.
	stragglerTimeout = 6 * time.Millisecond
	// maxCheckTime is how long a health check may take in all. A request stops waiting
	// sooner; the check then ends in the background, or its connection is closed.
	maxCheckTime = 500 * time.Millisecond
	// goodCost is the cost up to which no better server is searched for: that of one of
	// the last slots of a machine at its usual speed.
	goodCost = 1.75
)

// candidate is a server that may get the request, with the result of its health check.
type candidate struct {
	view cwbackend.View
	held *cwlink.HeldConn
	// time is how long the request would take there, in usual response times. Cost is that
	// time plus penalties; the lowest cost wins.
	time float64
	cost float64
	ok   bool
}

// release returns the connection to the pool, if there is one.
func (c *candidate) release() {
	if c != nil && c.held != nil {
		c.held.Release()
	}
}

// chooseOnce makes health checks of some servers, and of some more if none of them is good.
// It returns the best one with room, or nil, and whether there is any server to which the
// request may go.
func (r *request) chooseOnce(ctx context.Context, tried map[*cwbackend.Server]bool) (*candidate, bool) {
	f := r.front
	now := f.Clock.Now()
	views := r.allowedServers(f.Servers.Views(r.service, now, r.usualTime()))
	r.availableAt, r.connUnproven = cwbackend.NextAvailable(views), false

	for i := range views {
		views[i].Idle, views[i].InUse = f.Link.ConnState(views[i].Address)
	}

	seen := make(map[*cwbackend.Server]bool, len(tried)+cwpick.MaxRounds*cwpick.SampleSize)
	for s := range tried {
		seen[s] = true
	}

	if r.state.checks.TokensAt(now) < 1 {
		return r.chooseUnchecked(ctx, views, tried), len(views) > 0
	}

	var best *candidate

	for round := cwpick.FirstRound(r.schedule.NoRoom); round < cwpick.MaxRounds; round++ {
		draw := cwpick.Sample(cwpick.Global{}, views, r.checkCount(now), f.Domain, seen, round)
		if len(draw) == 0 {
			break
		}

		for i := range draw {
			seen[draw[i].Server] = true
		}

		best = better(best, r.checkAll(ctx, draw))

		if best != nil && best.cost <= goodCost || ctx.Err() != nil || r.unreached() && r.mayRelay() {
			break
		}
	}

	return best, len(views) > 0
}

// chooseUnchecked returns the best server by what is known without a health check, for
// when the rate limit allows none. It returns nil if no server has room, or if the request would
// need a new connection that may break.
func (r *request) chooseUnchecked(ctx context.Context, views []cwbackend.View, tried map[*cwbackend.Server]bool) *candidate {
	link := r.front.Link
	since := r.front.Clock.Now().Add(-recentConnAge)

	recent := filterViews(views, func(v *cwbackend.View) bool { return v.Idle && !v.Blocked && link.HasRecent(v.Address, since) })
	if c := r.bestUnchecked(recent, tried); c != nil {
		if c.held = link.HoldRecent(c.view.Address, since); c.held != nil {
			return c
		}
	}

	// If a write fails on a connection that was idle for longer, it is unknown whether the request
	// ran. So one that may not be repeated gets a new connection.
	if r.route.Idempotent {
		idle := filterViews(views, func(v *cwbackend.View) bool { return !v.Blocked && v.Idle })
		if c := r.holdUnchecked(ctx, r.bestUnchecked(idle, tried)); c != nil {
			return c
		}
	}

	c := r.bestUnchecked(views, tried)
	if c == nil {
		return nil
	}

	if r.connUnproven = r.newConnMayBreak(since); r.connUnproven {
		return nil
	}

	return r.holdUnchecked(ctx, c)
}

// newConnMayBreak reports whether a new connection to a server may break after it is established:
// new ones do, or none was answered since a time and another entry VM may know better.
func (r *request) newConnMayBreak(since time.Time) bool {
	f := r.front
	if f.reach.NewConnsBreak(r.service) {
		return true
	}

	return r.origin == "" && f.Relay != nil && !f.reach.NewConnAnsweredSince(r.service, since) && f.FleetSize() > 1
}

// filterViews returns the servers for which want returns true.
func filterViews(views []cwbackend.View, want func(*cwbackend.View) bool) []cwbackend.View {
	var list []cwbackend.View

	for i := range views {
		if want(&views[i]) {
			list = append(list, views[i])
		}
	}

	return list
}

// bestUnchecked returns the best of some servers with room by what is known without a health check,
// or nil.
func (r *request) bestUnchecked(views []cwbackend.View, tried map[*cwbackend.Server]bool) *candidate {
	now := r.front.Clock.Now()

	var best *candidate

	for _, v := range cwpick.Sample(cwpick.Global{}, views, uncheckedWidth, r.front.Domain, tried, 0) {
		v.Report = v.Expected()

		if r.freeSlots(&v, now) > 0 {
			c := &candidate{view: v}
			r.score(c)
			best = better(best, c)
		}
	}

	return best
}

// holdUnchecked gives a candidate a connection, a new one if the request may not be repeated, and
// returns it. It returns nil if there is none.
func (r *request) holdUnchecked(ctx context.Context, c *candidate) *candidate {
	if c == nil {
		return nil
	}

	f := r.front
	b, now := c.view.Server.Backend(), f.Clock.Now()

	held, err := f.Link.Hold(ctx, b.Address, now.Add(maxCheckTime), !r.route.Idempotent)
	if err != nil {
		r.checkFailed(c.view.Server, b, now, err)

		return nil
	}

	c.held = held

	return c
}

// checkCount returns how many servers may be checked now, and takes that many checks from
// the rate limit.
func (r *request) checkCount(now time.Time) int {
	for n := cwpick.SampleSize; n > 0; n-- {
		if r.state.checks.AllowN(now, n) {
			return n
		}
	}

	return 0
}

// better returns the candidate of lower cost and releases the other.
func better(a, b *candidate) *candidate {
	if a == nil || b != nil && b.cost < a.cost {
		a, b = b, a
	}

	b.release()

	return a
}

// checkAll checks several servers concurrently and returns the best one with room, or nil.
// Checks that are late end in the background, and their connections are kept.
func (r *request) checkAll(ctx context.Context, draw []cwbackend.View) *candidate {
	f := r.front
	results := make(chan *candidate, len(draw))
	r.checks += len(draw)
	f.counts.Add(countHealthChecks, int64(len(draw)))

	for i := range draw {
		v := draw[i]

		f.work.Go(func() { results <- r.checkHealth(v) })
	}

	began := f.Clock.Now()
	best, late := r.gather(ctx, results, len(draw))
	r.checkCounts.late += late

	if late == len(draw) && late >= minSilent && ctx.Err() == nil && !f.pausedSince(began, f.Clock.Now()) {
		f.reach.Silent(r.service, began)
	}

	if late > 0 {
		f.work.Go(func() {
			for range late {
				c := <-results
				c.release()
			}
		})
	}

	return best
}

// gather collects the results of health checks until the timeout, or until shortly after
// the first answer. It returns the best candidate with room, or nil, and how many checks
// are still running.
func (r *request) gather(ctx context.Context, results <-chan *candidate, awaited int) (*candidate, int) {
	timer := time.NewTimer(r.state.checkTimeout(r.route.Objective))
	defer timer.Stop()

	var best *candidate

	for answered := false; awaited > 0; {
		select {
		case c := <-results:
			awaited--

			if c.ok && !answered {
				answered = true

				timer.Reset(stragglerTimeout)
			}

			best = r.compare(best, c)
		case <-timer.C:
			return best, awaited
		case <-ctx.Done():
			return best, awaited
		}
	}

	return best, 0
}

// compare returns the better of a candidate, if it has room, and the best one so far.
func (r *request) compare(best, c *candidate) *candidate {
	if c.ok {
		r.checkCounts.answered++
		r.state.addSlowdown(cwpick.UnloadedTime(&c.view, r.state.factors()))
	}

	switch {
	case !c.ok:
		r.checkCounts.failed++
	case r.freeSlots(&c.view, r.front.Clock.Now()) <= 0:
		r.checkCounts.full++
	default:
		if !r.schedule.Good(c.time) {
			r.checkCounts.slow++
		}

		return better(best, c)
	}

	c.release()

	return best
}

// score sets the time and the cost of a candidate.
func (r *request) score(c *candidate) {
	factors := r.state.factors()
	c.time = cwpick.ExpectedTime(&c.view, factors)
	c.cost = cwpick.Cost(&c.view, factors, r.front.Domain)
}
