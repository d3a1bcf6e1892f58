package cwtrace

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsettings"
)

// The trace context of a caller, from the examples in W3C Trace Context, sampled
// and not sampled.
const (
	callersTrace  = "4bf92f3577b34da6a3ce929d0e0e4736"
	callersSpan   = "00f067aa0ba902b7"
	callersParent = "00-" + callersTrace + "-" + callersSpan + "-01"
	notSampled    = "00-" + callersTrace + "-" + callersSpan + "-00"
)

func newRecordingTracer(share float64) (*Tracer, *tracetest.InMemoryExporter) {
	e := tracetest.NewInMemoryExporter()

	return newTracer(cwsettings.Trace{Share: share}, "vm-1", "Ifrane", sdktrace.WithSyncer(e)), e
}

// spanLines returns a line for each span with the name of its parent, its own
// name, its attributes and its status.
func spanLines(e *tracetest.InMemoryExporter) []string {
	names := map[string]string{callersSpan: "caller"}
	for _, s := range e.GetSpans() {
		names[s.SpanContext.SpanID().String()] = s.Name
	}

	var all []string

	for _, s := range e.GetSpans() {
		text := names[s.Parent.SpanID().String()] + "/" + s.Name
		for _, a := range s.Attributes {
			text += " " + string(a.Key) + "=" + a.Value.String()
		}

		all = append(all, strings.TrimSpace(text+" "+s.Status.Description))
	}

	return all
}

// TestSpans verifies the spans of a request that goes from a caller through a
// peer to a server, and the header that the server gets.
func TestSpans(t *testing.T) {
	tracer, exporter := newRecordingTracer(0)

	ctx, request := tracer.Request(context.Background(), "id", Context{Parent: callersParent, State: "a=b"})
	request.Target("fee")

	_, pass := tracer.Pass(ctx, "127.0.0.1:2")
	wire := pass.Context()

	ctx, passed := tracer.Request(context.Background(), "id", wire)
	_, attempt := tracer.Attempt(ctx, "127.0.0.1:1")

	h := carobward.Header{{Name: "traceparent", Value: callersParent}, {Name: "Accept", Value: "x"}, {Name: "tracestate", Value: "a=b"}}
	out := attempt.Header(h)

	attempt.End(0, carobward.NewFailure(carobward.Unknown, 504, 0, errors.New("cut")))
	passed.End(504, nil)
	pass.End(504, nil)
	request.End(504, nil)

	want := []string{
		"request/attempt server.address=127.0.0.1:1 carobward.verdict=unknown unknown: cut",
		"pass/request carobward.request=id http.response.status_code=504",
		"request/pass server.address=127.0.0.1:2 http.response.status_code=504",
		"caller/request carobward.request=id carobward.target=fee http.response.status_code=504",
	}
	if diff := cmp.Diff(want, spanLines(exporter)); diff != "" {
		t.Errorf("spans (-want +got):\n%s", diff)
	}

	server := attempt.span.SpanContext().SpanID().String()
	wantHeader := carobward.Header{
		{Name: "Accept", Value: "x"},
		{Name: HeaderParent, Value: "00-" + callersTrace + "-" + server + "-01"},
		{Name: HeaderState, Value: "a=b"},
	}

	if diff := cmp.Diff(wantHeader, out); diff != "" || h[0].Value != callersParent || len(h) != 3 {
		t.Errorf("the header of the caller is %v; header to the server (-want +got):\n%s", h, diff)
	}
}

