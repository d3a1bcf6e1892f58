package cwentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwtrace"
)

// observation is what is noted of one request while it is carried.
type observation struct {
	// ctx goes on with the caller's trace. It does not end with the
	// caller's connection.
	ctx    context.Context //nolint:containedctx // It lives as long as the request.
	span   cwtrace.Span
	began  time.Time
	target carobward.TargetName
}

// observe starts the span and the clock of a request.
func (c *Carrier) observe(ctx *fasthttp.RequestCtx, id carobward.RequestID) *observation {
	o := &observation{ctx: c.bound, began: c.clock.Now(), target: cwmetric.NoTarget}

	if c.options.Tracer != nil {
		h := &ctx.Request.Header
		o.ctx, o.span = c.options.Tracer.Request(o.ctx, id, cwtrace.Context{
			Parent: string(h.Peek(cwtrace.HeaderParent)),
			State:  string(h.Peek(cwtrace.HeaderState)),
		})
	}

	return o
}

// belongs notes the target of a request.
func (o *observation) belongs(target *carobward.Target) {
	o.target = target.Name
	o.span.Target(target.Name)
}

// observed counts a request that is answered and ends its span.
func (c *Carrier) observed(ctx *fasthttp.RequestCtx, o *observation, err error) {
	status := ctx.Response.StatusCode()
	verdict := carobward.Ran

	if err != nil {
		verdict = carobward.VerdictOf(err)
	}

	c.options.Requests.Target(o.target).Done(verdict, status, c.clock.Now().Sub(o.began))
	o.span.End(status, err)
}

// passed starts the span of a request that a peer passed on; the trace came
// along in the header.
func (c *Carrier) passed(ctx context.Context, id carobward.RequestID, call *carobward.Call) (context.Context, cwtrace.Span) {
	if c.options.Tracer == nil {
		return ctx, cwtrace.Span{}
	}

	return c.options.Tracer.Request(ctx, id, cwtrace.Context{
		Parent: call.Header.Get(cwtrace.HeaderParent),
		State:  call.Header.Get(cwtrace.HeaderState),
	})
}
