package cwfront

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwretry"
)

// unhealthyCost is added to the cost of a server whose health check reports a failure.
// Health reports can be wrong either way, so such a server is still used if all others are
// worse.
const unhealthyCost = 3

// errOtherInstance is the error of a health check that a different instance answered.
const errOtherInstance = errors.ConstError("another server has the address")

// checkFailed records a health check without an answer that began at a time.
func (r *request) checkFailed(s *cwbackend.Server, b carobward.Backend, began time.Time, err error) {
	f := r.front

	// That this entry VM has reached its connection limit says nothing about the server.
	if errors.Is(err, cwlink.ErrConnsInUse) {
		return
	}

	o := cwbackend.Broken
	if cwframe.IsTimeout(err) || errors.Is(err, context.DeadlineExceeded) {
		o = cwbackend.Silent
	}

	s.RecordHealthCheck(f.Clock.Now(), o)
	f.serverFailed(r.service, b, began)
	f.Log.Info("A health check of a server failed.", "id", r.id, "service", r.service, "server", b.Instance, "outcome", o.String(), "cause", err.Error())
}

// forward gets the request an answer or a final failure, from servers or, if this entry VM
// reaches none, from another entry VM. Ctx ends when the caller has disconnected.
func (r *request) forward(ctx context.Context) {
	defer r.complete()

	// A quarantined request is refused without waiting for a server.
	err := r.quarantined(false)
	if err == nil {
		err = r.refuseStopping(r.usualTime())
	}

	if err == nil {
		err = r.takeToken(ctx)
	}

	if err != nil {
		r.giveUp(err)

		return
	}

	// A request that lacks a path is no demand that servers here can't meet.
	if r.front.reach.Lost(r.service) {
		r.forwardUnreached(ctx)

		return
	}

	if err := r.admit(); err != nil {
		r.giveUp(err)

		return
	}

	r.forwardToServer(ctx)
}

// forwardToServer sends the request to servers until it has an answer or a final failure.
func (r *request) forwardToServer(ctx context.Context) {
	tried := map[*cwbackend.Server]bool{}

	for {
		c, err := r.choose(ctx, tried)
		if errors.Is(err, errNoPath) {
			if r.relay(ctx) {
				return
			}

			continue
		}

		if err != nil {
			r.giveUp(err)

			return
		}

		b := c.view.Server.Backend()
		tried[c.view.Server] = true

		if !r.front.Servers.Has(b) { // The server was removed during the health check.
			c.release()

			continue
		}

		err = r.quarantined(true)
		if err == nil {
			err = r.refuseStopping(r.expectedTime(c))
		}

		if err != nil {
			c.release()
			r.giveUp(err)

			return
		}

		if !r.front.Servers.Admit(c.view.Server, r.front.Clock.Now()) { // It may not get another request from this entry VM yet.
			c.release()

			continue
		}

		if !r.takeRetry() {
			c.release()

			return
		}

		r.setResult(r.await(ctx, c, b, tried))

		if !r.shouldRetry(ctx) {
			return
		}
	}
}

// forwardUnreached passes the request to an entry VM that reaches servers of the service, or
// refuses it at once.
func (r *request) forwardUnreached(ctx context.Context) {
	if !r.relay(ctx) {
		r.giveUp(r.refuseUnreached())
	}
}

// giveUp ends the request without another send. The result of an earlier send stands.
func (r *request) giveUp(err error) {
	if r.reply != nil || r.err != nil {
		return
	}

	r.err = err
}

// resolveResult turns the result of the last send into what the caller is told. If an
// earlier send may have run, a refusal of the last one doesn't mean that the request did
// not run.
func (r *request) resolveResult() {
	if r.err != nil {
		r.err = r.sendFailure(r.err)
	}

	refused := r.err == nil && r.reply.Shed || carobward.VerdictOf(r.err) == carobward.NotRun

	switch {
	case refused && r.possiblyRun:
		r.reply, r.err = nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrMayHaveRun)
	case r.err != nil:
	case r.reply.Shed:
		r.reply, r.err = nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.schedule.RetryAfterRefusal(), ErrRefused)
	case impliesNotRun(r.reply.Status):
		// Forwarded unchanged, these statuses would tell the caller that the request did
		// not run.
		r.reply, r.err = nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrAmbiguousRefusal)
	}
}

// sendFailure returns the failure of a send without a reply. If no byte was sent, it tells
// the caller when to retry.
func (r *request) sendFailure(err error) error {
	cause := errors.Cause(asFailure(err).Cause)

	switch {
	case carobward.VerdictOf(err) == carobward.NotRun:
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.schedule.RetryAfter(), cause)
	case cwframe.IsTimeout(err):
		return carobward.NewFailure(carobward.Unknown, fasthttp.StatusGatewayTimeout, 0, ErrTimeout)
	default:
		return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, cause)
	}
}

// impliesNotRun reports whether a status tells the caller that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// minTimeLeft is the time that must be left for another send to make sense, in usual
// response times.
const minTimeLeft = 0.5

// shouldRetry reports whether the request is sent to another server. The extra call is spent by
// takeRetry.
func (r *request) shouldRetry(ctx context.Context) bool {
	f := r.front
	failed := r.err != nil || r.reply.Status >= fasthttp.StatusInternalServerError
	repeatable := r.route.Idempotent || r.err != nil && carobward.VerdictOf(r.err) == carobward.NotRun

	if !failed || !repeatable || r.sends >= r.route.Attempts || ctx.Err() != nil || !r.mayResend() || r.endsTooEarly(r.usualTime()) {
		return false
	}

	now := f.Clock.Now()
	if left := r.deadline.Sub(now); float64(left) < minTimeLeft*float64(r.usualTime()) {
		return false
	}

	claim := cwretry.ClaimOf(carobward.VerdictOf(r.err), r.refusal(now))
	if !r.checkExtraCall(now, claim) {
		return false
	}

	r.retryClaim = &claim

	return true
}

// refusal describes the request to the decision about its second send.
func (r *request) refusal(now time.Time) cwretry.Refusal {
	rank, ranks := r.routes.Rank(r.service, r.priority)
	routeRank, routeRanks := r.routes.RouteRank(r.service, r.route.Priority)

	return cwretry.Refusal{
		Rank: rank, Ranks: ranks, RouteRank: routeRank, RouteRanks: routeRanks,
		Timely: r.schedule.Timely(now), Returns: !r.returned && r.schedule.Returns(now),
	}
}
