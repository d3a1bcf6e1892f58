package cwgateway

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwaccept"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwstop"
)

// The names of the listeners that an entry VM can do without.
const (
	listenerMetrics = "metrics"
	listenerRelay   = "relay"
)

// maxListeners is the number of listeners.
const maxListeners = 6

// listenerSpec is a listener's name and address, and the function that serves it.
type listenerSpec struct {
	name    string
	address carobward.Address
	// receive is the size of the receive buffers in bytes, 0 for that of the operating system.
	receive int
	serve   func(net.Listener) error
}

// optional reports whether an entry VM can do without the listener.
func (s *listenerSpec) optional() bool { return s.name == listenerMetrics || s.name == listenerRelay }

// listen opens all listeners and starts to serve them. One that an entry VM can't do without is sent to
// failed if it ends.
func (g *Gateway) listen(ctx context.Context, group *conc.WaitGroup, failed chan<- error) ([]net.Listener, error) {
	peers := cwpeer.NewServer(g.Key, g.Log)
	if err := peers.Register(cwmesh.Service, cwmesh.NewAnswers(g.mesh)); err != nil {
		return nil, err
	}

	specs := []listenerSpec{
		{"callers", g.Self.Callers, requestReceive, g.front.Server().Serve},
		{"ready", g.Ready, auxiliaryReceive, g.auxiliaryServer(g.serveReady, maxOperatorsConns)},
		{"lookup", g.Lookup, auxiliaryReceive, g.auxiliaryServer(g.serveLookup, maxLookupConns)},
		{"peers", g.Self.Peers, messageReceive, peers.Serve},
	}

	if g.Self.Relay != "" {
		specs = append(specs, listenerSpec{listenerRelay, g.Self.Relay, requestReceive, g.serveRelay})
	}

	specs = append(specs, listenerSpec{listenerMetrics, g.Metrics, auxiliaryReceive, g.auxiliaryServer(g.serveOperators, maxOperatorsConns)})

	listeners, err := g.open(specs)
	if err != nil {
		return nil, err
	}

	for i, ln := range listeners {
		if ln == nil {
			continue
		}

		s := specs[i]

		group.Go(func() {
			err := s.serve(ln)
			if err == nil || ctx.Err() != nil {
				return
			}

			g.log.Error(err, "A listener failed.", "listener", s.name)

			if !s.optional() {
				failed <- errors.Annotate(err, s.name)
			}
		})
	}

	group.Go(func() {
		<-ctx.Done()
		peers.Close()
		closeAll(listeners)
	})

	return listeners, nil
}

// open opens the listeners in the order of specs. If one can't be opened, it closes the
// others and returns the error: a process with only some of them would run on without serving
// anybody. Those for metrics and for requests of peers are the exception and may be nil.
func (g *Gateway) open(specs []listenerSpec) ([]net.Listener, error) {
	var listeners []net.Listener

	for _, s := range specs {
		ln, err := cwsocket.Listen(s.address, s.receive)

		switch {
		case err == nil:
			listeners = append(listeners, g.closer.Listen(cwaccept.New(ln, s.name, &g.unaccepted, g.log)))
		case s.optional():
			g.log.Error(err, "A listener can't be opened; what it is for is not served.", "listener", s.name)

			listeners = append(listeners, nil)
		default:
			closeAll(listeners)

			return nil, errors.Annotate(err, s.name)
		}
	}

	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, ln := range listeners {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// serveRelay serves the requests that other entry VMs pass on.
func (g *Gateway) serveRelay(ln net.Listener) error {
	return g.front.RelayServer().Serve(cwpeer.NewListener(ln, g.Key))
}

// The largest numbers of connections of the listeners for lookups, and for readiness and operators.
// Callers open a new one where theirs was closed.
const (
	maxLookupConns    = 512
	maxOperatorsConns = 32
	// maxAuxiliaryBody is the largest body in bytes that a request to them may have. None needs one.
	maxAuxiliaryBody = 1 << 10
)

// The sizes in bytes of the operating system's receive buffers of accepted connections, for which it takes up to
// twice the memory. Those of callers and peers let a sender fill a link of 10 Mbit/s over a distance of 25 ms.
const (
	requestReceive   = 32 << 10
	auxiliaryReceive = 4 << 10
	// messageReceive leaves the size for messages of peers to the operating system.
	messageReceive = 0
)

// trackRequests returns a handler that records its requests in the table of connections.
func trackRequests(t *cwconn.Table, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		t.Begin(ctx.Conn(), cwconn.Request{})
		h(ctx)
	}
}

// auxiliaryServer returns the serve function of a small HTTP server with short timeouts. Writes have that of
// the closer.
func (g *Gateway) auxiliaryServer(h fasthttp.RequestHandler, maxConns int) func(net.Listener) error {
	conns := cwconn.New(maxConns, g.Clock)
	g.auxiliary = append(g.auxiliary, conns)

	s := &fasthttp.Server{
		MaxRequestBodySize: maxAuxiliaryBody, Handler: trackRequests(conns, h), ConnState: conns.Observe, Concurrency: maxConns + cwconn.MaxClosing,
		ReadTimeout: listenerTimeout, ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true,
	}

	return s.Serve
}

func (g *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != g.Adapter.ReadyPath:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !g.isReady():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// lookupTTL returns how long callers may keep a lookup reply. Some keep it three times as
// long, and must have stopped using it when a stopping entry VM accepts no more connections.
func (g *Gateway) lookupTTL() time.Duration {
	const holdFactor = 3.2

	b := g.bounds.Load()

	return min(defaultLookupTTL, b.MaxLookupTTL, time.Duration(float64(cwstop.AcceptTime(b.Grace))/holdFactor))
}

func (g *Gateway) serveLookup(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.Adapter.LookupPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)

		return
	}

	arg := func(name string) string { return string(ctx.QueryArgs().Peek(name)) }
	lookup := g.Adapter.Lookup
	list := g.addresses(lookupQuery{lookup.Domain(arg), lookup.Region(arg), lookup.Host(arg)})

	if len(list) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)

		return
	}

	body, err := g.Adapter.Lookup.EncodeReply(list, g.lookupTTL())
	if err != nil {
		g.log.Error(err, "The lookup reply could not be encoded.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
