package cwbench

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwadmit"
	"carobward.example/carobward/internal/cwattempt"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwhold"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwretry"
)

// Parameters of the entry VMs, the same as those of the product.
const (
	// goodTime is the expected time, in usual response times, up to which a server is
	// accepted without checking others.
	goodTime = 1.75
	// checksPerServer is the maximum number of health checks that a server gets a
	// second from all entry VMs. checkBurst is the number of seconds for which unused
	// checks accumulate.
	checksPerServer = 54
	checkBurst      = 4
	// checkStart is the number of seconds' worth of health checks that a process begins with.
	checkStart = 0.5
	// maxSends is the maximum number of sends of one attempt of a caller.
	maxSends = 2
	// extraShare and extraWindow limit extra calls: in each window, they may be a
	// share of the attempts, plus as many as new requests arrive in extraFree seconds
	// without a surge, over all entry VMs.
	extraShare  = 0.18
	extraBurst  = 0.02
	extraWindow = 10 * time.Second
	extraFree   = 0.3
	// minTimeLeft is the time that must be left for another send, in usual response
	// times.
	minTimeLeft = 0.5
	// Parameters of the way "alone". Its requests search for the fraction aloneSearch
	// of the objective, with a check every alonePause. Refused callers retry after
	// aloneRetryAfter. A caller that waits for less than aloneRetryRatio of the
	// longest wait counts as one that has retried.
	aloneSearch     = 0.18
	alonePause      = 30 * time.Millisecond
	aloneRetryAfter = 250 * time.Millisecond
	aloneRetryRatio = 0.95
)

// replayVM is one simulated entry VM.
type replayVM struct {
	run      *replay
	index    int
	domain   carobward.Domain
	table    *cwbackend.Table
	servers  map[carobward.Address]*replayServer
	queue    cwqueue.Queue[*replayRequest]
	slowdown cwqueue.Slowdown
	waits    cwattempt.Waits
	longest  time.Duration
	times    *cwpick.Times
	checks   *rate.Limiter
	extra    *cwretry.Window
	extraMin float64
	inFlight map[*replayRequest]bool
	// started and copied are when the entry VM starts and has its copy of the store.
	started, copied time.Duration
	// held has the requests that wait for the copy, load what they take.
	held []*replayRequest
	load cwhold.Load
	// meter measures the load, by which admission decides on arriving requests.
	meter     cwadmit.Meter
	admission cwadmit.Control
}

func newReplayVM(w *replay, index, vms int, started time.Time) *replayVM {
	name := func(i int) cwbackend.VM {
		return cwbackend.VM{ID: carobward.VMID(rune('A' + i)), Domain: replayDomain(i)}
	}

	v := &replayVM{
		run: w, index: index, domain: replayDomain(index), table: cwbackend.New(name(index)), times: cwpick.NewTimes(),
		servers: map[carobward.Address]*replayServer{}, inFlight: map[*replayRequest]bool{},
	}

	var list []carobward.Backend
	for _, s := range w.servers {
		list = append(list, s.backend())
	}

	v.table.Put(list, nil, w.now())

	if !w.way.Central {
		var neighbours []carobward.VMID

		for i := range vms {
			if vm := name(i); i != index && vm.Domain == v.domain {
				neighbours = append(neighbours, vm.ID)
			}
		}

		v.table.SetNeighbours(neighbours)
	}

	for _, one := range w.servers {
		v.servers[one.backend().Address] = one
	}

	perSecond := checksPerServer * float64(len(w.servers)) / float64(vms)
	burst := int(checkBurst*perSecond) + cwpick.SampleSize
	v.checks = rate.NewLimiter(rate.Limit(perSecond), burst)
	// A process that has run for some seconds has saved all that it may.
	if started.After(w.now().Add(-checkBurst * time.Second)) {
		v.checks.AllowN(started, burst-int(checkStart*perSecond))
	}

	v.extra = cwretry.NewWindow(cwretry.Limit{Share: extraShare, Burst: extraBurst, Span: extraWindow}, started, 0)
	v.extraMin = extraFree * w.pattern.Rate / float64(vms)

	return v
}

