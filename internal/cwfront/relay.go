package cwfront

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrelay"
)

// maxRelayTries is how many entry VMs a request is offered to. It is sent to another one only
// if nothing of it has been sent to the one before.
const maxRelayTries = 2

// Relay passes requests to other entry VMs.
type Relay interface {
	// Find returns an entry VM that takes a request, or an error if none is known.
	Find(ctx context.Context, n *cwrelay.Need) (*cwrelay.Target, error)
	// Send passes a request to it. The error is a carobward.Failure.
	Send(ctx context.Context, t *cwrelay.Target, call *carobward.Call, r *cwrelay.Request) (*carobward.Reply, *cwrelay.Result, error)
}

// mayRelay reports whether the request may be passed to another entry VM: it goes from one to
// another once, and the trial of a quarantined request was granted to this one.
func (r *request) mayRelay() bool {
	return r.front.Relay != nil && r.origin == "" && !r.trial && !r.relayTried
}

// relay passes the request to an entry VM that reaches servers of the service, and reports
// whether that has decided the result.
func (r *request) relay(ctx context.Context) bool {
	if !r.mayRelay() {
		return false
	}

	r.relayTried = true
	f := r.front

	for range maxRelayTries {
		began := f.Clock.Now()

		t, err := f.Relay.Find(ctx, &cwrelay.Need{ID: r.id, Service: r.service, Version: r.routes.Version, Allowed: r.regionAllowed})
		if err != nil {
			f.counts.Add(countUnrelayed, 1)

			return false
		}

		if r.passedTooLate(f.Clock.Now().Sub(began)) {
			t.Release()

			return false
		}

		if !r.takeRetry() { // The result of the send before stands.
			t.Release()

			return true
		}

		sent := r.passTo(ctx, t)
		t.Release()

		if sent {
			return true
		}
	}

	return false
}

// passedTooLate reports whether this entry VM is stopping and the answer of another one may come too late.
// The request and its answer travel as slowly as the search did.
func (r *request) passedTooLate(searched time.Duration) bool {
	return r.endsTooEarly(r.usualTime() + searched)
}

// passTo passes the request to an entry VM, and reports whether any part of it was sent.
func (r *request) passTo(ctx context.Context, t *cwrelay.Target) bool {
	f := r.front

	// As with a send to a server, work that may not be repeated isn't cancelled.
	work := ctx
	if !r.route.Idempotent {
		work = context.Background()
	}

	began := f.Clock.Now()
	reply, result, err := f.Relay.Send(work, t, &r.call, r.relayRequest(began))
	sent := err == nil || carobward.VerdictOf(err) != carobward.NotRun

	if sent {
		f.counts.Add(countRelayed, 1)
		f.total.Add(-1) // It counts as a request of the other entry VM.

		r.relayedTo = t.ID
		r.setRelayed(reply, result, err)
	}

	f.Log.Info("Passed a request to another entry VM.", "id", r.id, "vm", t.ID, "service", r.service, "servers", t.Servers, "flight", t.InFlight,
		"sent", sent, "verdict", r.verdict().String(), "took", f.Clock.Now().Sub(began).Milliseconds())

	return sent
}

// relayRequest describes the request to another entry VM.
func (r *request) relayRequest(now time.Time) *cwrelay.Request {
	return &cwrelay.Request{
		VM: r.front.VM, Version: r.routes.Version, Service: r.service, ID: r.id, IP: r.ip, Team: r.teamName(), Priority: r.priority,
		Left: r.workLimit().Sub(now), Wait: r.deadline.Sub(now), Due: r.schedule.Due.Sub(now), Sends: r.sends, PossiblyRun: r.possiblyRun, Returned: r.returned, Admitted: r.admitted,
	}
}

// setRelayed sets the result of the request to that of the entry VM to which it was passed.
// Err is set if there is none.
func (r *request) setRelayed(reply *carobward.Reply, result *cwrelay.Result, err error) {
	r.reply.Drop() // That of an earlier send.

	if err != nil {
		r.reply, r.err = nil, r.sendFailure(err)
		r.possiblyRun = true

		return
	}

	r.server, r.sends, r.streamedFrom = result.Server, result.Sends, nil
	refused := result.Verdict == carobward.NotRun

	if result.Verdict != carobward.Ran {
		reply.Drop()
	}

	switch {
	case result.Verdict == carobward.Ran:
		r.reply, r.err = reply, nil
	case refused && r.possiblyRun:
		r.reply, r.err = nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrMayHaveRun)
	default:
		r.reply, r.err = nil, carobward.NewFailure(result.Verdict, reply.Status, result.RetryAfter, errors.New(result.Cause))
	}

	r.possiblyRun = r.possiblyRun || !refused
}

// refuseUnreached returns the failure of a request that neither this entry VM nor another one
// that it knows can send to a server.
func (r *request) refuseUnreached() error {
	r.front.counts.Add(countUnreached, 1)

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.schedule.RetryAfter(), ErrUnreached)
}
