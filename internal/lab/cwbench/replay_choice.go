package cwbench

import (
	"maps"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwpick"
)

// candidate is a server with the expected time and the cost of sending a request to
// it.
type candidate struct {
	view       cwbackend.View
	time, cost float64
}

// check runs health checks for a request and then decides on it.
func (v *replayVM) check(r *replayRequest) {
	if v.run.way.Central {
		v.decide(r, v.best(r, v.views(), true))

		return
	}

	v.checkRound(r, nil, maps.Clone(r.tried), cwpick.FirstRound(r.schedule.NoRoom))
}

// checkRound runs one round of health checks. best is the best server of the
// earlier rounds, seen has the servers that are not checked again.
func (v *replayVM) checkRound(r *replayRequest, best *candidate, seen map[*cwbackend.Server]bool, round int) {
	draw := v.draw(seen, round)

	if round == cwpick.MaxRounds || len(draw) == 0 {
		v.decide(r, best)

		return
	}

	if !v.checks.AllowN(v.run.now(), cwpick.SampleSize) {
		if best == nil {
			best = v.best(r, draw, false)
		}

		v.decide(r, best)

		return
	}

	for i := range draw {
		seen[draw[i].Server] = true
	}

	v.run.timeline.after(checkDelay, func() {
		best = cheaper(best, v.best(r, draw, true))
		if best != nil && best.cost <= goodTime {
			v.decide(r, best)

			return
		}

		v.checkRound(r, best, seen, round+1)
	})
}

// cheaper returns the candidate with the lower cost.
func cheaper(a, b *candidate) *candidate {
	if a == nil || b != nil && b.cost < a.cost {
		return b
	}

	return a
}

// draw returns the servers to check in a round.
func (v *replayVM) draw(seen map[*cwbackend.Server]bool, round int) []cwbackend.View {
	if v.run.way.LocalFirst {
		round = 0
	}

	return cwpick.Sample(v.run.rng, v.views(), cwpick.SampleSize, v.domain, seen, round)
}

// best returns the best of the drawn servers that has room. If check is set, it runs
// a health check of each; otherwise it relies on their known state.
func (v *replayVM) best(r *replayRequest, draw []cwbackend.View, check bool) *candidate {
	var best *candidate

	for _, view := range draw {
		view.Report = view.Expected()

		if s := v.servers[view.Address]; check && s.silent() {
			view.Server.RecordHealthCheck(v.run.now(), cwbackend.Silent)

			continue
		} else if check {
			view.Report = s.report()
			view.Server.ApplyReply(&carobward.Reply{Report: view.Report}, cwbackend.ByHealthCheck, v.run.now())
			v.slowdown.Add(cwpick.UnloadedTime(&view, v.times.Factors()))

			if v.run.way.Central { // Includes the requests on their way to the server.
				view.Report = view.Expected()
			}
		}

		c := v.rate(view)

		if v.freeSlots(r, &view) > 0 && (best == nil || c.cost < best.cost) {
			best = c
		}
	}

	return best
}

func (v *replayVM) rate(view cwbackend.View) *candidate {
	return &candidate{
		view: view, time: cwpick.ExpectedTime(&view, v.times.Factors()), cost: cwpick.Cost(&view, v.times.Factors(), v.domain),
	}
}

func (v *replayVM) freeSlots(r *replayRequest, view *cwbackend.View) int {
	spared := r.schedule.Spares(v.run.now())
	if v.run.way.NoSparedSlots || v.run.way.Alone {
		spared = 0
	}

	return cwpick.FreeSlots(view, r.rank, max(1, len(v.run.pattern.Ranks)), spared, v.times.Crowding())
}

// accepts reports whether a request is sent to the best server found.
func (v *replayVM) accepts(r *replayRequest, best *candidate, over bool) bool {
	now := v.run.now()

	if v.run.way.Alone {
		return best.time <= goodTime || over && v.acceptsAlone(r, best.time, now)
	}

	return r.schedule.Good(best.time) || r.schedule.Acceptable(best.time, now)
}

// acceptsAlone reports whether a request of the way "alone" accepts a server after
// its search time: the reply must arrive before it is due or, for a caller that has
// retried, before the caller gives up.
func (v *replayVM) acceptsAlone(r *replayRequest, expected float64, now time.Time) bool {
	until := r.schedule.Due
	if r.aloneRetried {
		until = r.until
	}

	return expected*float64(r.schedule.Usual) < float64(until.Sub(now))
}