func (v *replayVM) views() []cwbackend.View {
	list := v.table.Views(replayService, v.run.now(), v.times.Usual(v.run.pattern.Objective))
	if v.run.way.NoSpareServers {
		list = slices.DeleteFunc(list, func(view cwbackend.View) bool { return view.Spare })
	}

	for i := range list {
		list[i].Idle = true
	}

	// The table has no fixed order; sorting makes runs repeatable.
	slices.SortFunc(list, func(a, b cwbackend.View) int { return cmp.Compare(a.Address, b.Address) })

	return list
}

// accept handles a request of a caller.
func (v *replayVM) accept(r *replayRequest) {
	now, p := v.run.now(), v.run.pattern
	arrived := now
	v.inFlight[r] = true

	if w := v.run; w.timeline.now < v.copied && !w.way.Central {
		v.acceptEarly(r)

		return
	}

	if !r.heldSince.IsZero() {
		arrived, r.heldSince = r.heldSince, time.Time{}
	}

	left := r.until.Sub(arrived)
	v.waits.Add(left)
	v.longest = max(v.longest, left)

	var age time.Duration
	if way := v.run.way; !way.NoRetryAge && !way.Alone {
		age = v.waits.Age(left)
	}

	r.sends, r.tried = 0, map[*cwbackend.Server]bool{}
	v.extra.Request(now)
	v.run.result.attempts = append(v.run.result.attempts, now)
	r.aloneRetried = float64(left) < aloneRetryRatio*float64(v.longest)
	r.checked = false
	r.schedule = cwqueue.Schedule{
		Rank: r.rank, Arrived: now, Due: arrived.Add(p.Objective - age), Deadline: r.until, Objective: p.Objective,
		Usual: v.times.Usual(p.Objective), Slowdown: v.currentSlowdown(),
	}
	r.retried = age > 0

	if !v.admits(r) {
		return
	}

	v.queue.Join(r)
	v.dispatch(r)
}

func (v *replayVM) currentSlowdown() float64 {
	if v.run.way.NoSlowdown {
		return 1
	}

	return v.slowdown.Now()
}

// dispatch runs health checks for a request if it may check now, refuses it if it
// has waited too long, and otherwise parks it.
func (v *replayVM) dispatch(r *replayRequest) {
	w := v.run

	switch {
	case r.done || r.vm != v:
	case w.way.Random:
		views := v.views()
		v.send(r, &candidate{view: views[w.rng.IntN(len(views))]})
	case !w.now().Before(r.until):
		v.queue.Leave(r)
		w.finish(r, false, false)
	case w.way.Alone || w.way.AllCheck || v.queue.MayCheck(r, w.now()):
		v.check(r)
	case r.schedule.ShouldRefuse(w.now()):
		v.queue.Leave(r)
		w.refuse(r, r.schedule.RetryAfter())
	default:
		v.park(r, false)
	}
}

// decide sends, refuses or parks a request after its health checks.
func (v *replayVM) decide(r *replayRequest, best *candidate) {
	w := v.run
	now := w.now()

	if r.done || r.vm != v || !v.inFlight[r] || !slices.Contains(w.vms, v) {
		return
	}

	r.schedule.Slowdown = v.currentSlowdown()
	over, after := r.schedule.ShouldRefuse(now), r.schedule.RetryAfter()

	if w.way.Alone {
		over = now.Sub(r.schedule.Arrived) >= time.Duration(aloneSearch*float64(w.pattern.Objective))
		after = aloneRetryAfter
	}

	switch {
	case best != nil && v.accepts(r, best, over):
		v.send(r, best)
	case over:
		v.queue.Leave(r)
		w.refuse(r, after)
	default:
		v.park(r, true)
	}
}

// park lets a request wait until it gets a freed slot or its pause ends. checked
// reports whether health checks for it just found no suitable server.
func (v *replayVM) park(r *replayRequest, checked bool) {
	v.noteChecked(r, false)

	r.parked++
	r.waiting = true
	r.schedule.NoRoom = r.schedule.NoRoom || checked
	parked, pause := r.parked, r.schedule.CheckInterval()

	switch {
	case v.run.way.Central:
		pause = checkDelay
	case v.run.way.Alone:
		pause = alonePause
	}

	v.run.timeline.after(pause, func() {
		if r.waiting && r.parked == parked {
			r.waiting = false
			v.dispatch(r)
		}
	})
}

