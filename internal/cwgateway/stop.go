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
	g.await(plan.Work, g.pendingRequests)

	// A request that isn't whole by now would be refused.
	g.front.CloseConns(cwconn.Reading)
	g.await(plan.End, g.pendingRequests)
	g.closeAuxiliary(plan.End)

	g.front.LogCut(g.Clock.Now())
	g.logStop("Stopped.", "took", g.Clock.Now().Sub(began).String())
}

// await waits until nothing is pending, or until a time.
func (g *Gateway) await(end time.Time, pending func() int) {
	for pending() > 0 && g.Clock.Now().Before(end) {
		time.Sleep(stopInterval)
	}
}

// pendingRequests returns on how many connections of callers and of peers there is a request, or an answer that
// has not been delivered.
func (g *Gateway) pendingRequests() int {
	callers, peers := g.front.Conns()

	return callers.Reading + callers.Busy + peers.Reading + peers.Busy + g.closer.Counts().Owing
}

// closeAuxiliary closes the connections for lookups, readiness and operators, and waits until their answers have
// been delivered, or until a time.
func (g *Gateway) closeAuxiliary(end time.Time) {
	for _, t := range g.auxiliary {
		t.Close(cwconn.Waiting)
		t.Close(cwconn.Reading)
	}

	g.await(end, func() int {
		pending := g.closer.Counts().Owing
		for _, t := range g.auxiliary {
			pending += t.Counts().Busy
		}

		return pending
	})
}

// logStop logs a step of a stop with what the connections do.
func (g *Gateway) logStop(step string, more ...any) {
	callers, peers := g.front.Conns()
	closing := g.closer.Counts()
	values := []any{
		"flight", g.front.InFlight(), "waiting", callers.Waiting, "reading", callers.Reading, "busy", callers.Busy, "peers", peers.Open(),
		"closing", closing.Closing, "owing", closing.Owing, "cut", closing.Cut,
	}

	g.log.Info(step, append(values, more...)...)
}
