package cwfront

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwrelay"
)

// maxRelayed is the largest number of requests in progress with which an entry VM takes more
// from others. Its own callers are not to wait for them.
const maxRelayed = 256

// ErrOtherConfig is the cause of the refusal of a request by the entry VM to which it was
// passed.
const ErrOtherConfig = errors.ConstError("the entry VM to which the request was passed has another configuration")

// RelayServer returns the HTTP server of the listener for requests that other entry VMs pass
// on. Only peers may reach it.
func (f *Front) RelayServer() *fasthttp.Server {
	return f.newServer(f.handleRelayed, f.relayConns, maxRelayConns)
}

// handleRelayed serves a request that another entry VM passed on, or its question whether this
// one would take it.
func (f *Front) handleRelayed(ctx *fasthttp.RequestCtx) {
	in, err := cwrelay.DecodeRequest(string(ctx.Request.Header.Peek(cwrelay.Header)))

	switch {
	case err != nil:
		f.Log.Info("A message of a peer could not be read.", "from", addrString(ctx.RemoteAddr()), "cause", err.Error())
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
	case in.Check:
		result := f.takesRelayed(in)
		ctx.Response.Header.Set(cwrelay.Header, result.Encode())
	default:
		f.handleBody(ctx, f.relayConns, func(b *body, now time.Time) *request { return f.newRelayed(ctx, in, b, now) })
	}

	if f.stopping() {
		ctx.SetConnectionClose()
	}
}

// takesRelayed returns whether this entry VM takes requests for a service that another one
// passes on.
func (f *Front) takesRelayed(in *cwrelay.Request) cwrelay.CheckResult {
	result := cwrelay.CheckResult{InFlight: f.InFlight()}

	routes := f.routes.Load()
	if routes == nil || routes.Version < in.Version || f.stopping() || f.reach.Doubtful(in.Service) || result.InFlight >= maxRelayed {
		return result
	}

	for _, v := range f.Servers.Views(in.Service, f.Clock.Now(), 0) {
		if !v.Failing && !v.Throttled {
			result.Servers++
		}
	}

	result.Taken = result.Servers > 0

	return result
}

// newRelayed returns a request that another entry VM passed on. Its err is set if the request
// is refused already. What the other one has decided stands: its deadline, its team, whose
// token it has taken, its priority and the service.
func (f *Front) newRelayed(ctx *fasthttp.RequestCtx, in *cwrelay.Request, b *body, now time.Time) *request {
	r := &request{
		front: f, origin: in.VM, arrived: now, ip: in.IP, id: in.ID, priority: in.Priority, service: in.Service, callerWait: in.Left,
		deadline: now.Add(in.Left), returned: in.Returned, admitted: in.Admitted, sends: in.Sends, possiblyRun: in.PossiblyRun, done: make(chan struct{}), body: b,
	}

	if r.err = r.findRelayed(ctx, in); r.err != nil {
		return r
	}

	r.state = f.serviceState(r.service)
	r.schedule = cwqueue.Schedule{
		Rank: r.priority, Arrived: now, Due: now.Add(in.Due), Deadline: r.deadline,
		Objective: r.route.Objective, Usual: r.usualTime(), Slowdown: r.state.currentSlowdown(),
	}
	r.call = r.newCall(ctx)
	// A server may use all of the time until the deadline, and its answer comes after that.
	r.call.Deadline = now.Add(in.Wait)

	return r
}

// findRelayed finds the route of a request that another entry VM passed on, or refuses it.
func (r *request) findRelayed(ctx *fasthttp.RequestCtx, in *cwrelay.Request) error {
	h := &ctx.Request.Header

	if r.body.refusal != nil {
		return r.body.refusal
	}

	r.routes = r.front.routes.Load()
	if r.routes == nil || r.routes.Version < in.Version {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, configRetryAfter, ErrOtherConfig)
	}

	if err := r.validate(); err != nil {
		return err
	}

	r.route = r.routes.Find(string(h.Host()), string(h.RequestURI()))
	if r.route == nil || !slices.ContainsFunc(r.route.Shares, func(s carobward.Share) bool { return s.Service == r.service }) {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, configRetryAfter, ErrOtherConfig)
	}

	if in.Team != "" {
		r.team = &carobward.Team{Name: in.Team}
	}

	return nil
}

// relayedResult describes the result of the request to the entry VM that passed it on.
func (r *request) relayedResult() *cwrelay.Result {
	result := &cwrelay.Result{ID: r.id, Verdict: r.verdict(), Server: r.server, Sends: r.sends}

	if r.err != nil {
		failure := asFailure(r.err)
		result.Cause, result.RetryAfter = failure.Cause.Error(), failure.RetryAfter
	}

	return result
}
