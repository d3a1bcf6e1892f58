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

// The trace of a caller, from the examples of W3C Trace Context, and the same
// one not sampled.
const (
	callersTrace  = "4bf92f3577b34da6a3ce929d0e0e4736"
	callersSpan   = "00f067aa0ba902b7"
	callersParent = "00-" + callersTrace + "-" + callersSpan + "-01"
	notSampled    = "00-" + callersTrace + "-" + callersSpan + "-00"
)

func recorded(share float64) (*Tracer, *tracetest.InMemoryExporter) {
	e := tracetest.NewInMemoryExporter()

	return newTracer(cwsettings.Trace{Share: share}, "vm-1", "Ifrane", sdktrace.WithSyncer(e)), e
}

// lines returns the name of each span, of its parent, its attributes and its
// status.
func lines(e *tracetest.InMemoryExporter) []string {
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

// TestHops follows a request from a caller over a peer to a server.
func TestHops(t *testing.T) {
	tracer, exporter := recorded(0)

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
	if diff := cmp.Diff(want, lines(exporter)); diff != "" {
		t.Errorf("spans (-want +got):\n%s", diff)
	}

	server := attempt.span.SpanContext().SpanID().String()
	wantHeader := carobward.Header{
		{Name: "Accept", Value: "x"},
		{Name: HeaderParent, Value: "00-" + callersTrace + "-" + server + "-01"},
		{Name: HeaderState, Value: "a=b"},
	}

	if diff := cmp.Diff(wantHeader, out); diff != "" || h[0].Value != callersParent || len(h) != 3 {
		t.Errorf("the caller's header is %v, that to the server (-want +got):\n%s", h, diff)
	}
}

func TestSampling(t *testing.T) {
	tests := map[string]struct {
		share  float64
		parent string
		spans  int
		flags  string
	}{
		"caller says yes":       {share: 0, parent: callersParent, spans: 1, flags: "-01"},
		"caller says no":        {share: 1, parent: notSampled, spans: 0, flags: "-00"},
		"no caller, all":        {share: 1, spans: 1, flags: "-01"},
		"no caller, none":       {share: 0, spans: 0, flags: "-00"},
		"caller writes rubbish": {share: 1, parent: "00-zz", spans: 1, flags: "-01"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracer, exporter := recorded(tt.share)
			_, s := tracer.Request(context.Background(), "id", Context{Parent: tt.parent})
			c := s.Context()
			s.End(200, nil)

			if got := len(exporter.GetSpans()); got != tt.spans || !strings.HasSuffix(c.Parent, tt.flags) {
				t.Errorf("got %d spans and %q, want %d and flags %q", got, c.Parent, tt.spans, tt.flags)
			}
		})
	}
}

// TestOff checks that a tracer that is off changes nothing and allocates
// nothing.
func TestOff(t *testing.T) {
	tracer, err := New(cwsettings.Trace{To: cwsettings.TraceOff}, "vm-1", "Ifrane", io.Discard, logr.Discard())
	if tracer != nil || err != nil {
		t.Fatalf("got %v, %v, want none", tracer, err)
	}

	ctx, h := context.Background(), carobward.Header{{Name: HeaderParent, Value: callersParent}}

	if got := testing.AllocsPerRun(100, func() { hops(ctx, tracer, Context{Parent: callersParent}, h) }); got != 0 {
		t.Errorf("got %v allocations a request, want none", got)
	}

	if diff := cmp.Diff(h, hops(ctx, tracer, Context{Parent: callersParent}, h)); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}

	if err := tracer.Close(ctx); err != nil {
		t.Error(err)
	}
}

// hops makes the spans of one request with one attempt.
func hops(ctx context.Context, t *Tracer, from Context, h carobward.Header) carobward.Header {
	ctx, request := t.Request(ctx, "id", from)
	request.Target("fee")

	_, attempt := t.Attempt(ctx, "127.0.0.1:1")
	out := attempt.Header(h)
	attempt.End(200, nil)
	request.End(200, nil)

	return out
}

// TestExporters checks that spans reach both places by the time that Close
// returns.
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

			hops(context.Background(), tracer, Context{}, nil)

			if err := tracer.Close(context.Background()); err != nil {
				t.Fatal(err)
			}

			if !strings.Contains(tt.got.String(), tt.want) || !strings.Contains(tt.got.String(), "vm-1") {
				t.Errorf("got %q, want %q and the VM in it", tt.got, tt.want)
			}
		})
	}
}

// BenchmarkHops measures the spans of one request with one attempt.
func BenchmarkHops(b *testing.B) {
	for name, tracer := range map[string]*Tracer{
		"off":       nil,
		"unsampled": newTracer(cwsettings.Trace{Share: 0}, "vm-1", "Ifrane", sdktrace.WithBatcher(tracetest.NewNoopExporter())),
		"sampled":   newTracer(cwsettings.Trace{Share: 1}, "vm-1", "Ifrane", sdktrace.WithBatcher(tracetest.NewNoopExporter())),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			h := carobward.Header{{Name: "Accept", Value: "x"}}

			for b.Loop() {
				hops(context.Background(), tracer, Context{}, h)
			}
		})
		_ = tracer.Close(context.Background())
	}
}
