package cwfront

import (
	"context"
	"time"

	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwpick"
)

// The measures of looking at servers before a request is sent.
const (
	// blindWidth is how many servers are compared where none can be looked at.
	blindWidth = 3
	// lookTime is how long an answer is awaited at most where servers answer at once:
	// several round trips between failure domains, and a new connection. lookFactor is how
	// many times what they take lately it is else, and lookPart bounds it by the objective:
	// a look leaves most of the time to the work.
	lookTime   = 60 * time.Millisecond
	lookFactor = 2
	lookPart   = 0.25
	// lookWeight is the weight of one look in the moving average of what they take.
	lookWeight = 0.2
	// lateTime is how long the others are awaited once one has answered.
	lateTime = 6 * time.Millisecond
	// endTime is how long an answer that is no longer awaited may take before
	// its connection is given up.
	endTime = 500 * time.Millisecond
	// goodCost is the cost at which no better server is looked for: one of the
	// last slots of a machine at its usual speed.
	goodCost = 1.75
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

// chooseOnce looks at some servers, and at some more where none of them is
// good. It returns nil where none has room, and whether any is known.
func (r *request) chooseOnce(ctx context.Context, tried map[*cwbackend.Server]bool) (*looked, bool) {
	f := r.front
	now := f.Clock.Now()
	views := r.permitted(f.Servers.Views(r.service, now, r.usual()))
	r.opens = cwbackend.Opens(views)

	for i := range views {
		views[i].Idle = f.Link.HasIdle(views[i].Address)
	}

	seen := make(map[*cwbackend.Server]bool, len(tried)+cwpick.Rounds*cwpick.Width)
	for s := range tried {
		seen[s] = true
	}

	if r.kept.looks.TokensAt(now) < 1 {
		return r.blind(ctx, views, tried), len(views) > 0
	}

	var best *looked

	for round := cwpick.FirstRound(r.turn.Vain); round < cwpick.Rounds; round++ {
		draw := cwpick.Draw(cwpick.Global{}, views, r.width(now), f.Domain, seen, round)
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
	now := f.Clock.Now()

	var best *looked

	for _, v := range cwpick.Draw(cwpick.Global{}, views, blindWidth, f.Domain, tried, 0) {
		v.Report = v.Expected()

		if r.free(&v, now) > 0 {
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
	held, err := f.Link.Hold(ctx, b.Address, now.Add(endTime), !r.route.Idempotent)
	if err != nil {
		r.lookFailed(best.view.Server, b.Instance, err)

		return nil
	}

	best.held = held

	return best
}

// width returns how many servers may be looked at now.
func (r *request) width(now time.Time) int {
	for n := cwpick.Width; n > 0; n-- {
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
	timer := time.NewTimer(r.kept.lookTime(r.route.Objective))
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
	if l.ok {
		r.kept.addPace(cwpick.Alone(&l.view, r.kept.factors()))
	}

	switch {
	case !l.ok:
		r.seen.failed++
	case r.free(&l.view, r.front.Clock.Now()) <= 0:
		r.seen.full++
	default:
		if !r.turn.Good(l.time) {
			r.seen.slow++
		}

		return better(best, l)
	}

	l.release()

	return best
}

// rate sets the time and the cost of a server.
func (r *request) rate(l *looked) {
	factors := r.kept.factors()
	l.time = cwpick.Time(&l.view, factors)
	l.cost = cwpick.Cost(&l.view, factors, r.front.Domain)
}
