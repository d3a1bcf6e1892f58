package cwfront

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwpick"
)

// sent is one send of a request to one server, and how it ended.
type sent struct {
	looked  *looked
	backend carobward.Backend
	at      time.Time
	// number names the send in the table of servers.
	number int64
	cancel context.CancelFunc

	reply *carobward.Reply
	err   error
	// overtaken tells that another send of the request was answered first.
	overtaken bool
}

// good tells whether a send ended with an answer that needs no other send.
func (s *sent) good() bool {
	return s.err == nil && !s.reply.Shed && s.reply.Status < fasthttp.StatusInternalServerError
}

// drop ends a body that would be passed on as it comes and that nobody reads: that
// of a reply which does not count.
func (s *sent) drop() {
	if s.reply != nil && s.reply.Stream != nil {
		// It has no error.
		_ = s.reply.Stream.Close()
	}
}

// mayHaveRun tells whether the request may have run at the server.
func (s *sent) mayHaveRun() bool {
	if s.err != nil {
		return carobward.VerdictOf(s.err) != carobward.NotRun
	}

	return !s.reply.Shed
}

// start hands the request to one server over the connection that was looked at.
// The send comes back on the channel, ended.
func (r *request) start(ctx context.Context, l *looked, b carobward.Backend, ends chan<- *sent) *sent {
	f := r.front

	// Work that may not be repeated is not broken off because its caller has
	// gone: it has begun.
	work := ctx
	if !r.route.Idempotent {
		work = context.Background()
	}

	r.sends++
	f.counts.Add(countSends, 1)

	r.server = b.Instance
	s := &sent{looked: l, backend: b, at: f.Clock.Now()}
	work, s.cancel = context.WithCancel(work)
	s.number = l.view.Server.Begin(s.at, s.cancel)

	call := r.call
	call.Instance = b.Instance

	run := func() {
		s.reply, s.err = r.exchange(work, s, &call)
		ends <- s
	}

	if r.route.Idempotent {
		f.work.Go(run)
	} else {
		run() // There is no second send to wait for meanwhile.
	}

	return s
}

// exchange sends a call over the connection that was looked at, or over a new
// one where the server has ended that.
func (r *request) exchange(ctx context.Context, s *sent, call *carobward.Call) (*carobward.Reply, error) {
	l := s.looked

	if !l.held.Whole() {
		l.release()

		held, err := r.front.Link.Hold(ctx, s.backend.Address, r.deadline, true)
		l.held = held

		if err != nil {
			return nil, err
		}
	}

	return l.held.Exchange(ctx, call)
}

// await sends the request to a server and, if the answer is overdue and the
// request may be repeated, to a second one. It returns the send whose end
// counts; the other one is broken off.
func (r *request) await(ctx context.Context, l *looked, b carobward.Backend, tried map[*cwbackend.Server]bool) *sent {
	ends := make(chan *sent, hedgeSends)
	out := []*sent{r.start(ctx, l, b, ends)}

	h := r.newHedge(ctx, l, tried)
	defer h.end()

	for {
		select {
		case s := <-ends:
			r.note(ctx, s)

			r.begun = r.begun || s.mayHaveRun()

			if out = without(out, s); s.good() || len(out) == 0 {
				r.abandon(ctx, out, ends)

				return s
			}
		case <-h.due():
			h.choose()
		case found := <-h.ready:
			h.ready = nil
			r.looks += found.looks
			r.seen.add(found.seen)

			if b, ok := r.mayHedge(ctx, found.looked); ok {
				r.front.counts.Add(countHedges, 1)

				tried[found.looked.view.Server] = true
				out = append(out, r.start(ctx, found.looked, b, ends))
			} else {
				found.looked.release()
			}
		}
	}
}

func without(list []*sent, one *sent) []*sent {
	var left []*sent

	for _, s := range list {
		if s != one {
			left = append(left, s)
		}
	}

	return left
}

// abandon breaks off the sends that do not count. Their ends are noted when
// they come.
func (r *request) abandon(ctx context.Context, out []*sent, ends <-chan *sent) {
	for _, s := range out {
		s.overtaken = true
		s.cancel()
	}

	if len(out) == 0 {
		return
	}

	r.front.work.Go(func() {
		for range out {
			r.note(ctx, <-ends)
		}
	})
}

// finish takes the end of the send that counts as the request's end.
func (r *request) finish(s *sent) {
	r.reply, r.err = s.reply, s.err
	r.server = s.backend.Instance
	r.passed = s.looked.view.Server
	r.judge()

	if r.reply == nil {
		s.drop()
	}
}

// note takes what the end of a send tells of its server. It changes nothing of
// the request.
func (r *request) note(ctx context.Context, s *sent) {
	f := r.front
	s.cancel()

	end := f.Clock.Now()
	outcome := s.outcome(ctx)
	view := &s.looked.view
	view.Server.End(s.number, end, outcome)

	if s.reply != nil {
		r.hear(view.Server, s.reply, cwbackend.ByReply)
	}

	if outcome == cwbackend.Answered {
		load := &view.Report
		r.kept.learn(r.route.Objective, end.Sub(s.at), load.Slowness, cwpick.Crowded(load, view.SlotCount()), view.Warming)
	}

	if s.overtaken {
		s.drop()
	}

	if !r.handOver(s) {
		s.looked.release()
	}

	if s.crashed(ctx) {
		f.work.Go(func() { r.examine(s) })
	}

	f.logSend(r.id, s, outcome, end)
}

// outcome says what the end of a send tells of the server. Ctx is that of the
// request.
func (s *sent) outcome(ctx context.Context) cwbackend.Outcome {
	switch {
	case s.overtaken && s.err != nil:
		return cwbackend.Silent
	case s.err != nil && ctx.Err() != nil:
		return cwbackend.Abandoned
	case s.err != nil && cwframe.IsTimeout(s.err):
		return cwbackend.Silent
	case s.err != nil:
		return cwbackend.Broken
	case s.reply.Shed:
		return cwbackend.Refused
	case s.reply.Status >= fasthttp.StatusInternalServerError:
		return cwbackend.Failed
	default:
		return cwbackend.Answered
	}
}

func (f *Front) logSend(id carobward.RequestID, s *sent, o cwbackend.Outcome, end time.Time) {
	load := s.looked.view.Report
	f.Log.Info("Sent.", "id", id, "server", s.backend.Instance, "address", s.backend.Address, "cost", s.looked.cost,
		"running", load.Running, "queued", load.Queued, "slots", load.Slots, "slowness", load.Slowness,
		"age", s.at.Sub(load.At).Milliseconds(), "outcome", o.String(), "overtaken", s.overtaken, "took", end.Sub(s.at).Milliseconds())
}
