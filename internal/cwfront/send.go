package cwfront

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwpick"
)

// send is one send of a request to one server, and its result.
type send struct {
	candidate *candidate
	backend   carobward.Backend
	at        time.Time
	// number identifies the send in the server table.
	number int64
	cancel context.CancelFunc

	reply *carobward.Reply
	err   error
	// overtaken reports that another send of the request was answered first.
	overtaken bool
}

// good reports whether a send ended with an answer that needs no other send.
func (s *send) good() bool {
	return s.err == nil && !s.reply.Shed && s.reply.Status < fasthttp.StatusInternalServerError
}

// discard releases a reply that is not used.
func (s *send) discard() { s.reply.Drop() }

// mayHaveRun reports whether the request may have run at the server.
func (s *send) mayHaveRun() bool {
	if s.err != nil {
		return carobward.VerdictOf(s.err) != carobward.NotRun
	}

	return !s.reply.Shed
}

// start sends the request to a candidate over the connection of its health check. The
// finished send is delivered on the channel.
func (r *request) start(ctx context.Context, c *candidate, b carobward.Backend, ends chan<- *send) *send {
	f := r.front

	// A request that may not be repeated has begun, so it isn't cancelled when its caller
	// disconnects.
	work := ctx
	if !r.route.Idempotent {
		work = context.Background()
	}

	r.sends++
	f.counts.Add(countSends, 1)

	r.server = b.Instance
	s := &send{candidate: c, backend: b, at: f.Clock.Now()}
	work, s.cancel = context.WithCancel(work)
	s.number = c.view.Server.Begin(s.at, s.cancel)

	call := r.call
	call.Instance, call.WorkLimit = b.Instance, r.workLimit()
	r.body.hold()

	run := func() {
		defer r.body.release()

		s.reply, s.err = r.exchange(work, s, &call)
		ends <- s
	}

	if r.route.Idempotent {
		f.work.Go(run)
	} else {
		run() // A request that may not be repeated has no second send to wait for.
	}

	return s
}

// exchange sends a call over the connection of the health check, or over a new one if the
// server has closed that.
func (r *request) exchange(ctx context.Context, s *send, call *carobward.Call) (*carobward.Reply, error) {
	c := s.candidate

	if !c.held.Reusable() {
		c.release()

		held, err := r.front.Link.Hold(ctx, s.backend.Address, r.deadline, true)
		c.held = held

		if err != nil {
			return nil, err
		}
	}

	return c.held.Exchange(ctx, call)
}

// await sends the request to a server and, if the answer is overdue and the request may be
// repeated, to a second one. It returns the send whose result is used and cancels the
// other one.
func (r *request) await(ctx context.Context, c *candidate, b carobward.Backend, tried map[*cwbackend.Server]bool) *send {
	ends := make(chan *send, maxConcurrentSends)
	pending := []*send{r.start(ctx, c, b, ends)}

	h := r.newHedge(ctx, c, tried)
	defer h.stop()

	for {
		select {
		case s := <-ends:
			r.record(ctx, s)

			r.possiblyRun = r.possiblyRun || s.mayHaveRun()

			if pending = without(pending, s); s.good() || len(pending) == 0 {
				r.cancelRest(ctx, pending, ends)

				return s
			}
		case <-h.due():
			h.choose()
		case result := <-h.ready:
			h.ready = nil
			r.checks += result.checks
			r.checkCounts.add(result.checkCounts)

			if b, ok := r.mayHedge(ctx, result.candidate); ok {
				r.front.counts.Add(countHedges, 1)

				tried[result.candidate.view.Server] = true
				pending = append(pending, r.start(ctx, result.candidate, b, ends))
			} else {
				result.candidate.release()
			}
		}
	}
}

func without(list []*send, one *send) []*send {
	var left []*send

	for _, s := range list {
		if s != one {
			left = append(left, s)
		}
	}

	return left
}

