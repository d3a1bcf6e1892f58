package cwgateway

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwpeer"
)

// partMetrics names the listener without which an entry VM still serves.
const partMetrics = "metrics"

// part is one listener and what serves it.
type part struct {
	name    string
	address carobward.Address
	serve   func(net.Listener) error
}

// listen opens all listeners and serves them.
func (g *Gateway) listen(ctx context.Context, group *conc.WaitGroup) ([]net.Listener, error) {
	peers := cwpeer.NewServer(g.Key, g.Log)
	if err := peers.Register(cwmesh.Service, cwmesh.NewAnswers(g.mesh)); err != nil {
		return nil, err
	}

	parts := []part{
		{"callers", g.Self.Callers, g.front.Server().Serve},
		{"ready", g.Ready, small(g.serveReady)},
		{"lookup", g.Lookup, small(g.serveLookup)},
		{"peers", g.Self.Peers, peers.Serve},
		{partMetrics, g.Metrics, small(g.serveOperators)},
	}

	all, err := g.open(parts)
	if err != nil {
		return nil, err
	}

	for i, ln := range all {
		p := parts[i]

		group.Go(func() {
			if err := p.serve(ln); err != nil && ctx.Err() == nil {
				g.log.Info("A listener ended.", "listener", p.name, "cause", err.Error())
			}
		})
	}

	group.Go(func() {
		<-ctx.Done()
		peers.Close()
		closeAll(all)
	})

	return all, nil
}

// open opens the listeners, in the order of the parts. None is left open if one
// can't be: it would keep a process that serves nobody. Callers are served without
// metrics, too, which come last.
func (g *Gateway) open(parts []part) ([]net.Listener, error) {
	var all []net.Listener

	for _, p := range parts {
		ln, err := net.Listen("tcp", string(p.address))

		switch {
		case err == nil:
			all = append(all, ln)
		case p.name == partMetrics:
			g.log.Error(err, "The metrics are not served.")
		default:
			closeAll(all)

			return nil, errors.Annotate(err, p.name)
		}
	}

	return all, nil
}

func closeAll(all []net.Listener) {
	for _, ln := range all {
		_ = ln.Close()
	}
}

// small returns what serves a listener for short questions.
func small(h fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{
		Handler: h, ReadTimeout: listenTime, WriteTimeout: listenTime, ReduceMemoryUsage: true,
		NoDefaultServerHeader: true, NoDefaultDate: true,
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

// keep returns for how long callers may keep an answer which addresses to use.
// Some keep it three times as long, and must be gone when a stopping entry VM
// takes no more connections.
func (g *Gateway) keep() time.Duration {
	const longest = 3.2

	b := g.bounds.Load()

	return min(answerTime, b.AnswerMost, time.Duration(serveShare*float64(b.Grace)/longest))
}

func (g *Gateway) serveLookup(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.Adapter.LookupPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)

		return
	}

	arg := func(name string) string { return string(ctx.QueryArgs().Peek(name)) }
	lookup := g.Adapter.Lookup
	list := g.addresses(asker{lookup.Domain(arg), lookup.Region(arg), lookup.Host(arg)})

	if len(list) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)

		return
	}

	body, err := g.Adapter.Lookup.Answer(list, g.keep())
	if err != nil {
		g.log.Error(err, "The answer which addresses to use could not be encoded.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
