package cwbench

import (
	"maps"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwpick"
)

// worstChoice is a server with what speaks for it.
type worstChoice struct {
	view       cwbackend.View
	time, cost float64
}

// look looks at servers and decides.
func (v *worstVM) look(r *worstRequest) {
	if v.run.way.Central {
		v.decide(r, v.best(r, v.views(), true))

		return
	}

	v.lookOn(r, nil, maps.Clone(r.tried), cwpick.FirstRound(r.turn.NoRoom))
}

// lookOn makes a round of looks. Best is the best server of those before it, seen has
// those that are not looked at again.
func (v *worstVM) lookOn(r *worstRequest, best *worstChoice, seen map[*cwbackend.Server]bool, round int) {
	draw := v.draw(seen, round)

	if round == cwpick.MaxRounds || len(draw) == 0 {
		v.decide(r, best)

		return
	}

	if !v.looks.AllowN(v.run.now(), cwpick.SampleSize) {
		if best == nil {
			best = v.best(r, draw, false)
		}

		v.decide(r, best)

		return
	}

	for i := range draw {
		seen[draw[i].Server] = true
	}

	v.run.timeline.after(worstLook, func() {
		best = cheaper(best, v.best(r, draw, true))
		if best != nil && best.cost <= worstGood {
			v.decide(r, best)

			return
		}

		v.lookOn(r, best, seen, round+1)
	})
}

// cheaper returns the one of lower cost.
func cheaper(a, b *worstChoice) *worstChoice {
	if a == nil || b != nil && b.cost < a.cost {
		return b
	}

	return a
}

// draw returns servers to look at in a round.
func (v *worstVM) draw(seen map[*cwbackend.Server]bool, round int) []cwbackend.View {
	if v.run.way.Homebound {
		round = 0
	}

	return cwpick.Sample(v.run.rng, v.views(), cwpick.SampleSize, v.domain, seen, round)
}

// best returns the best of some servers with room, by a look or by what is known.
func (v *worstVM) best(r *worstRequest, draw []cwbackend.View, looks bool) *worstChoice {
	var best *worstChoice

	for _, view := range draw {
		view.Report = view.Expected()

		if s := v.servers[view.Address]; looks && s.gone() {
			view.Server.RecordHealthCheck(v.run.now(), cwbackend.Silent)

			continue
		} else if looks {
			view.Report = s.report()
			view.Server.ApplyReply(&carobward.Reply{Report: view.Report}, cwbackend.ByHealthCheck, v.run.now())
			v.pace.Add(cwpick.UnloadedTime(&view, v.times.Factors()))

			if v.run.way.Central { // It knows what is on its way.
				view.Report = view.Expected()
			}
		}

		c := v.rate(view)

		if v.free(r, &view) > 0 && (best == nil || c.cost < best.cost) {
			best = c
		}
	}

	return best
}

func (v *worstVM) rate(view cwbackend.View) *worstChoice {
	return &worstChoice{
		view: view, time: cwpick.ExpectedTime(&view, v.times.Factors()), cost: cwpick.Cost(&view, v.times.Factors(), v.domain),
	}
}

func (v *worstVM) free(r *worstRequest, view *cwbackend.View) int {
	spared := r.turn.Spares(v.run.now())
	if v.run.way.Greedy || v.run.way.Alone {
		spared = 0
	}

	return cwpick.FreeSlots(view, 0, 1, spared, v.times.Crowding())
}

// takes tells whether a request takes the best server that it found.
func (v *worstVM) takes(r *worstRequest, best *worstChoice, over bool) bool {
	now := v.run.now()

	if v.run.way.Alone {
		return best.time <= worstGood || over && v.suitsAlone(r, best.time, now)
	}

	return r.turn.Good(best.time) || r.turn.Acceptable(best.time, now)
}

// suitsAlone is what the way "alone" takes when the time of looking is over.
func (v *worstVM) suitsAlone(r *worstRequest, took float64, now time.Time) bool {
	until := r.turn.Due
	if r.returned {
		until = r.until
	}

	return took*float64(r.turn.Usual) < float64(until.Sub(now))
}
