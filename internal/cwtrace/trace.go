// Package cwtrace records the spans of requests, one for each hop: the
// handling of a request by an entry VM, the forwarding to a peer, and each
// attempt to send it to a server. The context between hops is W3C Trace
// Context (https://www.w3.org/TR/trace-context/), so that the trace of a
// caller continues through the entry VM to the server.
//
// A nil *Tracer is valid and means that tracing is off. It costs one
// comparison per span and leaves the trace headers of callers unchanged.
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

// The limits of the export queue. Spans beyond maxQueueSize are dropped, so that
// a slow collector does not delay requests.
const (
	maxQueueSize = 2048
	maxBatchSize = 512
)

// service is the service name in the resource of each span.
const service = "carobward"

// Tracer creates spans and exports them in the background. It is safe for
// concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// New returns the tracer that the settings specify, or nil if tracing is off.
// Spans for stdout are written to w.
func New(s cwsettings.Trace, vm carobward.VMID, domain carobward.Domain, w io.Writer, log logr.Logger) (*Tracer, error) {
	exporter, err := newExporter(s, w)
	if exporter == nil || err != nil {
		return nil, errors.Annotate(err, "trace")
	}

	log = log.WithName("trace")
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Info("Could not export spans.", "cause", err.Error())
	}))

	return newTracer(s, vm, domain, sdktrace.WithBatcher(exporter,
		sdktrace.WithMaxQueueSize(maxQueueSize), sdktrace.WithMaxExportBatchSize(maxBatchSize))), nil
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
		// The exporter connects when it exports the first spans.
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.URL))
	default:
		return nil, nil
	}
}

// Close exports the queued spans. It returns an error if ctx ends first.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}

	return errors.Annotate(t.provider.Shutdown(ctx), "trace")
}