func TestSampling(t *testing.T) {
	tests := map[string]struct {
		share  float64
		parent string
		spans  int
		flags  string
	}{
		"sampled by the caller":     {share: 0, parent: callersParent, spans: 1, flags: "-01"},
		"not sampled by the caller": {share: 1, parent: notSampled, spans: 0, flags: "-00"},
		"no trace context, share 1": {share: 1, spans: 1, flags: "-01"},
		"no trace context, share 0": {share: 0, spans: 0, flags: "-00"},
		"invalid trace context":     {share: 1, parent: "00-zz", spans: 1, flags: "-01"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracer, exporter := newRecordingTracer(tt.share)
			_, s := tracer.Request(context.Background(), "id", Context{Parent: tt.parent})
			c := s.Context()
			s.End(200, nil)

			if got := len(exporter.GetSpans()); got != tt.spans || !strings.HasSuffix(c.Parent, tt.flags) {
				t.Errorf("got %d spans and %q, want %d and flags %q", got, c.Parent, tt.spans, tt.flags)
			}
		})
	}
}

// TestDisabled verifies that a disabled tracer does not change headers and
// does not allocate.
func TestDisabled(t *testing.T) {
	tracer, err := New(cwsettings.Trace{To: cwsettings.TraceOff}, "vm-1", "Ifrane", io.Discard, logr.Discard())
	if tracer != nil || err != nil {
		t.Fatalf("got %v, %v, want nil, nil", tracer, err)
	}

	ctx, h := context.Background(), carobward.Header{{Name: HeaderParent, Value: callersParent}}

	if got := testing.AllocsPerRun(100, func() { traceRequest(ctx, tracer, Context{Parent: callersParent}, h) }); got != 0 {
		t.Errorf("got %v allocations per request, want 0", got)
	}

	if diff := cmp.Diff(h, traceRequest(ctx, tracer, Context{Parent: callersParent}, h)); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}

	if err := tracer.Close(ctx); err != nil {
		t.Error(err)
	}
}

// traceRequest creates the spans of one request with one attempt.
func traceRequest(ctx context.Context, t *Tracer, from Context, h carobward.Header) carobward.Header {
	ctx, request := t.Request(ctx, "id", from)
	request.Target("fee")

	_, attempt := t.Attempt(ctx, "127.0.0.1:1")
	out := attempt.Header(h)
	attempt.End(200, nil)
	request.End(200, nil)

	return out
}

// TestExporters verifies that Close exports the queued spans, to stdout and
// to a collector.
func TestExporters(t *testing.T) {
	var collected bytes.Buffer

	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		collected.WriteString(r.URL.Path + " ")
		_, _ = io.Copy(&collected, r.Body)
	}))
	defer collector.Close()

	var out bytes.Buffer

	tests := map[string]struct {
		settings cwsettings.Trace
		got      *bytes.Buffer
		want     string
	}{
		"stdout": {cwsettings.Trace{To: cwsettings.TraceStdout, Share: 1}, &out, `"Name":"attempt"`},
		"http":   {cwsettings.Trace{To: cwsettings.TraceHTTP, URL: collector.URL + "/v1/traces", Share: 1}, &collected, "/v1/traces "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracer, err := New(tt.settings, "vm-1", "Ifrane", &out, logr.Discard())
			if err != nil {
				t.Fatal(err)
			}

			traceRequest(context.Background(), tracer, Context{}, nil)

			if err := tracer.Close(context.Background()); err != nil {
				t.Fatal(err)
			}

			if !strings.Contains(tt.got.String(), tt.want) || !strings.Contains(tt.got.String(), "vm-1") {
				t.Errorf("got %q, want it to contain %q and the VM", tt.got, tt.want)
			}
		})
	}
}

// BenchmarkSpans measures the cost of the spans of one request with one
// attempt.
func BenchmarkSpans(b *testing.B) {
	for name, tracer := range map[string]*Tracer{
		"off":       nil,
		"unsampled": newTracer(cwsettings.Trace{Share: 0}, "vm-1", "Ifrane", sdktrace.WithBatcher(tracetest.NewNoopExporter())),
		"sampled":   newTracer(cwsettings.Trace{Share: 1}, "vm-1", "Ifrane", sdktrace.WithBatcher(tracetest.NewNoopExporter())),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			h := carobward.Header{{Name: "Accept", Value: "x"}}

			for b.Loop() {
				traceRequest(context.Background(), tracer, Context{}, h)
			}
		})
		_ = tracer.Close(context.Background())
	}
}
