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

// The errors of a request that could not be read.
const (
	ErrRequest  = errors.ConstError("entry: the request is malformed")
	ErrHeader   = errors.ConstError("entry: the request's header is too large")
	ErrSlow     = errors.ConstError("entry: the request did not arrive in time")
	ErrPanicked = errors.ConstError("entry: this entry VM failed while it handled the request")
)

// ServerOptions bound what callers can hold.
type ServerOptions struct {
	// Header and Body are the largest request header and body in bytes.
	Header carobward.ByteCount
	Body   carobward.ByteCount
	// Conns is the number of open connections, ConnsPerIP of those from
	// one IP number.
	Conns      int
	ConnsPerIP int
	// Read bounds the time to read one whole request, Write the time to
	// write one whole reply.
	Read  time.Duration
	Write time.Duration
	// Idle bounds the time that a connection waits for its next request.
	Idle time.Duration
}

// Server takes the callers' connections and hands their requests to a
// Carrier.
type Server struct {
	*fasthttp.Server

	options ServerOptions
	carrier *Carrier
	log     logr.Logger
	// reading has the names of requests whose first bytes of body are being
	// read, by the header's place, since the library drops the header when
	// that fails.
	reading sync.Map
	parting atomic.Bool
}

// NewServer returns a server for a Carrier.
func NewServer(o ServerOptions, c *Carrier, log logr.Logger) *Server {
	s := &Server{options: o, carrier: c, log: log.WithName("callers")}
	s.Server = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.refuse,
		Name:         "carobward",
		// The listener counts the connections, since it can say why it
		// refuses one.
		Concurrency:                  o.Conns + 1,
		ReadBufferSize:               int(o.Header),
		MaxRequestBodySize:           int(o.Body),
		HeaderReceived:               s.remember,
		StreamRequestBody:            true,
		ReadTimeout:                  o.Read,
		IdleTimeout:                  o.Idle,
		CloseOnShutdown:              true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       serverLog{s.log},
	}

	return s
}

// Part makes each reply from now on the last one of its connection, so that
// a caller that goes on opens a new one instead of meeting a close.
func (s *Server) Part() { s.parting.Store(true) }

// Serve takes connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.Server.Serve(newListener(ln, s.options, s.carrier.options.VM))
}

// names are what a reply has to say of its request.
type names struct{ id, ticket string }

// remember keeps the names of a request with a body. Reading the first bytes
// of one ends in handle or in refuse, also when its connection ends.
func (s *Server) remember(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > 0 {
		s.reading.Store(h, names{string(h.Peek(carobward.HeaderID)), string(h.Peek(carobward.HeaderTicket))})
	}

	return fasthttp.RequestConfig{}
}

// handle serves one request. A fault in it costs this request only.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			s.panicked(ctx, cause)
		}

		if s.parting.Load() {
			ctx.SetConnectionClose()
		}

		// With a deadline of its own each reply is sent at once, also when
		// more requests wait on the connection.
		_ = ctx.SetWriteDeadline(time.Now().Add(s.options.Write))
	}()

	if ctx.Request.Header.ContentLength() > 0 {
		s.reading.Delete(&ctx.Request.Header)
	}

	s.carrier.Handle(ctx)

	if ctx.Response.StatusCode() == fasthttp.StatusRequestEntityTooLarge {
		linger(ctx)
	}
}

// panicked answers a request whose handling failed. It may have been sent.
func (s *Server) panicked(ctx *fasthttp.RequestCtx, cause any) {
	s.log.Error(errors.Errorf("%v", cause), "A request failed here.", "stack", string(debug.Stack()))

	ctx.Response.Reset()

	id, _ := requestID(ctx)
	s.carrier.writeFailure(ctx, id,
		carobward.NewFailure(carobward.Unknown, fasthttp.StatusInternalServerError, retryAfter, ErrPanicked))
}

// refuse answers a request that could not be read. None of it was sent on.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error) {
	if kept, ok := s.reading.LoadAndDelete(&ctx.Request.Header); ok {
		n, _ := kept.(names)
		ctx.Request.Header.Set(carobward.HeaderID, n.id)
		ctx.Request.Header.Set(carobward.HeaderTicket, n.ticket)
	}

	// A bad id is replaced; the request is refused anyway.
	id, _ := requestID(ctx)
	status, cause := refusal(err)
	s.log.V(1).Info("A request could not be read.", "from", ctx.RemoteAddr().String(), "cause", err.Error())

	f := carobward.NewFailure(carobward.NotRun, status, 0, cause)
	s.carrier.writeFailure(ctx, id, s.carrier.refuse(ctx, f))

	_ = ctx.SetWriteDeadline(time.Now().Add(s.options.Write))

	linger(ctx)
}

// linger lets a caller that is still sending have the answer before its
// connection is closed.
func linger(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*counted); ok {
		c.refused.Store(true)
	}
}

// refusal returns the status and the cause for an error of reading.
func refusal(err error) (int, error) {
	var small *fasthttp.ErrSmallBuffer

	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, ErrHeader
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, ErrBody
	case cwframe.IsTimeout(err):
		return fasthttp.StatusRequestTimeout, ErrSlow
	default:
		return fasthttp.StatusBadRequest, ErrRequest
	}
}

// serverLog takes the HTTP library's own messages.
type serverLog struct{ log logr.Logger }

// Printf logs a message.
func (l serverLog) Printf(format string, args ...any) {
	l.log.Info("The HTTP library reports.", "message", fmt.Sprintf(format, args...))
}
