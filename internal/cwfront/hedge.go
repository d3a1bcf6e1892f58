package cwfront

import (
	"context"
	"maps"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwretry"
)

// The limits of hedging: a second send while the first one is in progress.
const (
	// maxConcurrentSends is the maximum number of concurrent sends of one request.
	maxConcurrentSends = 2
	// hedgeFactor is the minimum time that the first send gets, as a multiple of its
	// expected time, so that work which only takes long is rarely sent twice.
	hedgeFactor = 1.6
	// hedgeReserve is how long before the end of the objective the second send starts at
	// the latest, in usual response times, so that its answer is in time.
	hedgeReserve = 1.3
)

// hedge finds a server for the second send of a request whose answer is overdue.
type hedge struct {
	request *request
	ctx     context.Context
	cancel  context.CancelFunc
	tried   map[*cwbackend.Server]bool
	timer   *time.Timer
	// ready delivers the server that was chosen. It is nil until the choice starts and
	// after its result is received.
	ready chan hedgeCandidate
}

// hedgeCandidate is the result of the search for a second server. Its candidate is nil if
// there is none.
type hedgeCandidate struct {
	candidate   *candidate
	checks      int
	checkCounts checkCounts
}

// newHedge returns a hedge that becomes due when the answer of a first send is overdue, or
// never if the request may not be repeated.
func (r *request) newHedge(ctx context.Context, first *candidate, tried map[*cwbackend.Server]bool) *hedge {
	h := &hedge{request: r, tried: tried}
	h.ctx, h.cancel = context.WithCancel(ctx)

	if r.route.Idempotent && r.sends < r.route.Attempts {
		h.timer = time.NewTimer(r.hedgeDelay(first))
	}

	return h
}

// hedgeDelay returns how long to wait for the answer of a first send before hedging.
func (r *request) hedgeDelay(first *candidate) time.Duration {
	usual := float64(r.usualTime())
	expected := hedgeFactor * float64(r.expectedTime(first))
	left := r.arrived.Add(r.route.Objective).Sub(r.front.Clock.Now())

	return max(time.Duration(expected), left-time.Duration(hedgeReserve*usual))
}

// due returns a channel that delivers a value when the second send is due.
func (h *hedge) due() <-chan time.Time {
	if h.timer == nil {
		return nil
	}

	return h.timer.C
}

// choose searches for a server and delivers it on the ready channel. It works on a copy of
// the request, since the request may end before the search does.
func (h *hedge) choose() {
	clone := *h.request
	clone.checks, clone.checkCounts = 0, checkCounts{}

	ctx, tried, ready := h.ctx, maps.Clone(h.tried), make(chan hedgeCandidate, 1)
	h.ready = ready

	clone.front.work.Go(func() {
		c, _ := clone.chooseOnce(ctx, tried)
		ready <- hedgeCandidate{candidate: c, checks: clone.checks, checkCounts: clone.checkCounts}
	})
}

// stop stops the timer and the search. A server that is still being chosen is released
// when the search ends.
func (h *hedge) stop() {
	h.cancel()

	if h.timer != nil {
		h.timer.Stop()
	}

	if ready := h.ready; ready != nil {
		h.request.front.work.Go(func() { (<-ready).candidate.release() })
	}
}

// mayHedge reports whether the second send goes to a candidate, and returns its server. A
// slow server is not worth a hedge.
func (r *request) mayHedge(ctx context.Context, c *candidate) (carobward.Backend, bool) {
	f := r.front

	if c == nil || r.trial || !r.schedule.Good(c.time) || ctx.Err() != nil || !r.mayResend() || r.endsTooEarly(r.expectedTime(c)) {
		return carobward.Backend{}, false
	}

	b := c.view.Server.Backend()
	now := f.Clock.Now()

	if !f.Servers.Has(b) || r.schedule.Deadline.Sub(now) < time.Duration(c.time*float64(r.usualTime())) {
		return b, false
	}

	return b, r.takeExtraCall(now, cwretry.Overdue) && f.Servers.Admit(c.view.Server, now)
}
