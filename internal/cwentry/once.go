package cwentry

import (
	"context"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
)

// Owner runs work at most once per ticket; see package cwowner.
type Owner interface {
	// Do does the work unless the ticket's outcome is known already, here or at
	// the ticket's owner. It also returns the ticket for the next try.
	Do(ctx context.Context, ticket string, id carobward.RequestID, c *carobward.Call, work cwowner.Work) (*cwticket.Outcome, string, error)
	// Refuse refuses a request before its work starts. It returns the ticket
	// for the next try and the failure.
	Refuse(ticket string, f *carobward.Failure) (string, error)
}

// serveOnce serves a request that must run at most once, under the ticket that
// the caller sent or a new one. The reply has the ticket for the next try.
func (fw *Forwarder) serveOnce(ctx context.Context, r *fasthttp.RequestCtx, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	work := func(ctx context.Context) (*cwticket.Outcome, error) { return fw.onceOutcome(ctx, id, target, call) }
	outcome, next, err := fw.owner.Do(ctx, ticketOf(r), id, call, work)

	r.Response.Header.Set(carobward.HeaderTicket, next)

	if err != nil {
		return nil, err
	}

	return &answer{outcome.Reply, outcome.Server}, nil
}

func ticketOf(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(carobward.HeaderTicket))
}

// refuse returns the failure of a request that is refused before its work
// starts. A request with a ticket may be the retry of one that ran, so only the
// ticket's owner can give it the verdict not-run.
func (fw *Forwarder) refuse(ctx *fasthttp.RequestCtx, err error) error {
	ticket := ticketOf(ctx)
	if ticket == "" {
		return err
	}

	f := carobward.NewFailure(carobward.Unknown, fasthttp.StatusInternalServerError, defaultRetry, err)
	_ = errors.As(err, &f)

	next, err := fw.owner.Refuse(ticket, f)
	ctx.Response.Header.Set(carobward.HeaderTicket, next)

	return err
}

// RunOnce does work that another entry VM relayed, under a ticket that is
// claimed on this entry VM.
func (fw *Forwarder) RunOnce(ctx context.Context, id carobward.RequestID, call *carobward.Call) (*cwticket.Outcome, error) {
	ctx, span := fw.startRelayedSpan(ctx, id, call)
	defer span.End(0, nil)

	defer fw.inFlight.Add(-1)

	if err := fw.admit(); err != nil {
		return nil, err
	}

	target, err := fw.findTarget(call.Host, call.Method, call.URI)
	if err != nil {
		return nil, err
	}

	if int64(call.Body.Len()) > int64(target.Body) {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBodySize)
	}

	call.MaxReply = target.Body
	call.Fresh = true

	if last := fw.clock.Now().Add(target.Within.Std()); call.Deadline.After(last) {
		call.Deadline = last
	}

	return fw.onceOutcome(ctx, id, target, call)
}

// onceOutcome calls forwardOnce and returns the outcome to record.
func (fw *Forwarder) onceOutcome(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*cwticket.Outcome, error) {
	a, err := fw.forwardOnce(ctx, id, target, call)
	if err != nil {
		return nil, err
	}

	return &cwticket.Outcome{Reply: a.reply, Server: a.server}, nil
}