// cancelRest cancels the sends whose results are not used. They are recorded when they
// end.
func (r *request) cancelRest(ctx context.Context, pending []*send, ends <-chan *send) {
	for _, s := range pending {
		s.overtaken = true
		s.cancel()
	}

	if len(pending) == 0 {
		return
	}

	r.front.work.Go(func() {
		for range pending {
			r.record(ctx, <-ends)
		}
	})
}

// setResult sets the request's result to that of the send that is used.
func (r *request) setResult(s *send) {
	r.reply.Drop() // That of an earlier send.
	r.reply, r.err = s.reply, s.err
	r.server = s.backend.Instance
	r.streamedFrom = s.candidate.view.Server
	r.resolveResult()

	if r.reply == nil {
		s.discard()
	}
}

// record records what the result of a send shows about its server. It doesn't change the
// request.
func (r *request) record(ctx context.Context, s *send) {
	f := r.front
	s.cancel()

	end := f.Clock.Now()
	outcome := s.outcome(ctx)
	view := &s.candidate.view

	// After a health check, the request is not the first call on its connection.
	if !s.candidate.ok && (outcome == cwbackend.Broken || s.reply != nil) {
		f.noteNewConn(r.service, s.backend, s.candidate.held, s.err)
	}

	view.Server.End(s.number, end, outcome)

	if s.reply != nil {
		r.noteAnswer(view.Server)
		r.recordNotices(view.Server, s.reply, cwbackend.ByReply)
	}

	if s.reply != nil && !s.reply.Shed {
		r.state.load.CountCompleted(end)
	}

	switch outcome {
	case cwbackend.RefusedWithRoom:
		r.state.recordRefusal()
		f.counts.Add(countRefusals, 1)
	case cwbackend.Answered:
		load := &view.Report
		r.state.recordAnswer(r.route.Objective, end.Sub(s.at), load.Slowness, cwpick.Crowded(load, view.SlotCount()), view.Warming)
	}

	if s.overtaken {
		s.discard()
	}

	if !r.handOver(s) {
		s.candidate.release()
	}

	if s.crashed(ctx) {
		f.work.Go(func() { r.checkCrash(s) })
	}

	f.logSend(r.id, s, outcome, end)
}

// outcome returns what the result of a send shows about the server. Ctx is that of the
// request.
func (s *send) outcome(ctx context.Context) cwbackend.Outcome {
	switch {
	case s.overtaken && s.err != nil:
		return cwbackend.Silent
	case s.err != nil && (ctx.Err() != nil || errors.Is(s.err, cwlink.ErrNoMemory)):
		return cwbackend.Abandoned
	case s.err != nil && cwframe.IsTimeout(s.err):
		return cwbackend.Silent
	case s.err != nil:
		return cwbackend.Broken
	case s.reply.Shed:
		return refusalOutcome(s.reply)
	case s.reply.Status >= fasthttp.StatusInternalServerError:
		return cwbackend.Failed
	default:
		return cwbackend.Answered
	}
}

// refusalOutcome returns what a reply shows that says the request did not run. The load
// report of another server at the address says nothing.
func refusalOutcome(r *carobward.Reply) cwbackend.Outcome {
	if r.Status == fasthttp.StatusMisdirectedRequest {
		return cwbackend.Refused
	}

	return cwbackend.OutcomeOfRefusal(&r.Report, r.Report.Slots)
}

func (f *Front) logSend(id carobward.RequestID, s *send, o cwbackend.Outcome, end time.Time) {
	load := s.candidate.view.Report
	f.Log.Info("Sent a request to a server.", "id", id, "server", s.backend.Instance, "address", s.backend.Address, "cost", s.candidate.cost,
		"running", load.Running, "queued", load.Queued, "slots", load.Slots, "slowness", load.Slowness,
		"age", s.at.Sub(load.At).Milliseconds(), "outcome", o.String(), "overtaken", s.overtaken, "took", end.Sub(s.at).Milliseconds())
}
