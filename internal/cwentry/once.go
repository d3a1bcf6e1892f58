package cwentry

import (
	"context"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
)

// Owner runs work at most once, see package cwowner.
type Owner interface {
	// Do does the work unless an outcome of the ticket is known, here or at
	// the ticket's owner. It returns the ticket for the next try as well.
	Do(ctx context.Context, ticket string, id carobward.RequestID, c *carobward.Call, work cwowner.Work) (*cwticket.Outcome, string, error)
	// Refuse gives a request up before its work.
	Refuse(ticket string, f *carobward.Failure) (string, error)
}

// once carries work that must not repeat, under the ticket that came along or
// a new one. The reply carries the ticket for the next try.
func (c *Carrier) once(ctx context.Context, r *fasthttp.RequestCtx, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	work := func(ctx context.Context) (*cwticket.Outcome, error) { return c.carryOnce(ctx, id, target, call) }
	outcome, next, err := c.owner.Do(ctx, ticketOf(r), id, call, work)

	r.Response.Header.Set(carobward.HeaderTicket, next)

	if err != nil {
		return nil, err
	}

	return &answer{outcome.Reply, outcome.Server}, nil
}

func ticketOf(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(carobward.HeaderTicket))
}

// refuse gives a request up before its work. With a ticket it may be the
// retry of one that has run, so that not-run is for the ticket's owner to say.
func (c *Carrier) refuse(ctx *fasthttp.RequestCtx, err error) error {
	ticket := ticketOf(ctx)
	if ticket == "" {
		return err
	}

	f := carobward.NewFailure(carobward.Unknown, fasthttp.StatusInternalServerError, retryAfter, err)
	_ = errors.As(err, &f)

	next, err := c.owner.Refuse(ticket, f)
	ctx.Response.Header.Set(carobward.HeaderTicket, next)

	return err
}

// RunOnce carries work that another entry VM passed on, under a ticket that
// is claimed here.
func (c *Carrier) RunOnce(ctx context.Context, id carobward.RequestID, call *carobward.Call) (*cwticket.Outcome, error) {
	ctx, span := c.passed(ctx, id, call)
	defer span.End(0, nil)

	defer c.running.Add(-1)

	if err := c.admit(); err != nil {
		return nil, err
	}

	target, err := c.target(call.Host, call.Method, call.URI)
	if err != nil {
		return nil, err
	}

	if int64(len(call.Body)) > int64(target.Body) {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBody)
	}

	call.MaxReply = target.Body
	call.Fresh = true

	if last := c.clock.Now().Add(target.Within.Std()); call.Deadline.After(last) {
		call.Deadline = last
	}

	return c.carryOnce(ctx, id, target, call)
}

// carryOnce returns what single does as an outcome to record.
func (c *Carrier) carryOnce(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*cwticket.Outcome, error) {
	a, err := c.single(ctx, id, target, call)
	if err != nil {
		return nil, err
	}

	return &cwticket.Outcome{Reply: a.reply, Server: a.server}, nil
}
