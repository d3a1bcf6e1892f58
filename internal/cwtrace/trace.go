// Package cwtrace makes the spans of a request, one a hop: the entry VM's
// handling, the passing to a peer, and each attempt at a server. The context
// between hops is that of W3C Trace Context
// (https://www.w3.org/TR/trace-context/), so that the caller's trace goes on
// through the entry VM to the server.
//
// A nil *Tracer is one that is off. It costs a comparison a span and leaves
// the callers' own trace headers as they are.
package cwtrace

import (
	"context"
	"io"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsettings"
)

// The bounds of what waits to be exported. Spans over the bound are dropped,
// so that a slow collector holds up nothing.
const (
	queueMost = 2048
	batchMost = 512
)

// service is the resource's name in each span.
const service = "carobward"

// Tracer makes spans and exports them in the background. It may be used by
// many goroutines.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// New returns the tracer that the settings ask for, which is nil where they
// say off. Spans that go to stdout are written to w.
func New(s cwsettings.Trace, vm carobward.VMID, domain carobward.Domain, w io.Writer, log logr.Logger) (*Tracer, error) {
	exporter, err := newExporter(s, w)
	if exporter == nil || err != nil {
		return nil, errors.Annotate(err, "trace")
	}

	log = log.WithName("trace")
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Info("Spans were not exported.", "cause", err.Error())
	}))

	return newTracer(s, vm, domain, sdktrace.WithBatcher(exporter,
		sdktrace.WithMaxQueueSize(queueMost), sdktrace.WithMaxExportBatchSize(batchMost))), nil
}

func newTracer(s cwsettings.Trace, vm carobward.VMID, domain carobward.Domain, export sdktrace.TracerProviderOption) *Tracer {
	p := sdktrace.NewTracerProvider(
		export,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", string(vm)),
			attribute.String("carobward.domain", string(domain)),
		)),
	)

	return &Tracer{provider: p, tracer: p.Tracer(service)}
}

func newExporter(s cwsettings.Trace, w io.Writer) (sdktrace.SpanExporter, error) {
	switch s.To {
	case cwsettings.TraceStdout:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case cwsettings.TraceHTTP:
		// The exporter connects when the first spans are due.
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.URL))
	default:
		return nil, nil
	}
}

// Close exports what waits, until ctx ends.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}

	return errors.Annotate(t.provider.Shutdown(ctx), "trace")
}
