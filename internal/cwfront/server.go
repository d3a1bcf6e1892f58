package cwfront

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwframe"
)

// The limits of the callers' listener.
const (
	// readTimeout bounds the time to read one complete request. Callers that keep the
	// operator's limits take less.
	readTimeout = 20 * time.Second
	// idleTimeout is how long a connection waits for its next request. It is longer than
	// the operator's limit, so that callers close first and no request arrives on a
	// connection that this entry VM is closing.
	idleTimeout = 60 * time.Second
	// bufferBytes is the read buffer of each connection. It bounds the request line and
	// header, for which the operators allow 16 KB.
	bufferBytes = 20 << 10
	// maxRelayConns bounds the connections of peers that pass requests on.
	maxRelayConns = 256
	// maxBodyBytes bounds a request's body, whatever the configuration allows.
	maxBodyBytes = 64 << 20
)

// Server returns the HTTP server of the callers' listener.
func (f *Front) Server() *fasthttp.Server { return f.newServer(f.handle, f.conns, f.MaxConns) }

// newServer returns an HTTP server whose connections a table tracks and bounds. The listener bounds the time
// of writes.
func (f *Front) newServer(h fasthttp.RequestHandler, t *cwconn.Table, most int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      h,
		ConnState:                    t.Observe,
		ErrorHandler:                 f.handleReadError,
		Concurrency:                  most + cwconn.MaxClosing,
		ReadBufferSize:               bufferBytes,
		StreamRequestBody:            true,
		HeaderReceived:               f.headerReceived,
		ExpectHandler:                f.expect,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		ReduceMemoryUsage:            true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       httpLogger{f.Log},
	}
}

// httpLogger logs the HTTP library's own messages.
type httpLogger struct{ log logr.Logger }

// Printf logs a message.
func (p httpLogger) Printf(format string, args ...any) {
	p.log.V(1).Info("The HTTP library logged a message.", "message", format, "values", args)
}

// handle serves one request of a caller.
func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	f.handleBody(ctx, f.conns, func(b *body, now time.Time) *request { return f.newRequest(ctx, b, now) })

	if f.stopping() {
		ctx.SetConnectionClose()
	}
}

// handleBody reads the body of a request and serves it. Parse returns the request. It recovers from a panic as
// serve does.
func (f *Front) handleBody(ctx *fasthttp.RequestCtx, t *cwconn.Table, parse func(b *body, now time.Time) *request) {
	b := newBody(f.Requests)
	defer b.release()

	defer func() {
		if cause := recover(); cause != nil {
			f.handlePanic(ctx, cause)
		}
	}()

	err := f.readBody(ctx, t, b)
	if err != nil {
		ctx.SetConnectionClose() // The rest of the body is not read.
	}

	if err != nil && !isFailure(err) {
		f.handleReadError(ctx, err)

		return
	}

	b.refusal = err

	if f.begin(ctx, t) {
		f.serve(ctx, func(now time.Time) *request { return parse(b, now) })
	}
}

// begin records that a whole request has been read, and reports whether it is handled: one on a
// connection that was closed meanwhile isn't.
func (f *Front) begin(ctx *fasthttp.RequestCtx, t *cwconn.Table) bool {
	id := f.Dialect.ID(func(name string) string { return string(ctx.Request.Header.Peek(name)) })

	if t.Begin(ctx.Conn(), cwconn.Request{ID: id, Read: f.Clock.Now()}) {
		return true
	}

	f.Log.Info("A request came on a connection that was being closed; it is not handled.", "id", id)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)

	return false
}

// serve serves one request, which parse returns. It recovers from a panic, which then fails
// this request only: if it ended the process, a caller that retries would crash one entry VM
// after the other.
func (f *Front) serve(ctx *fasthttp.RequestCtx, parse func(now time.Time) *request) {
	f.inFlight.Add(1)
	f.total.Add(1)
	defer f.inFlight.Add(-1)

	var r *request

	defer func() {
		if cause := recover(); cause != nil {
			if r != nil {
				r.reply.Drop()
			}

			f.handlePanic(ctx, cause)
		}
	}()

	r = parse(f.Clock.Now())

	if r.err == nil {
		work, done := f.disconnects.Watch(context.Background(), ctx.Conn())
		r.forward(work)
		done()
	}

	f.answer(ctx, r)
}

// ErrFault is the cause given to a caller whose request met a panic in this entry VM.
const ErrFault = errors.ConstError("a fault of the entry VM, the request may have run")

// handlePanic answers a request whose handling panicked. It may have been sent.
func (f *Front) handlePanic(ctx *fasthttp.RequestCtx, cause any) {
	id := f.Dialect.ID(func(name string) string { return string(ctx.Request.Header.Peek(name)) })
	f.counts.Add(countFaults, 1)
	f.Log.Error(ErrFault, "Handling a request panicked.", "id", id, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	ctx.Response.Reset()
	f.writeFailure(&ctx.Response, &request{front: f, id: id, err: carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrFault)})
	ctx.SetConnectionClose()
}

// handleReadError answers a request that could not be read. Nothing of it was sent.
func (f *Front) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	f.Log.Info("A request could not be read.", "from", addrString(ctx.RemoteAddr()), "cause", err.Error())
	ctx.Response.Reset()
	ctx.SetStatusCode(cwframe.ReadErrorStatus(err))
	ctx.SetConnectionClose()

	if ctx.Response.StatusCode() == fasthttp.StatusRequestTimeout {
		f.Dialect.RetryAfter(slowRetryAfter, ctx.Response.Header.Set)
	}
}

// slowRetryAfter is when a caller may retry that took too long to send its request: nothing here has to
// change before.
const slowRetryAfter = 50 * time.Millisecond

func addrString(a net.Addr) string {
	if a == nil {
		return ""
	}

	return a.String()
}
