package cwbench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlimit"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwstand"
)

// call is one request at an entry VM, with all its attempts.
type call struct {
	arrival  *arrival
	entry    *entry
	tried    []*cwserver.Server
	inFlight []*attempt
	record   *cwretry.TargetState
	began    time.Duration
	starts   int
	done     bool
	// waiter is its place in the queue of the gate. admitted reports whether it has
	// passed the gate.
	waiter   *cwlimit.Waiter
	admitted bool
}

// target returns the target of the call.
func (c *call) target() carobward.TargetName {
	if c.arrival.once {
		return "once"
	}

	return "quick"
}

// attempt is one send of a call to a server.
type attempt struct {
	call    *call
	server  int
	delay   time.Duration
	settled bool
	tracked cwserver.Call
	// wantsReport reports whether the reply carries a load report.
	wantsReport bool

	// State at the server.
	running, replied, cancelled bool
}

// entry is a simulated entry VM with its own table, policy and connections.
type entry struct {
	run         *run
	domain      int
	servers     []*cwserver.Server
	index       map[*cwserver.Server]int
	connections []int
	// reportDue is the time from which the next report of each server is requested.
	reportDue []time.Duration
	policy    cwroute.Policy
	rng       *rand.Rand
	quick     *cwretry.TargetState
	once      *cwretry.TargetState
	gate      *gate
}

// epoch is the start of the simulated time for policies. It is in the future
// because a table does not accept times before its process started.
var epoch = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

func newEntry(r *run, number int) *entry {
	e := &entry{
		run:         r,
		domain:      number % r.scenario.Domains,
		index:       map[*cwserver.Server]int{},
		connections: make([]int, len(r.backends)),
		reportDue:   make([]time.Duration, len(r.backends)),
		rng:         random(r.scenario.Seed, streamChoices+uint64(number)<<8),
		quick:       cwretry.NewTargetState(),
		once:        cwretry.NewTargetState(),
	}

	if r.variant.Queue {
		e.gate = newGate(e)
	}

	table := cwserver.NewTable()
	table.Update(vmList(r.scenario))
	e.servers = table.Of(service)
	e.policy = r.variant.Policy(&Environment{
		Domain:       carobward.Domain(strconv.Itoa(e.domain)),
		expectedTime: func(i int) float64 { return r.backends[i].expectedTime(r.timeline.now) },
	})

	for i, s := range e.servers {
		e.index[s] = i
	}

	return e
}

const service carobward.Service = "records"

// vmList returns the simulated servers in order.
func vmList(s *Scenario) []carobward.VM {
	var list []carobward.VM

	for i := range s.Servers {
		list = append(list, carobward.VM{
			Address: carobward.Address("10.0.0." + strconv.Itoa(i) + ":80"),
			Service: service,
			Domain:  carobward.Domain(strconv.Itoa(i % s.Domains)),
		})
	}

	return list
}

func (e *entry) now() time.Time { return epoch.Add(e.run.timeline.now) }

// accept handles a request that has reached the entry VM.
func (e *entry) accept(a *arrival) {
	c := &call{arrival: a, entry: e, record: e.quick}
	if a.once {
		c.record = e.once
	}

	c.record.Budget.Earn()
	e.run.timeline.add(a.at+e.run.scenario.Timeout-e.run.scenario.Client, func() { e.giveUp(c) })

	if e.gate != nil {
		e.gate.enter(c)

		return
	}

	if s := e.choose(c); s != nil {
		e.begin(c, s)
	} else {
		e.finish(c, shed)
	}
}

func (e *entry) choose(c *call) *cwserver.Server {
	return e.policy.Choose(e.now(), e.servers, c.tried, e.rng)
}

// begin makes the first attempt of a call.
func (e *entry) begin(c *call, s *cwserver.Server) {
	c.began = e.run.timeline.now
	e.send(c, s)

	if e.run.variant.Hedge && !c.arrival.once && !c.done {
		e.checkHedge(c)
	}
}

// send makes one attempt of a call.
func (e *entry) send(c *call, s *cwserver.Server) {
	a := &attempt{call: c, server: e.index[s]}
	a.delay = e.run.scenario.delay(e.domain, a.server)
	c.tried = append(c.tried, s)
	e.run.result.Attempts++

	if len(c.tried) > 1 {
		e.run.result.Extra++
	}

	cost, ok := e.connect(a.server)
	if !ok {
		e.retry(c, refused)

		return
	}

	c.inFlight = append(c.inFlight, a)
	b := e.run.backends[a.server]
	b.committed++
	a.tracked = s.Begin(e.now())
	a.wantsReport = e.askForReport(a.server)
	e.run.timeline.after(cost+a.delay, func() { b.arrive(a) })

	if wait := e.run.variant.Attempt; wait > 0 {
		e.run.timeline.after(wait, func() { e.attemptTimeout(a) })
	}
}

