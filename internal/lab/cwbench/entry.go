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

// call is one request on its way.
type call struct {
	arrival *arrival
	entry   *entry
	tried   []*cwserver.Server
	out     []*attempt
	record  *cwretry.TargetState
	began   time.Duration
	starts  int
	done    bool
	// waiter is its place in the gate's queue, inside tells that it is past.
	waiter *cwlimit.Waiter
	inside bool
}

// target names the class of the call.
func (c *call) target() carobward.TargetName {
	if c.arrival.once {
		return "once"
	}

	return "quick"
}

// attempt is one sending of a call to a server.
type attempt struct {
	call    *call
	server  int
	delay   time.Duration
	settled bool
	row     cwserver.Call
	// asked tells that the reply brings a report.
	asked bool

	// The server's side of it.
	running, replied, cancelled bool
}

// entry is a modelled entry VM: its own table, policy and connections.
type entry struct {
	run    *run
	domain int
	rows   []*cwserver.Server
	index  map[*cwserver.Server]int
	open   []int
	// next is when the next report of a server is due.
	next   []time.Duration
	policy cwroute.Policy
	rng    *rand.Rand
	quick  *cwretry.TargetState
	once   *cwretry.TargetState
	gate   *gate
}

// epoch is when the model's time starts for policies. It lies ahead, since a
// table knows no time before its process began.
var epoch = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

func newEntry(r *run, number int) *entry {
	e := &entry{
		run:    r,
		domain: number % r.scenario.Domains,
		index:  map[*cwserver.Server]int{},
		open:   make([]int, len(r.backends)),
		next:   make([]time.Duration, len(r.backends)),
		rng:    random(r.scenario.Seed, streamChoices+uint64(number)<<8),
		quick:  cwretry.NewTargetState(),
		once:   cwretry.NewTargetState(),
	}

	if r.variant.Queue {
		e.gate = newGate(e)
	}

	table := cwserver.NewTable()
	table.Update(vmList(r.scenario))
	e.rows = table.Of(service)
	e.policy = r.variant.Policy(&World{
		Domain: carobward.Domain(strconv.Itoa(e.domain)),
		expect: func(i int) float64 { return r.backends[i].expect(r.timeline.now) },
	})

	for i, s := range e.rows {
		e.index[s] = i
	}

	return e
}

const service carobward.Service = "records"

// vmList lists the modelled servers in their order.
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

// take carries a request that has reached the entry VM.
func (e *entry) take(a *arrival) {
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
	return e.policy.Choose(e.now(), e.rows, c.tried, e.rng)
}

// begin makes the first attempt.
func (e *entry) begin(c *call, s *cwserver.Server) {
	c.began = e.run.timeline.now
	e.send(c, s)

	if e.run.variant.Hedge && !c.arrival.once && !c.done {
		e.look(c)
	}
}

// send makes an attempt.
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

	c.out = append(c.out, a)
	b := e.run.backends[a.server]
	b.committed++
	a.row = s.Begin(e.now())
	a.asked = e.ask(a.server)
	e.run.timeline.after(cost+a.delay, func() { b.arrive(a) })

	if wait := e.run.variant.Attempt; wait > 0 {
		e.run.timeline.after(wait, func() { e.attemptTimeout(a) })
	}
}

// ask tells whether the next reply of a server is to bring a report.
func (e *entry) ask(server int) bool {
	now := e.run.timeline.now
	if now < e.next[server] {
		return false
	}

	e.next[server] = now + e.run.scenario.reportEvery()

	return true
}

// delay is the one-way delay between an entry VM's domain and a server.
func (s *Scenario) delay(domain, server int) time.Duration {
	if server%s.Domains == domain {
		return s.Within
	}

	return s.Between
}

// connect takes an idle connection or opens one, and returns what it costs.
// The entry VMs that carry the target share the server's connections.
func (e *entry) connect(server int) (time.Duration, bool) {
	if e.open[server] > int(e.rows[server].Running.Load()) {
		return 0, true
	}

	b := e.run.backends[server]
	if e.open[server] >= max(1, b.scenario.Conns/len(e.run.entries)) {
		return 0, false
	}

	e.open[server]++
	b.counts.Opened++

	return b.scenario.Open, true
}

// seen is what an outcome tells the table of a server.
var seen = [...]cwserver.Outcome{
	answered: cwserver.Replied, shed: cwserver.Refused, failed: cwserver.Failed,
	timedOut: cwserver.Failed, refused: cwserver.Cancelled, cancelled: cwserver.Cancelled,
}

// settle takes the end of an attempt with the report that came along.
func (e *entry) settle(a *attempt, o outcome, l cwstand.Load) {
	if a.settled {
		return
	}

	e.close(a, o)

	if a.asked {
		e.run.result.Reports++
		e.rows[a.server].SetReport(carobward.Report{
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

// close ends an attempt at the entry VM.
func (e *entry) close(a *attempt, o outcome) {
	a.settled = true
	a.row.End(e.now(), seen[o])

	for i, other := range a.call.out {
		if other == a {
			a.call.out = append(a.call.out[:i], a.call.out[i+1:]...)

			break
		}
	}
}

// drop gives an attempt up. Its connection is closed.
func (e *entry) drop(a *attempt, o outcome) {
	e.close(a, o)
	e.open[a.server]--

	if e.run.variant.Cancel {
		e.run.timeline.after(a.delay, func() { e.run.backends[a.server].cancel(a) })
	}
}

func (e *entry) attemptTimeout(a *attempt) {
	if !a.settled {
		e.drop(a, timedOut)
		e.retry(a.call, timedOut)
	}
}

// look hedges a call once that is due, and else looks again later.
func (e *entry) look(c *call) {
	if c.done || len(c.tried) != 1 {
		return
	}

	age := e.run.timeline.now - c.began
	due, next := c.record.Due(e.now(), age, c.tried[0])

	switch {
	case !due && next > age:
		e.run.timeline.after(next-age, func() { e.look(c) })
	case due && e.again(c):
		e.run.result.Hedges++
	}
}

// again makes one more attempt, if a server has room and the budget, where
// the variant has one, allows it.
func (e *entry) again(c *call) bool {
	s := e.choose(c)
	if s == nil || e.run.variant.Budget && !c.record.Budget.Take() {
		return false
	}

	e.send(c, s)

	return true
}

// retry sends a call again if the variant allows it, and fails it if it is
// nowhere else.
func (e *entry) retry(c *call, o outcome) {
	if c.done || len(c.out) > 0 {
		return
	}

	safe := o == shed || o == refused || e.run.variant.RetryAny || !c.arrival.once
	if safe && len(c.tried) < e.run.variant.Tries && e.again(c) {
		return
	}

	e.finish(c, o)
}

func (e *entry) giveUp(c *call) {
	if !c.done {
		e.finish(c, timedOut)
	}
}

// finish answers the caller and gives up what is still out.
func (e *entry) finish(c *call, o outcome) {
	if c.done {
		return
	}

	c.done = true

	reason := cancelled
	if o == timedOut {
		reason = timedOut
	}

	for len(c.out) > 0 {
		e.drop(c.out[0], reason)
	}

	e.run.result.count(c.arrival, o, e.run.timeline.now+e.run.scenario.Client)

	if e.gate != nil {
		e.gate.leave(c)
	}
}
