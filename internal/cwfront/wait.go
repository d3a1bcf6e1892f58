package cwfront

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwturn"
)

// waiter is a request that wants a server, in the line of its service.
type waiter struct {
	request *request
	tried   map[*cwbackend.Server]bool
	// offer gives a server that another request found or left.
	offer chan *looked
	// wake tells that it is the first in the line now.
	wake chan struct{}
}

// Turn implements cwturn.Waiter.
func (w *waiter) Turn() *cwturn.Turn { return &w.request.turn }

// line carries out for one service what cwturn decides of its waiting requests.
type line struct {
	mutex sync.Mutex
	queue cwturn.Line[*waiter]
}

// join adds a waiter, and tells whether it looks at servers itself.
func (l *line) join(w *waiter, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.queue.Join(w)

	return l.queue.Looks(w, now)
}

// looks tells whether a waiter looks at servers itself, while these are so much
// slower than usual.
func (l *line) looks(w *waiter, pace float64, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	w.request.turn.Pace = pace

	return l.queue.Looks(w, now)
}

// vain notes that servers were looked at for a waiter, and none had room.
func (l *line) vain(w *waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	w.request.turn.Vain = true
}

// leave takes a waiter out. What it was offered and did not take goes to another,
// and the next in the line looks at once: where there was room for one there may be
// more.
func (l *line) leave(w *waiter, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.queue.Leave(w)

	select {
	case o := <-w.offer:
		if !l.offerLocked(o, now) {
			o.release()
		}
	default:
	}

	if next, ok := l.queue.First(now, func(*waiter) bool { return true }); ok {
		select {
		case next.wake <- struct{}{}:
		default:
		}
	}
}

// offer gives a server to the first waiter that may have it, and tells whether
// there is one.
func (l *line) offer(o *looked, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.offerLocked(o, now)
}

func (l *line) offerLocked(o *looked, now time.Time) bool {
	w, ok := l.queue.First(now, func(w *waiter) bool {
		r := w.request

		return len(w.offer) == 0 && !w.tried[o.view.Server] && r.isHome(o.view.Domain) && r.turn.Good(o.time) && r.free(&o.view, now) > 0
	})
	if ok {
		w.offer <- o
	}

	return ok
}

// free returns how many more requests like this one a server takes.
func (r *request) free(v *cwbackend.View, now time.Time) int {
	rank, ranks := r.routes.Rank(r.service, r.priority)

	return cwpick.Free(v, rank, ranks, r.turn.Spares(now), r.kept.crowding())
}

// choose returns a server for the request: one that it finds by looking, or one
// that another request of this entry VM left. The request has not been sent when it
// returns an error.
func (r *request) choose(ctx context.Context, tried map[*cwbackend.Server]bool) (*looked, error) {
	f := r.front
	w := &waiter{request: r, tried: tried, offer: make(chan *looked, 1), wake: make(chan struct{}, 1)}
	looks := r.kept.line.join(w, f.Clock.Now())

	defer func() { r.kept.line.leave(w, f.Clock.Now()) }()

	for {
		if looks {
			best, err := r.seek(ctx, tried)
			if best != nil || err != nil {
				return best, err
			}

			r.kept.line.vain(w)
		}

		if ctx.Err() != nil {
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrGone)
		}

		if now := f.Clock.Now(); r.turn.Over(now) {
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.turn.Return(), ErrFull)
		}

		if o := w.pause(ctx, r.turn.Pause()); o != nil {
			return o, nil
		}

		looks = r.kept.line.looks(w, r.kept.pace(), f.Clock.Now())
	}
}

// pause waits until the request is offered a server, which it returns, until its
// turn may have come, or until the time is over.
func (w *waiter) pause(ctx context.Context, most time.Duration) *looked {
	timer := time.NewTimer(most)
	defer timer.Stop()

	select {
	case o := <-w.offer:
		return o
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
	}

	return nil
}

// seek looks at servers once. It returns the best one if the request takes it, and
// an error where no server is known.
func (r *request) seek(ctx context.Context, tried map[*cwbackend.Server]bool) (*looked, error) {
	best, known := r.chooseOnce(ctx, tried)
	now := r.front.Clock.Now()

	if best != nil && (r.turn.Good(best.time) || r.turn.Suits(best.time, now)) {
		return best, nil
	}

	best.release()

	if !known && ctx.Err() == nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.turn.Return(), r.noneCause())
	}

	// What is known to be refused need not wait.
	if !r.opens.IsZero() && r.turn.Over(r.opens) {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.turn.ReturnAt(r.opens, now), ErrLimits)
	}

	return nil, nil
}

// noneCause returns why there is no server at all for a request.
func (r *request) noneCause() error {
	switch {
	case r.front.Servers.Emptied(r.service):
		return ErrEvacuated
	case len(r.route.Homes) > 0 && r.front.Servers.CountOf(r.service) > 0:
		return ErrHomes
	default:
		return ErrNone
	}
}

// handOver gives the slot of a send that was answered to a waiter, with the
// connection, and tells whether one took it. Its server said with the answer how it
// is, so that no look is needed: under overload looks are few, and a slot would be
// idle until one finds it. With few entry VMs 0.81 are in time in bursts, 0.77
// without this (carobward bench worst, pattern bursts, 4 VMs, twelve seeds).
func (r *request) handOver(s *sent) bool {
	f := r.front
	server := s.looked.view.Server

	if s.reply == nil || s.reply.Report.At.IsZero() || !s.looked.held.Whole() || !f.Servers.Has(s.backend) {
		return false
	}

	now := f.Clock.Now()
	o := &looked{view: f.Servers.View(server, now, r.usual()), held: s.looked.held, ok: true}

	if o.view.Blocked {
		return false
	}

	o.view.Report = s.reply.Report
	r.rate(o)

	if !r.kept.line.offer(o, now) {
		return false
	}

	f.counts.Add(countHanded, 1)

	return true
}
