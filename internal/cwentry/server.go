package cwentry

import (
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Errors of a request that could not be read.
const (
	ErrMalformed      = errors.ConstError("entry: the request is malformed")
	ErrHeaderTooLarge = errors.ConstError("entry: the request's header is too large")
	ErrSlow           = errors.ConstError("entry: the request did not arrive in time")
	ErrPanicked       = errors.ConstError("entry: this entry VM failed while it handled the request")
)

// ServerOptions bound the resources that callers can use.
type ServerOptions struct {
	// Header and Body are the maximum sizes of a request's header and body in
	// bytes.
	Header carobward.ByteCount
	Body   carobward.ByteCount
	// Conns is the maximum number of open connections, ConnsPerIP that of
	// connections from one IP address.
	Conns      int
	ConnsPerIP int
	// Read is the timeout for reading a whole request, Write for writing a
	// complete reply.
	Read  time.Duration
	Write time.Duration
	// Idle is the maximum time for which a connection waits for its next
	// request.
	Idle time.Duration
}

// Server accepts the callers' connections and passes their requests to a
// Forwarder.
type Server struct {
	*fasthttp.Server

	options   ServerOptions
	forwarder *Forwarder
	log       logr.Logger
	// reading has the id and ticket of requests whose first body bytes are being
	// read. The key is the address of the request's header: the HTTP library
	// clears the header if reading fails.
	reading         sync.Map
	closeAfterReply atomic.Bool
}

// NewServer returns a server for a Forwarder.
func NewServer(o ServerOptions, fw *Forwarder, log logr.Logger) *Server {
	s := &Server{options: o, forwarder: fw, log: log.WithName("callers")}
	s.Server = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.handleReadError,
		Name:         "carobward",
		// The listener bounds the connections, since it can tell the caller
		// why it refuses one.
		Concurrency:                  o.Conns + 1,
		ReadBufferSize:               int(o.Header),
		MaxRequestBodySize:           int(o.Body),
		HeaderReceived:               s.rememberNames,
		StreamRequestBody:            true,
		ReadTimeout:                  o.Read,
		IdleTimeout:                  o.Idle,
		CloseOnShutdown:              true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       httpLogger{s.log},
	}

	return s
}

// CloseAfterReply makes the server close each connection after its next reply,
// which has the header Connection: close, so that a caller opens a new
// connection instead of sending a request on one that is being closed.
func (s *Server) CloseAfterReply() { s.closeAfterReply.Store(true) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.Server.Serve(newListener(ln, s.options, s.forwarder.options.VM))
}

// requestNames are the id and the ticket of a request, which a reply repeats.
type requestNames struct{ id, ticket string }

// rememberNames stores the id and the ticket of a request with a body. After the
// first bytes of the body, or an error, the HTTP library calls handle or
// handleReadError, which delete them; also if the connection is closed.
func (s *Server) rememberNames(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > 0 {
		s.reading.Store(h, requestNames{string(h.Peek(carobward.HeaderID)), string(h.Peek(carobward.HeaderTicket))})
	}

	return fasthttp.RequestConfig{}
}

// handle serves one request. It recovers from a panic, so that only this request
// fails.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			s.handlePanic(ctx, cause)
		}

		if s.closeAfterReply.Load() {
			ctx.SetConnectionClose()
		}

		// A write deadline makes the HTTP library send each reply at once, even
		// if more requests are pipelined on the connection.
		_ = ctx.SetWriteDeadline(time.Now().Add(s.options.Write))
	}()

	if ctx.Request.Header.ContentLength() > 0 {
		s.reading.Delete(&ctx.Request.Header)
	}

	s.forwarder.Handle(ctx)
}

// handlePanic answers a request whose handler panicked. The request may have
// been sent to a server.
func (s *Server) handlePanic(ctx *fasthttp.RequestCtx, cause any) {
	s.log.Error(errors.Errorf("%v", cause), "A request failed here.", "stack", string(debug.Stack()))

	ctx.Response.Reset()

	id, _ := requestID(ctx)
	s.forwarder.writeFailure(ctx, id,
		carobward.NewFailure(carobward.Unknown, fasthttp.StatusInternalServerError, defaultRetry, ErrPanicked))
}

// handleReadError answers a request that could not be read. No part of it was
// sent to a server.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	if stored, ok := s.reading.LoadAndDelete(&ctx.Request.Header); ok {
		n, _ := stored.(requestNames)
		ctx.Request.Header.Set(carobward.HeaderID, n.id)
		ctx.Request.Header.Set(carobward.HeaderTicket, n.ticket)
	}

	// The error is ignored: the request is refused anyway, and the id is valid.
	id, _ := requestID(ctx)
	status, cause := readErrorStatus(err)
	s.log.V(1).Info("A request could not be read.", "from", ctx.RemoteAddr().String(), "cause", err.Error())

	f := carobward.NewFailure(carobward.NotRun, status, 0, cause)
	s.forwarder.writeFailure(ctx, id, s.forwarder.refuse(ctx, f))

	_ = ctx.SetWriteDeadline(time.Now().Add(s.options.Write))
}

// readErrorStatus returns the HTTP status and the cause for an error from
// reading a request.
func readErrorStatus(err error) (int, error) {
	status := cwframe.ReadErrorStatus(err)

	switch status {
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		return status, ErrHeaderTooLarge
	case fasthttp.StatusRequestEntityTooLarge:
		return status, ErrBodySize
	case fasthttp.StatusRequestTimeout:
		return status, ErrSlow
	default: // Also a transfer coding that is not supported.
		return fasthttp.StatusBadRequest, ErrMalformed
	}
}

// httpLogger logs the HTTP library's messages.
type httpLogger struct{ log logr.Logger }

// Printf logs a message.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Info("The HTTP library logged a message.", "message", fmt.Sprintf(format, args...))
}
