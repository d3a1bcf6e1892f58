package cwnode

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwentry"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwtrace"
	"carobward.example/carobward/internal/cwwire"
)

// traceMost bounds the export of the last spans when the process ends.
const traceMost = time.Second

// keepMetricsEvery is the pace at which the counts of targets that are gone
// are forgotten.
const keepMetricsEvery = time.Minute

func (n *Node) carrierOptions() cwentry.Options {
	return cwentry.Options{
		VM: n.settings.VM, Calls: n.settings.Limits.Calls, Bodies: n.settings.Limits.Bodies, Policy: newPolicy(&n.settings),
		Reports: n.measure.reports, Tracer: n.tracer, Metrics: n.metrics.Part("entry"), Requests: n.metrics.Requests(),
	}
}

// publish shows the state of the node among the metrics.
func (n *Node) publish() {
	const part = "node"

	n.metrics.Gauge(part, "flight", n.running)
	n.metrics.Gauge(part, "revision", func() int64 { return int64(n.holder.Revision()) })

	for _, s := range []carobward.PeerState{
		carobward.PeerLive, carobward.PeerSuspect, carobward.PeerLeaving, carobward.PeerDead,
	} {
		n.metrics.Gauge(part, s.String(), func() int64 { return n.count(s) })
	}
}

// running is the number of requests in flight.
func (n *Node) running() int64 { return n.carrier.Running() }

// count returns the number of entry VMs in a state.
func (n *Node) count(s carobward.PeerState) int64 {
	var found int64

	for _, p := range n.peers.All() {
		if p.State == s {
			found++
		}
	}

	return found
}

// tickMetrics forgets the counts of targets that are gone.
func (n *Node) tickMetrics(now time.Time) {
	if now.Sub(n.metricsKept) < keepMetricsEvery {
		return
	}

	n.metricsKept = now
	targets := n.holder.Targets()
	n.metrics.Requests().Keep(func(name carobward.TargetName) bool { return targets.ByName(name) != nil })
}

// closeTracer exports the last spans.
func (n *Node) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), traceMost)
	defer cancel()

	if err := n.tracer.Close(ctx); err != nil {
		n.log.Info("The last spans were not exported.", "cause", err.Error())
	}
}

// ownerCalls returns how the owner of tickets calls peers: with a span around
// each request that is passed on, if spans are made at all.
func (n *Node) ownerCalls() cwpeer.Calls {
	if n.tracer == nil {
		return n.clients
	}

	return &tracedCalls{Calls: n.clients, tracer: n.tracer}
}

// tracedCalls puts a span around each request that is passed to a peer. The
// waiting for its outcome, should it take longer, is part of the request's
// own span.
type tracedCalls struct {
	cwpeer.Calls

	tracer *cwtrace.Tracer
}

// Call calls a peer's method.
func (t *tracedCalls) Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	call, ok := in.(*cwwire.OnceCall)
	if !ok {
		return t.Calls.Call(ctx, to, method, in, out)
	}

	ctx, span := t.tracer.Pass(ctx, to)
	call.Header = cwowner.FieldsToWire(span.Header(cwowner.FieldsFromWire(call.GetHeader())))
	err := t.Calls.Call(ctx, to, method, in, out)
	span.End(0, err)

	return err
}
