package cwgateway

import (
	"net"
	"time"

	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwstop"
)

// stopInterval is the interval at which a stop checks whether requests are still in progress.
const stopInterval = 10 * time.Millisecond

// stop stops the entry VM. It withdraws from all lookup replies and serves callers that still use an
// older one. Then it takes no new connection and closes those that wait for a request, and finishes
// what is in progress. No request is sent to a server if its answer may come too late.
func (g *Gateway) stop(listeners []net.Listener) {
	began := g.Clock.Now()
	grace := g.bounds.Load().Grace
	plan := cwstop.New(began, grace)

	g.logStop("Stopping.", "grace", grace.String())
	g.front.Stop(plan)
	g.mesh.SetState(cwmesh.Leaving)

	time.Sleep(plan.Accept.Sub(g.Clock.Now()))

	// The callers' listener is the first.
	_ = listeners[0].Close()

	g.front.CloseConns(cwconn.Waiting)
	g.logStop("New connections are refused.")
	g.awaitRequests(plan.Work)

	// A request that isn't whole by now would be refused.
	g.front.CloseConns(cwconn.Reading)
	g.awaitRequests(plan.End)

	g.front.LogCut(g.Clock.Now())
	g.logStop("Stopped.", "took", g.Clock.Now().Sub(began).String())
}

// awaitRequests waits until no connection brings a request or has one in progress, or until a time.
func (g *Gateway) awaitRequests(end time.Time) {
	for g.Clock.Now().Before(end) {
		callers, peers := g.front.Conns()
		if callers.Reading+callers.Busy+peers.Reading+peers.Busy == 0 {
			return
		}

		time.Sleep(stopInterval)
	}
}

// logStop logs a step of a stop with what the connections do.
func (g *Gateway) logStop(step string, more ...any) {
	callers, peers := g.front.Conns()
	values := []any{"flight", g.front.InFlight(), "waiting", callers.Waiting, "reading", callers.Reading, "busy", callers.Busy, "peers", peers.Open()}

	g.log.Info(step, append(values, more...)...)
}
