package cwfront

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwpick"
)

// The measures of looking at servers before a request is sent.
const (
	// lookWidth is how many servers are looked at at once. Of four, with a
	// quarter of the machines slowed at any moment, one is at its usual speed
	// in 99.6 of 100 looks.
	lookWidth = 4
	// lookLow is the width once less than lowPart of the looks that can be
	// saved up is left.
	lookLow = 2
	lowPart = 0.25
	// blindWidth is how many servers are compared where none can be looked at.
	blindWidth = 3
	// lookTime is how long an answer is awaited at most: several round trips
	// between failure domains, and a new connection.
	lookTime = 60 * time.Millisecond
	// lateTime is how long the others are awaited once one has answered.
	lateTime = 6 * time.Millisecond
	// endTime is how long an answer that is no longer awaited may take before
	// its connection is given up.
	endTime = 500 * time.Millisecond
	// goodCost is the cost at which no better server is looked for, and
	// goodTime the time in usual times for which none is waited for: one of the
	// last slots of a machine at its usual speed.
	goodCost = 1.75
	goodTime = 1.75
	// roundsMost bounds the rounds of looking for a better server.
	roundsMost = 2
	// admitPart is the part of the objective for which room is looked for. A
	// refusal within a quarter of it leaves the caller time to come back.
	admitPart = 0.18
	// againTime is the pause before servers are looked at again where none was
	// good: machines change their speed several times a second, and a slow one
	// costs far more than the pause.
	againTime = 30 * time.Millisecond
)

// looked is the outcome of a look at one server.
type looked struct {
	view cwbackend.View
	held *cwlink.Held
	// time is how long the request would take there, in usual times, and cost
	// what speaks against the server.
	time float64
	cost float64
	ok   bool
}

// release gives the connection back, if there is one.
func (l *looked) release() {
	if l != nil && l.held != nil {
		l.held.Release()
	}
}

// choose looks at servers until a good one is found, and takes the best there
// is once the time for that is over. The request has not been sent when it
// returns an error.
func (r *request) choose(ctx context.Context, tried map[*cwbackend.Server]bool) (*looked, error) {
	f := r.front
	until := r.arrived.Add(time.Duration(admitPart * float64(r.route.Objective)))

	for {
		best, known := r.chooseOnce(ctx, tried)
		now := f.Clock.Now()
		last := !now.Before(until)

		if best != nil && (best.time <= goodTime || last && r.suits(best, now)) {
			return best, nil
		}

		best.release()

		switch {
		case ctx.Err() != nil:
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrGone)
		case !known:
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, fullAfter, ErrNone)
		case last:
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, fullAfter, ErrFull)
		}

		time.Sleep(againTime)
	}
}

// suits tells whether a server that is not good is better than a refusal. Its
// answer would be in time, or the caller has come back already and may not do so
// again. A caller that can come back is better off with that than with a late
// answer, which would also hold the slots of a slow machine for long: they are
// missed once it is fast again, several times a second.
func (r *request) suits(l *looked, now time.Time) bool {
	if r.fits(l, r.arrived.Add(r.route.Objective), now) {
		return true
	}

	return r.returned && r.fits(l, r.deadline, now)
}

// fits tells whether a server would probably answer before a time.
func (r *request) fits(l *looked, before, now time.Time) bool {
	return time.Duration(l.time*float64(r.usual())) < before.Sub(now)
}

// chooseOnce looks at some servers, and at some more where none of them is
// good. It returns nil where none has room, and whether any is known.
func (r *request) chooseOnce(ctx context.Context, tried map[*cwbackend.Server]bool) (*looked, bool) {
	f := r.front
	now := f.Clock.Now()
	views := f.Servers.Views(r.service, now, r.usual())

	for i := range views {
		views[i].Idle = f.Link.HasIdle(views[i].Address)
	}

	seen := make(map[*cwbackend.Server]bool, len(tried)+roundsMost*lookWidth)
	for s := range tried {
		seen[s] = true
	}

	if r.kept.looks.TokensAt(now) < 1 {
		return r.blind(ctx, views, tried), len(views) > 0
	}

	var best *looked

	for range roundsMost {
		draw := cwpick.Draw(views, r.width(now), f.Domain, seen)
		if len(draw) == 0 {
			break
		}

		for i := range draw {
			seen[draw[i].Server] = true
		}

		best = better(best, r.look(ctx, draw))

		if best != nil && best.cost <= goodCost || ctx.Err() != nil {
			break
		}
	}

	return best, len(views) > 0
}

