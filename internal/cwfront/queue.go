package cwfront

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwqueue"
)

// waiter is a request in the queue of its service.
type waiter struct {
	request *request
	tried   map[*cwbackend.Server]bool
	// offer delivers a server that another request found or has finished with.
	offer chan *candidate
	// wake signals that the request is now the first in the queue.
	wake chan struct{}
}

// Turn implements cwqueue.Waiter.
func (w *waiter) Turn() *cwqueue.Schedule { return &w.request.schedule }

// queue is the queue of one service's waiting requests. The decisions are those of
// cwqueue.
type queue struct {
	mutex   sync.Mutex
	waiters cwqueue.Queue[*waiter]
}

// join adds a waiter, and reports whether it makes health checks itself.
func (q *queue) join(w *waiter, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	q.waiters.Join(w)

	return q.waiters.MayCheck(w, now)
}

// mayCheck reports whether a waiter makes health checks itself. It also updates by which
// factor servers are slower than usual.
func (q *queue) mayCheck(w *waiter, slowdown float64, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	w.request.schedule.Slowdown = slowdown

	return q.waiters.MayCheck(w, now)
}

// noteNoRoom records that health checks for a waiter found no server with room.
func (q *queue) noteNoRoom(w *waiter) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	w.request.schedule.NoRoom = true
}

// leave removes a waiter. An offer that it did not take goes to another waiter. The first
// one left is woken to make health checks at once: if there was room for one request,
// there may be more.
func (q *queue) leave(w *waiter, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	q.waiters.Leave(w)

	select {
	case o := <-w.offer:
		if !q.offerLocked(o, now) {
			o.release()
		}
	default:
	}

	if next, ok := q.waiters.First(now, func(*waiter) bool { return true }); ok {
		select {
		case next.wake <- struct{}{}:
		default:
		}
	}
}

// offer gives a server to the first waiter that may use it, and reports whether there is
// one.
func (q *queue) offer(o *candidate, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	return q.offerLocked(o, now)
}

func (q *queue) offerLocked(o *candidate, now time.Time) bool {
	w, ok := q.waiters.First(now, func(w *waiter) bool {
		r := w.request

		return len(w.offer) == 0 && !w.tried[o.view.Server] && r.regionAllowed(o.view.Domain) && r.schedule.Good(o.time) && r.freeSlots(&o.view, now) > 0
	})
	if ok {
		w.offer <- o
	}

	return ok
}

// freeSlots returns how many more requests like this one a server takes.
func (r *request) freeSlots(v *cwbackend.View, now time.Time) int {
	rank, ranks := r.routes.Rank(r.service, r.priority)

	return cwpick.FreeSlots(v, rank, ranks, r.schedule.Spares(now), r.state.crowding())
}

// errNoPath is returned by choose for a request that lacks a path to servers and may be passed
// to another entry VM.
const errNoPath = errors.ConstError("the request may be passed to another entry VM")

// choose returns a server for the request: one that its own health checks found, or one
// that another request of this entry VM offered. If it returns an error, the request has
// not been sent.
func (r *request) choose(ctx context.Context, tried map[*cwbackend.Server]bool) (*candidate, error) {
	f := r.front
	w := &waiter{request: r, tried: tried, offer: make(chan *candidate, 1), wake: make(chan struct{}, 1)}
	check := r.state.queue.join(w, f.Clock.Now())

	r.state.load.AddWaiting(1)

	defer func() {
		r.state.load.AddWaiting(-1)
		r.state.queue.leave(w, f.Clock.Now())
	}()

	for {
		if err := r.refuseStopping(r.usualTime()); err != nil {
			return nil, err
		}

		if check {
			best, err := r.tryChoose(ctx, tried)
			if best != nil || err != nil {
				r.noteRoom(best != nil)

				return best, err
			}

			r.state.queue.noteNoRoom(w)
		}

		if err := r.noteNoServer(); err != nil {
			return nil, err
		}

		if ctx.Err() != nil {
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrCallerGone)
		}

		if now := f.Clock.Now(); r.schedule.ShouldRefuse(now) {
			return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.retryAfter(now), r.noServerFound())
		}

		if o := w.wait(ctx, r.schedule.CheckInterval()); o != nil {
			return o, nil
		}

		check = r.state.queue.mayCheck(w, r.state.currentSlowdown(), f.Clock.Now())
	}
}

// noteNoServer notes that the request has found no server yet. It returns an error if that is
// for lack of a path and waiting does not help.
func (r *request) noteNoServer() error {
	switch {
	case !r.unreached():
		r.noteRoom(false)

		return nil
	case r.mayRelay():
		return errNoPath
	case r.front.reach.Lost(r.service):
		return r.refuseUnreached()
	default:
		return nil
	}
}

// wait waits until the request is offered a server, which it returns, until it is woken or
// the interval is over, or until the caller disconnects.
func (w *waiter) wait(ctx context.Context, timeout time.Duration) *candidate {
	timer := time.NewTimer(timeout)
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

// tryChoose checks servers once. It returns the best one if that is acceptable for the
// request, and an error if no server is known or none can take it in time.
func (r *request) tryChoose(ctx context.Context, tried map[*cwbackend.Server]bool) (*candidate, error) {
	best, known := r.chooseOnce(ctx, tried)
	now := r.front.Clock.Now()

	if best != nil && (r.schedule.Good(best.time) || r.schedule.Acceptable(best.time, now)) {
		return best, nil
	}

	best.release()

	if !known && ctx.Err() == nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.schedule.RetryAfter(), r.noServerCause())
	}

	// A request that will be too late once a server may get requests is refused now.
	if !r.availableAt.IsZero() && r.schedule.ShouldRefuse(r.availableAt) {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.schedule.RetryAfterOpening(r.availableAt, now), ErrAllBarred)
	}

	return nil, nil
}

// noServerCause returns why there is no server at all for a request.
func (r *request) noServerCause() error {
	switch {
	case r.front.Servers.AllEvacuated(r.service):
		return ErrEvacuated
	case len(r.route.AllowedRegions) > 0 && r.front.Servers.CountOf(r.service) > 0:
		return ErrRegions
	default:
		return ErrNoServer
	}
}

// handOver offers the slot of an answered send, with its connection, to a waiter, and
// reports whether one took it. The answer carried a load report of its server, so no
// health check is needed. Under overload health checks are scarce, and the slot would stay
// idle until one finds it.
func (r *request) handOver(s *send) bool {
	f := r.front
	server := s.candidate.view.Server

	if s.reply == nil || s.reply.Report.At.IsZero() || !s.candidate.held.Reusable() || !f.Servers.Has(s.backend) {
		return false
	}

	now := f.Clock.Now()
	o := &candidate{view: f.Servers.View(server, now, r.usualTime()), held: s.candidate.held, ok: true}

	if o.view.Blocked {
		return false
	}

	o.view.Report = s.reply.Report
	r.score(o)

	if !r.state.queue.offer(o, now) {
		return false
	}

	f.counts.Add(countHandovers, 1)

	return true
}
