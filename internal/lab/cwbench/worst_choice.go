package cwbench

import (
	"time"

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

	now := v.run.now()
	if !v.looks.AllowN(now, worstWidth) {
		v.decide(r, v.best(r, v.draw(), false))

		return
	}

	draw := v.draw()
	v.run.timeline.after(worstLook, func() { v.decide(r, v.best(r, draw, true)) })
}

func (v *worstVM) draw() []cwbackend.View {
	return cwpick.Draw(v.run.rng, v.views(), worstWidth, v.domain, nil)
}

// best returns the best of some servers with room, by a look or by what is known.
func (v *worstVM) best(r *worstRequest, draw []cwbackend.View, looks bool) *worstChoice {
	var best *worstChoice

	for _, view := range draw {
		view.Report = view.Expected()

		if s := v.servers[view.Server]; looks && s.gone() {
			view.Server.Looked(v.run.now(), cwbackend.Silent)

			continue
		} else if looks {
			view.Report = s.report()
			view.Server.SetReport(view.Report)
			v.pace.Add(cwpick.Alone(&view, v.times.Crowding()))

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
		view: view, time: cwpick.Time(&view, v.times.Crowding()), cost: cwpick.Cost(&view, v.times.Crowding(), v.domain),
	}
}

func (v *worstVM) free(r *worstRequest, view *cwbackend.View) int {
	spared := r.turn.Spares(v.run.now())
	if v.run.way.Greedy || v.run.way.Alone {
		spared = 0
	}

	return cwpick.Free(view, 0, 1, spared, v.times.Crowding())
}

// takes tells whether a request takes the best server that it found.
func (v *worstVM) takes(r *worstRequest, best *worstChoice, over bool) bool {
	now := v.run.now()

	if v.run.way.Alone {
		return best.time <= worstGood || over && v.suitsAlone(r, best.time, now)
	}

	return r.turn.Good(best.time) || r.turn.Suits(best.time, now)
}

// suitsAlone is what the way "alone" takes when the time of looking is over.
func (v *worstVM) suitsAlone(r *worstRequest, took float64, now time.Time) bool {
	until := r.turn.Due
	if r.returned {
		until = r.until
	}

	return took*float64(r.turn.Usual) < float64(until.Sub(now))
}
