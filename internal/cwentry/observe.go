package cwentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwtrace"
)

// observation is the data for the metrics and the trace of one request.
type observation struct {
	// ctx continues the caller's trace. It isn't canceled when the caller's
	// connection closes.
	ctx    context.Context //nolint:containedctx // It lives as long as the request.
	span   cwtrace.Span
	began  time.Time
	target carobward.TargetName
}

// observe starts the span and the time measurement of a request.
func (fw *Forwarder) observe(ctx *fasthttp.RequestCtx, id carobward.RequestID) *observation {
	o := &observation{ctx: fw.abortCtx, began: fw.clock.Now(), target: cwmetric.NoTarget}

	if fw.options.Tracer != nil {
		h := &ctx.Request.Header
		o.ctx, o.span = fw.options.Tracer.Request(o.ctx, id, cwtrace.Context{
			Parent: string(h.Peek(cwtrace.HeaderParent)),
			State:  string(h.Peek(cwtrace.HeaderState)),
		})
	}

	return o
}

// setTarget sets the target of a request.
func (o *observation) setTarget(target *carobward.Target) {
	o.target = target.Name
	o.span.Target(target.Name)
}

// finishObservation counts an answered request and ends its span.
func (fw *Forwarder) finishObservation(ctx *fasthttp.RequestCtx, o *observation, err error) {
	status := ctx.Response.StatusCode()
	verdict := carobward.Ran

	if err != nil {
		verdict = carobward.VerdictOf(err)
	}

	fw.options.Requests.Target(o.target).Done(verdict, status, fw.clock.Now().Sub(o.began))
	o.span.End(status, err)
}

// startRelayedSpan starts the span of a request that another entry VM relayed.
// The trace context is in the request's header.
func (fw *Forwarder) startRelayedSpan(ctx context.Context, id carobward.RequestID, call *carobward.Call) (context.Context, cwtrace.Span) {
	if fw.options.Tracer == nil {
		return ctx, cwtrace.Span{}
	}

	return fw.options.Tracer.Request(ctx, id, cwtrace.Context{
		Parent: call.Header.Get(cwtrace.HeaderParent),
		State:  call.Header.Get(cwtrace.HeaderState),
	})
}
