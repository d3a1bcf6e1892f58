package cwfront

import (
	"context"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwlink"
)

// checkHealth makes one health check and keeps its connection for the request.
func (r *request) checkHealth(v cwbackend.View) *candidate {
	b := v.Server.Backend()
	c := &candidate{view: v}
	began := r.front.Clock.Now()

	ctx, cancel := context.WithTimeout(context.Background(), maxCheckTime)
	defer cancel()

	reply, err := r.sendCheck(ctx, c, b, false)
	if err != nil && r.mayRecheck(ctx, c, err) {
		c.release()

		reply, err = r.sendCheck(ctx, c, b, true)
	}

	if err == nil {
		r.noteAnswer(v.Server)
	}

	if err == nil && reply.Instance != "" && reply.Instance != b.Instance {
		err = errOtherInstance
	}

	if err != nil {
		r.checkFailed(v.Server, b, began, err)

		return c
	}

	r.state.recordCheckTime(r.front.Clock.Now().Sub(began))
	r.recordNotices(v.Server, reply, cwbackend.ByHealthCheck)

	if reply.Leaving.IsLeaving() {
		return c
	}

	if reply.HasWarmup { // A server can need another warm-up without a restart; its list entry shows that later.
		fresh := r.front.Servers.View(v.Server, r.front.Clock.Now(), r.usualTime())
		c.view.Warming, c.view.Throttled = fresh.Warming, fresh.Throttled
	}

	c.view.Report = reply.Report
	r.score(c)

	c.ok = true

	if reply.Status != fasthttp.StatusOK {
		c.cost += unhealthyCost
	}

	return c
}

// sendCheck makes one health check over an idle connection, or over a new one if fresh is
// set.
func (r *request) sendCheck(ctx context.Context, c *candidate, b carobward.Backend, fresh bool) (*carobward.Reply, error) {
	held, reply, err := r.front.sendCheck(ctx, r.routes.Service(r.service).HealthPath, b.Address, fresh)
	c.held = held
	r.front.noteNewConn(r.service, b, held, err)

	return reply, err
}

// maxHealthReply bounds the body of an answer to a health check, of which only the head is used.
const maxHealthReply = 16 * carobward.Kilobyte

// sendCheck requests the health path of a server. The connection is nil if there is none; it
// must be released otherwise.
func (f *Front) sendCheck(ctx context.Context, path string, to carobward.Address, fresh bool) (*cwlink.HeldConn, *carobward.Reply, error) {
	until := f.Clock.Now().Add(maxCheckTime)

	held, err := f.Link.Hold(ctx, to, until, fresh)
	if err != nil {
		return nil, nil, err
	}

	reply, err := held.Exchange(ctx, &carobward.Call{
		Method: fasthttp.MethodGet, URI: path, Host: string(to), HealthCheck: true, Deadline: until, MaxReply: maxHealthReply,
	})

	return held, reply, err
}

// mayRecheck reports whether a failed health check may be made once more over a new
// connection: it used an idle connection that the server or the network had dropped, which
// says nothing about the server. The second check counts against the rate limit. A timeout
// leaves no time for one.
func (r *request) mayRecheck(ctx context.Context, c *candidate, err error) bool {
	if !c.held.Reused() || ctx.Err() != nil || cwframe.IsTimeout(err) {
		return false
	}

	return r.state.checks.AllowN(r.front.Clock.Now(), 1)
}
