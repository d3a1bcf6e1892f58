package cwbench

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwattempt"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwretry"
)

// The measures of the entry VMs, as those of the product.
const (
	worstGood = 1.75
	// worstLooks is the number of looks that a server gets a second, worstSave the
	// seconds for which they can be saved up.
	worstLooks = 54
	worstSave  = 4
	// worstAttempts is the most servers that one attempt of a caller is sent to.
	worstAttempts = 2
	// worstExtraShare and worstExtraSpan bound the calls beyond the first of each
	// attempt: in each span a share of the attempts, and as many on top as come new
	// in worstExtraFree without a surge, over all entry VMs.
	worstExtraShare = 0.18
	worstExtraSpan  = 10 * time.Second
	worstExtraFree  = 0.3
	// worstLeft is the time that must be left for another send, in usual times.
	worstLeft = 0.5
	// The way "alone" looks for aloneRoom of the objective, each alonePause, tells
	// callers to come back after aloneBack, and takes those that wait for less than
	// aloneWait of the longest wait for some that have come back.
	aloneRoom  = 0.18
	alonePause = 30 * time.Millisecond
	aloneBack  = 250 * time.Millisecond
	aloneWait  = 0.95
)

// worstVM is one entry VM.
type worstVM struct {
	run     *worst
	domain  carobward.Domain
	table   *cwbackend.Table
	servers map[carobward.Address]*worstServer
	line    cwqueue.Queue[*worstRequest]
	pace    cwqueue.Slowdown
	waits   cwattempt.Waits
	longest time.Duration
	times   *cwpick.Times
	looks   *rate.Limiter
	extra   *cwretry.Window
	slack   float64
	carried map[*worstRequest]bool
}

func newWorstVM(w *worst, place, vms int) *worstVM {
	name := func(i int) cwbackend.VM {
		return cwbackend.VM{ID: carobward.VMID(rune('A' + i)), Domain: worstDomain(i)}
	}

	v := &worstVM{
		run: w, domain: worstDomain(place), table: cwbackend.New(name(place)), times: cwpick.NewTimes(),
		servers: map[carobward.Address]*worstServer{}, carried: map[*worstRequest]bool{},
	}

	var list []carobward.Backend
	for _, s := range w.servers {
		list = append(list, s.backend())
	}

	v.table.Put(list, nil, w.now())

	if !w.way.Central {
		var neighbours []carobward.VMID

		for i := range vms {
			if vm := name(i); i != place && vm.Domain == v.domain {
				neighbours = append(neighbours, vm.ID)
			}
		}

		v.table.SetNeighbours(neighbours)
	}

	for _, one := range w.servers {
		v.servers[one.backend().Address] = one
	}

	most := worstLooks * float64(len(w.servers)) / float64(vms)
	v.looks = rate.NewLimiter(rate.Limit(most), int(worstSave*most)+cwpick.SampleSize)

	v.extra = cwretry.NewWindow(worstExtraShare, worstExtraSpan, w.now())
	v.slack = worstExtraFree * w.pattern.Rate / float64(vms)

	return v
}

func (v *worstVM) views() []cwbackend.View {
	list := v.table.Views(worstService, v.run.now(), v.times.Usual(v.run.pattern.Objective))
	if v.run.way.Narrow {
		list = slices.DeleteFunc(list, func(view cwbackend.View) bool { return view.Spare })
	}

	for i := range list {
		list[i].Idle = true
	}

	// The table has no order; a run that can be repeated needs one.
	slices.SortFunc(list, func(a, b cwbackend.View) int { return cmp.Compare(a.Address, b.Address) })

	return list
}

// take gets a request of a caller.
func (v *worstVM) take(r *worstRequest) {
	now, p := v.run.now(), v.run.pattern
	left := r.until.Sub(now)
	v.carried[r] = true
	v.waits.Add(left)
	v.longest = max(v.longest, left)

	var age time.Duration
	if way := v.run.way; !way.Ageless && !way.Alone {
		age = v.waits.Age(left)
	}

	r.sends, r.tried = 0, map[*cwbackend.Server]bool{}
	v.extra.Request(now)
	r.returned = float64(left) < aloneWait*float64(v.longest)
	r.turn = cwqueue.Schedule{
		Arrived: now, Due: now.Add(p.Objective - age), Deadline: r.until, Objective: p.Objective,
		Usual: v.times.Usual(p.Objective), Slowdown: v.paceNow(),
	}
	r.back = age > 0
	v.line.Join(r)
	v.turn(r)
}

func (v *worstVM) paceNow() float64 {
	if v.run.way.Paceless {
		return 1
	}

	return v.pace.Now()
}

