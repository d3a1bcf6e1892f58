package cwstand

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// ServerOptions describe a backend server.
type ServerOptions struct {
	// Slots is how many requests run at once; others wait.
	Slots int
	// Work is how long one request takes.
	Work time.Duration
}

// Server is a stand-in for a backend server: it answers each request with
// its method, path and body after the work, reports its load, and counts.
type Server struct {
	options ServerOptions
	slots   chan struct{}
	queued  atomic.Int64
	ran     atomic.Int64
	server  *fasthttp.Server
	ln      net.Listener
}

// NewServer returns a server that serves on the listener.
func NewServer(ln net.Listener, o ServerOptions) *Server {
	s := &Server{options: o, slots: make(chan struct{}, o.Slots), ln: ln}
	s.server = &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true}

	go func() { _ = s.server.Serve(ln) }()

	return s
}

// Address is where the server serves.
func (s *Server) Address() carobward.Address { return carobward.Address(s.ln.Addr().String()) }

// Ran returns the number of requests that ran.
func (s *Server) Ran() int64 { return s.ran.Load() }

// Close stops serving.
func (s *Server) Close() { _ = s.ln.Close() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.queued.Add(1)
	s.slots <- struct{}{}
	s.queued.Add(-1)

	time.Sleep(s.options.Work)
	s.ran.Add(1)

	report := fmt.Sprintf("TEXT named_metrics.slots=%d, named_metrics.running=%d, named_metrics.queued=%d",
		s.options.Slots, len(s.slots), s.queued.Load())

	<-s.slots

	id := strings.Clone(string(ctx.Request.Header.Peek(carobward.HeaderID)))
	ctx.Response.Header.Set(carobward.HeaderID, id)
	ctx.Response.Header.Set(carobward.HeaderReport, report)
	_, _ = fmt.Fprintf(ctx, "%s %s\n%s", ctx.Method(), ctx.RequestURI(), ctx.PostBody())
}
