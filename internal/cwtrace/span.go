package cwtrace

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"carobward.example/carobward"
)

// The header fields of W3C Trace Context.
const (
	HeaderParent = "Traceparent"
	HeaderState  = "Tracestate"
)

// The keys of the spans' attributes.
const (
	keyTarget  = attribute.Key("carobward.target")
	keyID      = attribute.Key("carobward.request")
	keyServer  = attribute.Key("server.address")
	keyVerdict = attribute.Key("carobward.verdict")
	keyStatus  = attribute.Key("http.response.status_code")
)

var propagator propagation.TraceContext

// Span is one hop. The zero Span is off.
type Span struct{ span trace.Span }

// Context is a trace context as it goes over the wire.
type Context struct {
	// Parent and State are the values of the two header fields.
	Parent, State string
}

// Get, Set and Keys make Context a carrier for the propagator.

// Get returns the value of a field.
func (c *Context) Get(name string) string {
	switch {
	case strings.EqualFold(name, HeaderParent):
		return c.Parent
	case strings.EqualFold(name, HeaderState):
		return c.State
	default:
		return ""
	}
}

// Set takes the value of a field.
func (c *Context) Set(name, value string) {
	switch {
	case strings.EqualFold(name, HeaderParent):
		c.Parent = value
	case strings.EqualFold(name, HeaderState):
		c.State = value
	}
}

// Keys returns the names of both fields.
func (c *Context) Keys() []string { return []string{HeaderParent, HeaderState} }

// Request starts the span of a request that came from a caller, or from a
// peer that passed it on. It goes on with the trace in from, if that holds
// one that can be read; else it starts one, of which the settings' share is
// sampled.
func (t *Tracer) Request(ctx context.Context, id carobward.RequestID, from Context) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}

	return t.request(ctx, id, from)
}

// request stands apart from Request, so that no memory is taken where the
// tracer is off.
func (t *Tracer) request(ctx context.Context, id carobward.RequestID, from Context) (context.Context, Span) {
	ctx, s := t.tracer.Start(propagator.Extract(ctx, &from), "request", trace.WithSpanKind(trace.SpanKindServer))
	if s.IsRecording() {
		s.SetAttributes(keyID.String(string(id)))
	}

	return ctx, Span{s}
}

// Attempt starts the span of one attempt at a server.
func (t *Tracer) Attempt(ctx context.Context, server carobward.Address) (context.Context, Span) {
	return t.client(ctx, "attempt", keyServer, string(server))
}

// Pass starts the span of passing a request to a peer.
func (t *Tracer) Pass(ctx context.Context, peer carobward.Address) (context.Context, Span) {
	return t.client(ctx, "pass", keyServer, string(peer))
}

func (t *Tracer) client(ctx context.Context, name string, key attribute.Key, value string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}

	ctx, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	if s.IsRecording() {
		s.SetAttributes(key.String(value))
	}

	return ctx, Span{s}
}

// Target notes the target that the request belongs to.
func (s Span) Target(name carobward.TargetName) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(keyTarget.String(string(name)))
	}
}

// End ends the span with the status of the reply, 0 where there is none, or
// with a failure and its verdict.
func (s Span) End(status int, err error) {
	if s.span == nil {
		return
	}

	if s.span.IsRecording() {
		s.outcome(status, err)
	}

	s.span.End()
}

func (s Span) outcome(status int, err error) {
	if err != nil {
		s.span.SetAttributes(keyVerdict.String(carobward.VerdictOf(err).String()))
		s.span.SetStatus(codes.Error, err.Error())
	}

	if status != 0 {
		s.span.SetAttributes(keyStatus.Int(status))
	}
}

// Context returns what the next hop needs to go on with the trace.
func (s Span) Context() Context {
	var c Context
	if s.span != nil {
		propagator.Inject(trace.ContextWithSpan(context.Background(), s.span), &c)
	}

	return c
}

// Header returns the header with this span in place of the trace that came
// with it. It doesn't change h, which other attempts may be reading.
func (s Span) Header(h carobward.Header) carobward.Header {
	if s.span == nil {
		return h
	}

	c := s.Context()
	next := make(carobward.Header, 0, len(h)+len(c.Keys()))

	for i := range h {
		if !strings.EqualFold(h[i].Name, HeaderParent) && !strings.EqualFold(h[i].Name, HeaderState) {
			next = append(next, h[i])
		}
	}

	for _, name := range c.Keys() {
		if v := c.Get(name); v != "" {
			next = append(next, carobward.Field{Name: name, Value: v})
		}
	}

	return next
}
