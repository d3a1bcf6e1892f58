package cwfront

import (
	"context"
	"maps"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwretry"
)

// The figures of second sends while the first is out.
const (
	// hedgeSends is the most sends of one request that are out at once.
	hedgeSends = 2
	// hedgeFactor is how many times the expected time the first send has at
	// least: work that is only long is rarely sent twice.
	hedgeFactor = 1.6
	// hedgeReserve is how many usual times before the end of the objective the
	// second send leaves, so that its answer is in time.
	hedgeReserve = 1.3
)

// hedge finds a server for the second send of a request whose answer is
// overdue.
type hedge struct {
	request *request
	ctx     context.Context
	cancel  context.CancelFunc
	tried   map[*cwbackend.Server]bool
	timer   *time.Timer
	// ready gives the server that was chosen; nil before and after that.
	ready chan found
}

// found is the outcome of looking for a second server: none where looked is
// nil.
type found struct {
	looked *looked
	looks  int
	seen   seen
}

// newHedge returns a hedge that is due when the answer of a first send is
// overdue, or never where the request may not be repeated.
func (r *request) newHedge(ctx context.Context, first *looked, tried map[*cwbackend.Server]bool) *hedge {
	h := &hedge{request: r, tried: tried}
	h.ctx, h.cancel = context.WithCancel(ctx)

	if r.route.Idempotent && r.sends < r.route.Attempts {
		h.timer = time.NewTimer(r.patience(first))
	}

	return h
}

// patience returns how long the answer of a first send is awaited alone.
func (r *request) patience(first *looked) time.Duration {
	usual := float64(r.usual())
	expected := hedgeFactor * max(1, first.time) * usual
	left := r.arrived.Add(r.route.Objective).Sub(r.front.Clock.Now())

	return max(time.Duration(expected), left-time.Duration(hedgeReserve*usual))
}

// due returns a channel that has a value when the second send is due.
func (h *hedge) due() <-chan time.Time {
	if h.timer == nil {
		return nil
	}

	return h.timer.C
}

// choose looks for a server, which ready gives. It works on a copy of the
// request, which may end meanwhile.
func (h *hedge) choose() {
	side := *h.request
	side.looks, side.seen = 0, seen{}

	ctx, tried, ready := h.ctx, maps.Clone(h.tried), make(chan found, 1)
	h.ready = ready

	side.front.work.Go(func() {
		l, _ := side.chooseOnce(ctx, tried)
		ready <- found{looked: l, looks: side.looks, seen: side.seen}
	})
}

// end gives up what is not needed any more. A server that is still being chosen
// is released when it comes.
func (h *hedge) end() {
	h.cancel()

	if h.timer != nil {
		h.timer.Stop()
	}

	if ready := h.ready; ready != nil {
		h.request.front.work.Go(func() { (<-ready).looked.release() })
	}
}

// mayHedge tells whether the second send goes to a server, and returns the
// server. A slow one is not worth it.
func (r *request) mayHedge(ctx context.Context, l *looked) (carobward.Backend, bool) {
	f := r.front

	if l == nil || r.trial || !r.turn.Good(l.time) || ctx.Err() != nil || !r.mayResend() {
		return carobward.Backend{}, false
	}

	b := l.view.Server.Backend()
	now := f.Clock.Now()

	if !f.Servers.Has(b) || r.turn.Deadline.Sub(now) < time.Duration(l.time*float64(r.usual())) {
		return b, false
	}

	return b, r.takeExtra(now, cwretry.Overdue) && f.Servers.Admit(l.view.Server, now)
}
