package cwfront

import (
	"context"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
)

// lookAt makes one health check, over a connection that is then held.
func (r *request) lookAt(v cwbackend.View) *looked {
	b := v.Server.Backend()
	l := &looked{view: v}
	began := r.front.Clock.Now()

	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()

	reply, err := r.ask(ctx, l, b, false)
	if err != nil && r.forgotten(ctx, l, err) {
		l.release()

		reply, err = r.ask(ctx, l, b, true)
	}

	if err == nil && reply.Instance != "" && reply.Instance != b.Instance {
		err = errOtherInstance
	}

	if err != nil {
		r.lookFailed(v.Server, b.Instance, err)

		return l
	}

	r.kept.learnLook(r.front.Clock.Now().Sub(began))
	r.hear(v.Server, reply, cwbackend.ByLook)

	if reply.Leaving.Says() {
		return l
	}

	if reply.SaysWarmup { // It may be cold again without a start, which its entry tells later.
		fresh := r.front.Servers.View(v.Server, r.front.Clock.Now(), r.usual())
		l.view.Warming, l.view.Barred = fresh.Warming, fresh.Barred
	}

	l.view.Report = reply.Report
	r.rate(l)

	l.ok = true

	if reply.Status != fasthttp.StatusOK {
		l.cost += illCost
	}

	return l
}

// ask makes one health check over an idle connection, or over a new one where
// fresh is set.
func (r *request) ask(ctx context.Context, l *looked, b carobward.Backend, fresh bool) (*carobward.Reply, error) {
	f := r.front
	until := f.Clock.Now().Add(endTime)

	held, err := f.Link.Hold(ctx, b.Address, until, fresh)
	l.held = held

	if err != nil {
		return nil, err
	}

	return held.Exchange(ctx, &carobward.Call{
		Method: fasthttp.MethodGet, URI: r.routes.Service(r.service).HealthPath, Host: string(b.Address), Look: true,
		Deadline: until, MaxReply: carobward.Megabyte,
	})
}

// forgotten tells whether a health check failed for its connection alone, which
// the server or the path to it had forgotten while it was idle, and may be made
// once more: it has cost a look. A timeout leaves no time for that.
func (r *request) forgotten(ctx context.Context, l *looked, err error) bool {
	if !l.held.Used() || ctx.Err() != nil || cwframe.IsTimeout(err) {
		return false
	}

	return r.kept.looks.AllowN(r.front.Clock.Now(), 1)
}