// turn lets a request look if it is its turn, or waits.
func (v *worstVM) turn(r *worstRequest) {
	w := v.run

	switch {
	case r.done || r.vm != v:
	case w.way.Blind:
		views := v.views()
		v.send(r, &worstChoice{view: views[w.rng.IntN(len(views))]})
	case !w.now().Before(r.until):
		v.line.Leave(r)
		w.finish(r, false, false)
	case w.way.Alone || w.way.Restless || v.line.MayCheck(r, w.now()):
		v.look(r)
	case r.turn.ShouldRefuse(w.now()):
		v.line.Leave(r)
		w.refuse(r, r.turn.RetryAfter())
	default:
		v.park(r, false)
	}
}

// decide sends a request, refuses it or lets it wait.
func (v *worstVM) decide(r *worstRequest, best *worstChoice) {
	w := v.run
	now := w.now()

	if r.done || r.vm != v || !v.carried[r] || !slices.Contains(w.vms, v) {
		return
	}

	r.turn.Slowdown = v.paceNow()
	over, after := r.turn.ShouldRefuse(now), r.turn.RetryAfter()

	if w.way.Alone {
		over = now.Sub(r.turn.Arrived) >= time.Duration(aloneRoom*float64(w.pattern.Objective))
		after = aloneBack
	}

	switch {
	case best != nil && v.takes(r, best, over):
		v.send(r, best)
	case over:
		v.line.Leave(r)
		w.refuse(r, after)
	default:
		v.park(r, true)
	}
}

// park lets a request wait until it is offered a server or the pause is over. Looked
// tells that a look for it was in vain.
func (v *worstVM) park(r *worstRequest, looked bool) {
	r.parked++
	r.waits = true
	r.turn.NoRoom = r.turn.NoRoom || looked
	parked, pause := r.parked, r.turn.CheckInterval()

	switch {
	case v.run.way.Central:
		pause = worstLook
	case v.run.way.Alone:
		pause = alonePause
	}

	v.run.timeline.after(pause, func() {
		if r.waits && r.parked == parked {
			r.waits = false
			v.turn(r)
		}
	})
}

func (v *worstVM) send(r *worstRequest, c *worstChoice) {
	w := v.run
	v.line.Leave(r)

	r.waits = false
	r.sends++
	r.tried[c.view.Server] = true
	q := &worstSend{request: r, server: v.servers[c.view.Address], known: c.view.Server, at: w.now(), report: c.view.Report}
	q.number = c.view.Server.Begin(q.at, func() {})

	w.timeline.after(worstWay, func() { q.server.take(q) })
	w.timeline.after(r.until.Sub(w.now()), func() { w.finish(r, false, false) })

	if next, ok := v.line.First(w.now(), func(*worstRequest) bool { return true }); ok && next.waits && !w.way.Alone {
		next.waits = false
		w.timeline.after(0, func() { v.turn(next) })
	}
}

// ended gets the end of a send.
func (v *worstVM) ended(q *worstSend, report carobward.Report) {
	w, r := v.run, q.request
	if !slices.Contains(w.vms, v) {
		return
	}

	server := q.known

	if q.refused {
		server.End(q.number, w.now(), cwbackend.Refused)

		if !v.again(r) {
			w.refuse(r, r.turn.RetryAfterRefusal())

			return
		}

		v.line.Join(r)
		v.turn(r)

		return
	}

	server.End(q.number, w.now(), cwbackend.Answered)
	server.ApplyReply(&carobward.Reply{Report: report}, cwbackend.ByReply, w.now())
	v.times.Learn(w.pattern.Objective, w.now().Sub(q.at), q.report.Slowness, cwpick.Crowded(&q.report, w.pattern.Slots), false)
	w.finish(r, true, false)

	if !w.way.Forgetful && !w.way.Alone && !w.way.Blind {
		v.handOver(server, report)
	}
}

// again tells whether a request that was refused goes to another server.
func (v *worstVM) again(r *worstRequest) bool {
	now := v.run.now()
	left := r.until.Sub(now)

	if r.sends >= worstAttempts || float64(left) < worstLeft*float64(r.turn.Usual) {
		return false
	}

	claim := cwretry.ClaimOf(carobward.NotRun, r.back)
	if v.run.way.Reserved && !r.back {
		claim = cwretry.Overdue
	}

	return v.extra.Take(now, v.slack, claim)
}

// handOver gives a freed slot to the next in the line.
func (v *worstVM) handOver(s *cwbackend.Server, report carobward.Report) {
	now := v.run.now()
	view := s.View(now, v.times.Usual(v.run.pattern.Objective))
	view.Report = report
	c := v.rate(view)

	next, ok := v.line.First(now, func(r *worstRequest) bool {
		return r.waits && r.turn.Good(c.time) && v.free(r, &view) > 0
	})
	if ok {
		next.waits = false
		v.send(next, c)
	}
}
