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

// illCost is the cost of a server whose health check fails. Health may be
// wrong either way, so that such a server is used where all others are worse.
const illCost = 3

// errOtherInstance is the error of a health check that another run of a server
// answered.
const errOtherInstance = errors.ConstError("another server has the address")

// lookFailed notes a health check without an answer.
func (r *request) lookFailed(s *cwbackend.Server, i carobward.Instance, err error) {
	f := r.front

	// That we have used up our part of its connections says nothing of it.
	if errors.Is(err, cwlink.ErrConns) {
		return
	}

	o := cwbackend.Broken
	if cwframe.IsTimeout(err) || errors.Is(err, context.DeadlineExceeded) {
		o = cwbackend.Silent
	}

	s.Looked(f.Clock.Now(), o)
	f.Log.Info("A look at a server failed.", "id", r.id, "service", r.service, "server", i, "outcome", o.String(), "cause", err.Error())
}

// carry sends the request until it has an answer or its final failure. Ctx
// ends when the caller has gone.
func (r *request) carry(ctx context.Context) {
	defer r.end()

	// What is known to be refused need not wait for a server.
	if err := r.quarantined(false); err != nil {
		r.giveUp(err)

		return
	}

	if err := r.takeToken(ctx); err != nil {
		r.giveUp(err)

		return
	}

	tried := map[*cwbackend.Server]bool{}

	for {
		l, err := r.choose(ctx, tried)
		if err != nil {
			r.giveUp(err)

			return
		}

		b := l.view.Server.Backend()
		tried[l.view.Server] = true

		if !r.front.Servers.Has(b) { // It left while we looked.
			l.release()

			continue
		}

		if err := r.quarantined(true); err != nil {
			l.release()
			r.giveUp(err)

			return
		}

		if !r.front.Servers.Admit(l.view.Server, r.front.Clock.Now()) { // It is cold, and got its share.
			l.release()

			continue
		}

		r.finish(r.await(ctx, l, b, tried))

		if !r.again(ctx) {
			return
		}
	}
}

// giveUp ends the request without another send. An earlier answer stands.
func (r *request) giveUp(err error) {
	if r.reply != nil || r.err != nil {
		return
	}

	r.err = err
}

// judge turns the end of a send into what the caller may be told. That the last
// send did not run says nothing where an earlier one may have.
func (r *request) judge() {
	if r.err != nil {
		r.err = r.sendFailure(r.err)
	}

	refused := r.err == nil && r.reply.Shed || carobward.VerdictOf(r.err) == carobward.NotRun

	switch {
	case refused && r.begun:
		r.reply, r.err = nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrBegun)
	case r.err != nil:
	case r.reply.Shed:
		r.reply, r.err = nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.turn.ReturnShed(), ErrShed)
	case promises(r.reply.Status):
		// Passed on, these would tell the caller that the request did not run.
		r.reply, r.err = nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrDoubt)
	}
}

// sendFailure returns the failure of a send without a reply. Where no byte was
// sent the caller may come back.
func (r *request) sendFailure(err error) error {
	cause := errors.Cause(asFailure(err).Cause)

	switch {
	case carobward.VerdictOf(err) == carobward.NotRun:
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.turn.Return(), cause)
	case cwframe.IsTimeout(err):
		return carobward.NewFailure(carobward.Unknown, fasthttp.StatusGatewayTimeout, 0, ErrLate)
	default:
		return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, cause)
	}
}

// promises tells whether a status says that a request did not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// leastLeft is the time that must be left for another send to make sense, in
// usual times of an answer.
const leastLeft = 0.5

// again tells whether the request goes to another server.
func (r *request) again(ctx context.Context) bool {
	f := r.front
	failed := r.err != nil || r.reply.Status >= fasthttp.StatusInternalServerError
	repeatable := r.route.Idempotent || r.err != nil && carobward.VerdictOf(r.err) == carobward.NotRun

	if !failed || !repeatable || r.sends >= r.route.Attempts || ctx.Err() != nil || !r.mayResend() {
		return false
	}

	now := f.Clock.Now()
	if left := r.deadline.Sub(now); float64(left) < leastLeft*float64(r.usual()) {
		return false
	}

	if !r.takeExtra(now, cwretry.ClaimOf(carobward.VerdictOf(r.err), r.returned)) {
		return false
	}

	f.counts.Add(countAgain, 1)

	return true
}

// takeExtra spends one call beyond the first of a request if there is one left for
// the claim, and counts it as denied else.
func (r *request) takeExtra(now time.Time, c cwretry.Claim) bool {
	f := r.front
	ok := r.kept.window.Take(now, f.slack(), c)

	if !ok {
		f.counts.Add(countDenied, 1)
	}

	return ok
}
