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

// The attribute keys of spans.
const (
	keyTarget  = attribute.Key("carobward.target")
	keyID      = attribute.Key("carobward.request")
	keyServer  = attribute.Key("server.address")
	keyVerdict = attribute.Key("carobward.verdict")
	keyStatus  = attribute.Key("http.response.status_code")
)

var propagator propagation.TraceContext

// Span is the span of one hop. The zero Span records nothing.
type Span struct{ span trace.Span }

// Context is a W3C trace context as it is sent between hops.
type Context struct {
	// Parent and State are the values of the two header fields.
	Parent, State string
}

// Get, Set and Keys implement propagation.TextMapCarrier.

// Get returns the value of a header field.
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

// Set sets the value of a header field.
func (c *Context) Set(name, value string) {
	switch {
	case strings.EqualFold(name, HeaderParent):
		c.Parent = value
	case strings.EqualFold(name, HeaderState):
		c.State = value
	}
}

// Keys returns the names of both header fields.
func (c *Context) Keys() []string { return []string{HeaderParent, HeaderState} }

// Request starts the span of a request from a caller, or from a peer that
// forwarded it. The span continues the trace in from. If from has no valid
// trace context, the span starts a new trace, which is sampled with the
// probability in the settings.
func (t *Tracer) Request(ctx context.Context, id carobward.RequestID, from Context) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}

	return t.startServer(ctx, id, from)
}

// startServer is separate from Request so that Request does not allocate if
// tracing is off.
func (t *Tracer) startServer(ctx context.Context, id carobward.RequestID, from Context) (context.Context, Span) {
	ctx, s := t.tracer.Start(propagator.Extract(ctx, &from), "request", trace.WithSpanKind(trace.SpanKindServer))
	if s.IsRecording() {
		s.SetAttributes(keyID.String(string(id)))
	}

	return ctx, Span{s}
}

// Attempt starts the span of one attempt to send a request to a server.
func (t *Tracer) Attempt(ctx context.Context, server carobward.Address) (context.Context, Span) {
	return t.startClient(ctx, "attempt", keyServer, string(server))
}

// Pass starts the span of forwarding a request to a peer.
func (t *Tracer) Pass(ctx context.Context, peer carobward.Address) (context.Context, Span) {
	return t.startClient(ctx, "pass", keyServer, string(peer))
}

func (t *Tracer) startClient(ctx context.Context, name string, key attribute.Key, value string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}

	ctx, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	if s.IsRecording() {
		s.SetAttributes(key.String(value))
	}

	return ctx, Span{s}
}

// Target sets the target of the request as an attribute.
func (s Span) Target(name carobward.TargetName) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(keyTarget.String(string(name)))
	}
}

// End ends the span. The status is that of the reply, or 0 if there is none;
// err is the failure of the request, whose verdict is recorded.
func (s Span) End(status int, err error) {
	if s.span == nil {
		return
	}

	if s.span.IsRecording() {
		s.setOutcome(status, err)
	}

	s.span.End()
}

func (s Span) setOutcome(status int, err error) {
	if err != nil {
		s.span.SetAttributes(keyVerdict.String(carobward.VerdictOf(err).String()))
		s.span.SetStatus(codes.Error, err.Error())
	}

	if status != 0 {
		s.span.SetAttributes(keyStatus.Int(status))
	}
}

// Context returns the trace context to send to the next hop.
func (s Span) Context() Context {
	var c Context
	if s.span != nil {
		propagator.Inject(trace.ContextWithSpan(context.Background(), s.span), &c)
	}

	return c
}

// Header returns a copy of h in which the trace context is that of this span.
// It does not modify h, which other attempts may read concurrently.
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