// askForReport reports whether the next reply of a server should carry a load
// report, and if so schedules the next one.
func (e *entry) askForReport(server int) bool {
	now := e.run.timeline.now
	if now < e.reportDue[server] {
		return false
	}

	e.reportDue[server] = now + e.run.scenario.reportEvery()

	return true
}

// delay returns the one-way delay between the failure domain of an entry VM and a
// server.
func (s *Scenario) delay(domain, server int) time.Duration {
	if server%s.Domains == domain {
		return s.Within
	}

	return s.Between
}

// connect takes an idle connection or opens one, and returns the time that takes.
// It returns false if the entry VM has used up its share of the connections of the
// server, which all entry VMs that serve the target share equally.
func (e *entry) connect(server int) (time.Duration, bool) {
	if e.connections[server] > int(e.servers[server].Running.Load()) {
		return 0, true
	}

	b := e.run.backends[server]
	if e.connections[server] >= max(1, b.scenario.Conns/len(e.run.entries)) {
		return 0, false
	}

	e.connections[server]++
	b.counts.Opened++

	return b.scenario.Open, true
}

// tableOutcomes maps the outcome of an attempt to the outcome recorded in the
// table.
var tableOutcomes = [...]cwserver.Outcome{
	answered: cwserver.Replied, shed: cwserver.Refused, failed: cwserver.Failed,
	timedOut: cwserver.Failed, refused: cwserver.Cancelled, cancelled: cwserver.Cancelled,
}

// settle handles the end of an attempt and the report in its reply.
func (e *entry) settle(a *attempt, o outcome, l cwstand.Load) {
	if a.settled {
		return
	}

	e.close(a, o)

	if a.wantsReport {
		e.run.result.Reports++
		e.servers[a.server].SetReport(carobward.Report{
			At: e.now(), Slots: l.Slots, Running: l.Running, Queued: l.Queued, Draining: l.Draining,
		})
	}

	if o != answered {
		e.retry(a.call, o)

		return
	}

	a.call.record.Latency.Add(e.run.timeline.now - a.call.began)

	if !a.call.done {
		e.finish(a.call, answered)
	}
}

// close records the end of an attempt at the entry VM.
func (e *entry) close(a *attempt, o outcome) {
	a.settled = true
	a.tracked.End(e.now(), tableOutcomes[o])

	for i, b := range a.call.inFlight {
		if b == a {
			a.call.inFlight = append(a.call.inFlight[:i], a.call.inFlight[i+1:]...)

			break
		}
	}
}

// abandon gives up an attempt and closes its connection.
func (e *entry) abandon(a *attempt, o outcome) {
	e.close(a, o)
	e.connections[a.server]--

	if e.run.variant.Cancel {
		e.run.timeline.after(a.delay, func() { e.run.backends[a.server].cancel(a) })
	}
}

func (e *entry) attemptTimeout(a *attempt) {
	if !a.settled {
		e.abandon(a, timedOut)
		e.retry(a.call, timedOut)
	}
}

// checkHedge sends a hedge for a call if one is due; if not yet, it checks again
// later.
func (e *entry) checkHedge(c *call) {
	if c.done || len(c.tried) != 1 {
		return
	}

	age := e.run.timeline.now - c.began
	due, next := c.record.Due(e.now(), age, c.tried[0])

	switch {
	case !due && next > age:
		e.run.timeline.after(next-age, func() { e.checkHedge(c) })
	case due && e.resend(c):
		e.run.result.Hedges++
	}
}

// resend makes one more attempt if the policy returns a server and the retry
// budget, where the variant has one, allows it.
func (e *entry) resend(c *call) bool {
	s := e.choose(c)
	if s == nil || e.run.variant.Budget && !c.record.Budget.Take() {
		return false
	}

	e.send(c, s)

	return true
}

// retry sends a call again if the variant allows it. Otherwise it fails the call,
// unless another attempt is in flight.
func (e *entry) retry(c *call, o outcome) {
	if c.done || len(c.inFlight) > 0 {
		return
	}

	safe := o == shed || o == refused || e.run.variant.RetryAny || !c.arrival.once
	if safe && len(c.tried) < e.run.variant.Tries && e.resend(c) {
		return
	}

	e.finish(c, o)
}

func (e *entry) giveUp(c *call) {
	if !c.done {
		e.finish(c, timedOut)
	}
}

// finish answers the caller and abandons the attempts in flight.
func (e *entry) finish(c *call, o outcome) {
	if c.done {
		return
	}

	c.done = true

	reason := cancelled
	if o == timedOut {
		reason = timedOut
	}

	for len(c.inFlight) > 0 {
		e.abandon(c.inFlight[0], reason)
	}

	e.run.result.count(c.arrival, o, e.run.timeline.now+e.run.scenario.Client)

	if e.gate != nil {
		e.gate.leave(c)
	}
}
