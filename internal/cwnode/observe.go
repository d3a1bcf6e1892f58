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

// traceTimeout limits the export of the last spans when the process ends.
const traceTimeout = time.Second

// pruneInterval is the time between two removals of the metrics of deleted
// targets.
const pruneInterval = time.Minute

func (n *Node) forwarderOptions() cwentry.Options {
	return cwentry.Options{
		VM: n.settings.VM, Calls: n.settings.Limits.Calls, Bodies: n.settings.Limits.Bodies, Policy: newPolicy(&n.settings),
		Reports: n.measure.reports, Tracer: n.tracer, Metrics: n.metrics.Part("entry"), Requests: n.metrics.Requests(),
	}
}

// publish registers the metrics of the node's state.
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

// running returns the number of requests in flight.
func (n *Node) running() int64 { return n.forwarder.Running() }

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

// pruneMetrics removes the metrics of deleted targets, once per pruneInterval.
func (n *Node) pruneMetrics(now time.Time) {
	if now.Sub(n.lastPrune) < pruneInterval {
		return
	}

	n.lastPrune = now
	targets := n.holder.Targets()
	n.metrics.Requests().Keep(func(name carobward.TargetName) bool { return targets.ByName(name) != nil })
}

// closeTracer exports the last spans and closes the tracer.
func (n *Node) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
	defer cancel()

	if err := n.tracer.Close(ctx); err != nil {
		n.log.Info("The last spans were not exported.", "cause", err.Error())
	}
}

// ownerCalls returns the client with which the ticket owner calls peers. If
// tracing is on, it makes a span for each forwarded request.
func (n *Node) ownerCalls() cwpeer.Calls {
	if n.tracer == nil {
		return n.clients
	}

	return &tracedCalls{Calls: n.clients, tracer: n.tracer}
}

// tracedCalls makes a span for each request that is forwarded to a peer. Further
// calls that wait for the outcome belong to the request's own span.
type tracedCalls struct {
	cwpeer.Calls

	tracer *cwtrace.Tracer
}

// Call calls a method of a peer.
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