func (v *replayVM) send(r *replayRequest, c *candidate) {
	w := v.run
	v.queue.Leave(r)
	v.noteChecked(r, true)

	r.waiting = false
	r.sends++
	r.tried[c.view.Server] = true
	q := &replaySend{request: r, server: v.servers[c.view.Address], record: c.view.Server, at: w.now(), report: c.view.Report}
	q.number = c.view.Server.Begin(q.at, func() {})

	w.timeline.after(networkDelay, func() { q.server.accept(q) })
	w.timeline.after(r.until.Sub(w.now()), func() { w.finish(r, false, false) })

	if next, ok := v.queue.First(w.now(), func(*replayRequest) bool { return true }); ok && next.waiting && !w.way.Alone {
		next.waiting = false
		w.timeline.after(0, func() { v.dispatch(next) })
	}
}

// sendEnded handles the reply to a send.
func (v *replayVM) sendEnded(q *replaySend, report carobward.Report) {
	w, r := v.run, q.request
	if !slices.Contains(w.vms, v) {
		return
	}

	server := q.record

	if q.refused {
		server.End(q.number, w.now(), v.refusalOutcome(&report))

		if !v.mayResend(r) {
			w.refuse(r, r.schedule.RetryAfterRefusal())

			return
		}

		v.queue.Join(r)
		v.dispatch(r)

		return
	}

	server.End(q.number, w.now(), cwbackend.Answered)
	v.meter.CountCompleted(w.now())
	server.ApplyReply(&carobward.Reply{Report: report}, cwbackend.ByReply, w.now())
	v.times.LearnRefusal(false)
	v.times.Learn(w.pattern.Objective, w.now().Sub(q.at), q.report.Slowness, cwpick.Crowded(&q.report, w.pattern.Slots), false)
	w.finish(r, true, false)

	if !w.way.NoHandOver && !w.way.Alone && !w.way.Random {
		v.handOver(server, report)
	}
}

// refusalOutcome records a refusal and returns its outcome.
func (v *replayVM) refusalOutcome(r *carobward.Report) cwbackend.Outcome {
	o := cwbackend.OutcomeOfRefusal(r, r.Slots)
	if v.run.way.RefusalsAsFailures {
		o = cwbackend.Refused
	}

	if o == cwbackend.RefusedWithRoom {
		v.times.LearnRefusal(true)
	}

	return o
}

// mayResend reports whether a refused request is sent to another server, and records that.
func (v *replayVM) mayResend(r *replayRequest) bool {
	now := v.run.now()
	left := r.until.Sub(now)

	if r.sends >= maxSends || float64(left) < minTimeLeft*float64(r.schedule.Usual) {
		return false
	}

	claim := cwretry.ClaimOf(carobward.NotRun, v.refusal(r, now))
	if v.run.way.ReserveExtra && !r.retried {
		claim = cwretry.Overdue
	}

	if !v.extra.Take(now, v.extraMin, claim).Granted() {
		return false
	}

	v.run.result.extras = append(v.run.result.extras, now)

	return true
}

// refusal describes a refused request.
func (v *replayVM) refusal(r *replayRequest, now time.Time) cwretry.Refusal {
	out := cwretry.Refusal{Timely: r.schedule.Timely(now), Returns: !r.retried && r.schedule.Returns(now)}
	if !v.run.way.NoRanks {
		out.Rank, out.Ranks = r.rank, v.run.pattern.ranks()
		out.RouteRank, out.RouteRanks = out.Rank, out.Ranks
	}

	return out
}

// handOver gives a freed slot to the next request of the queue.
func (v *replayVM) handOver(s *cwbackend.Server, report carobward.Report) {
	now := v.run.now()
	view := s.View(now, v.times.Usual(v.run.pattern.Objective))
	view.Report = report
	c := v.rate(view)

	next, ok := v.queue.First(now, func(r *replayRequest) bool {
		return r.waiting && r.schedule.Good(c.time) && v.freeSlots(r, &view) > 0
	})
	if ok {
		next.waiting = false
		v.send(next, c)
	}
}