// blind takes the best server by what is known without a look, for when no
// looks are left. It returns nil where none has room.
func (r *request) blind(ctx context.Context, views []cwbackend.View, tried map[*cwbackend.Server]bool) *looked {
	f := r.front
	rank, ranks := r.routes.Rank(r.service, r.route.Priority)

	var best *looked

	for _, v := range cwpick.Draw(views, blindWidth, f.Domain, tried) {
		v.Report = v.Expected()

		if cwpick.Free(&v, rank, ranks, r.kept.crowding()) > 0 {
			l := &looked{view: v}
			r.rate(l)
			best = better(best, l)
		}
	}

	if best == nil {
		return nil
	}

	b := best.view.Server.Backend()
	// On a connection that nobody has used just now, a failed write would
	// leave open whether the request ran.
	held, err := f.Link.Hold(ctx, b.Address, f.Clock.Now().Add(endTime), !r.route.Idempotent)
	if err != nil {
		r.lookFailed(best.view.Server, b.Instance, err)

		return nil
	}

	best.held = held

	return best
}

// width returns how many servers may be looked at now: fewer once much of what
// was saved up is spent, so that there is something left for each request.
func (r *request) width(now time.Time) int {
	most := lookWidth
	if r.kept.looks.TokensAt(now) < lowPart*float64(r.kept.looks.Burst()) {
		most = lookLow
	}

	for n := most; n > 0; n-- {
		if r.kept.looks.AllowN(now, n) {
			return n
		}
	}

	return 0
}

// better returns the one of lower cost and releases the other.
func better(a, b *looked) *looked {
	if a == nil || b != nil && b.cost < a.cost {
		a, b = b, a
	}

	b.release()

	return a
}

// look asks some servers at once for their load and returns the best with
// room, or nil. Those that answer later end by themselves: their connections
// are kept.
func (r *request) look(ctx context.Context, draw []cwbackend.View) *looked {
	f := r.front
	results := make(chan *looked, len(draw))
	r.looks += len(draw)
	f.counts.Add(countLooks, int64(len(draw)))

	for i := range draw {
		v := draw[i]

		f.work.Go(func() { results <- r.lookAt(v) })
	}

	best, late := r.gather(ctx, results, len(draw))
	r.seen.late += late

	if late > 0 {
		f.work.Go(func() {
			for range late {
				l := <-results
				l.release()
			}
		})
	}

	return best
}

// gather takes the results of looks as they come, and for a short while after
// the first. It returns the best with room, or nil, and how many are awaited.
func (r *request) gather(ctx context.Context, results <-chan *looked, awaited int) (*looked, int) {
	timer := time.NewTimer(lookTime)
	defer timer.Stop()

	var best *looked

	for answered := false; awaited > 0; {
		select {
		case l := <-results:
			awaited--

			if l.ok && !answered {
				answered = true

				timer.Reset(lateTime)
			}

			best = r.weigh(best, l)
		case <-timer.C:
			return best, awaited
		case <-ctx.Done():
			return best, awaited
		}
	}

	return best, 0
}

// weigh returns the better one of a server and the best so far, if it has room.
func (r *request) weigh(best, l *looked) *looked {
	rank, ranks := r.routes.Rank(r.service, r.route.Priority)

	switch {
	case !l.ok:
		r.seen.failed++
	case cwpick.Free(&l.view, rank, ranks, r.kept.crowding()) <= 0:
		r.seen.full++
	default:
		if l.time > goodTime {
			r.seen.slow++
		}

		return better(best, l)
	}

	l.release()

	return best
}

// rate sets the time and the cost of a server.
func (r *request) rate(l *looked) {
	crowd := r.kept.crowding()
	l.time = cwpick.Time(&l.view, crowd)
	l.cost = cwpick.Cost(&l.view, crowd, r.front.Domain)
}

// lookAt makes one health check, over a connection that is then held.
func (r *request) lookAt(v cwbackend.View) *looked {
	b := v.Server.Backend()
	l := &looked{view: v}

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

	v.Server.SetReport(reply.Report)
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
