package cwbench

import (
	"math"
	"slices"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// outcome is how an attempt ended, as the entry VM sees it.
type outcome uint8

const (
	// answered: the whole reply came.
	answered outcome = iota
	// shed: the server refused it before it began.
	shed
	// failed: the server failed fast.
	failed
	// timedOut: no reply came in time.
	timedOut
	// refused: there was no connection to be had, nothing was sent.
	refused
	// cancelled: the entry VM gave it up for another.
	cancelled
)

// quickly is what a server takes to refuse or fail a call.
const quickly = 100 * time.Microsecond

// backend is a modelled server: slots, a queue in order of arrival, a speed
// that changes, reports that may mislead.
type backend struct {
	scenario *Scenario
	timeline *timeline
	speed    *cwstand.Speed
	faults   []*Fault
	reporter cwstand.Reporter

	running   int
	queue     []*attempt
	committed int
	counts    cwstand.Counts
}

// newBackends makes the servers. Their schedules depend on the seed alone.
func newBackends(s *Scenario, t *timeline) []*backend {
	list := make([]*backend, s.Servers)
	order := s.order()

	for i := range list {
		b := &backend{scenario: s, timeline: t, speed: s.speed(i, order)}

		for j := range s.Faults {
			if f := &s.Faults[j]; f.hits(order[i]) {
				b.faults = append(b.faults, f)
			}
		}

		if order[i] < s.Misleading {
			b.reporter = cwstand.Reporter{Lag: s.ReportLag, Lie: s.ReportLie}
		}

		list[i] = b
	}

	return list
}

// order draws the places of the servers in the order in which faults hit.
func (s *Scenario) order() []int { return random(s.Seed, streamFaults).Perm(s.Servers) }

// speed draws the speed of a server.
func (s *Scenario) speed(server int, order []int) *cwstand.Speed {
	spans := s.Noise.Slowdowns(s.Seed*uint64(s.Servers)+uint64(server), s.end()+s.Timeout)

	for j := range s.Faults {
		if f := &s.Faults[j]; f.hits(order[server]) {
			spans = append(spans, f.spans()...)
		}
	}

	return cwstand.NewSpeed(spans)
}

func (f *Fault) spans() []cwstand.Slowdown {
	switch f.Kind {
	case FaultStall:
		return []cwstand.Slowdown{{From: f.From, To: f.To, Factor: math.Inf(1)}}
	case FaultSlow:
		return []cwstand.Slowdown{{From: f.From, To: f.To, Factor: f.Factor}}
	case FaultFail, FaultDrain:
	}

	return nil
}

func (b *backend) has(k FaultKind) bool {
	for _, f := range b.faults {
		if f.Kind == k && f.holds(b.timeline.now) {
			return true
		}
	}

	return false
}

// expect is the time that one more call of mean work would take now.
func (b *backend) expect(now time.Duration) float64 {
	if b.has(FaultFail) || b.has(FaultDrain) {
		return math.Inf(1)
	}

	turns := max(1, float64(b.committed+1)/float64(b.scenario.Slots))

	return turns / b.speed.Rate(now)
}

// arrive takes an attempt from the network.
func (b *backend) arrive(a *attempt) {
	switch {
	case b.has(FaultFail):
		b.counts.Failed++
		b.timeline.after(quickly, func() { b.reply(a, failed) })
	case b.has(FaultDrain) || b.running >= b.scenario.Slots && len(b.queue) >= b.scenario.Queue:
		b.counts.Shed++
		b.timeline.after(quickly, func() { b.reply(a, shed) })
	case b.running >= b.scenario.Slots:
		b.queue = append(b.queue, a)
	default:
		b.start(a)
	}
}

func (b *backend) start(a *attempt) {
	b.running++
	b.counts.Began++
	a.running = true

	if a.call.starts++; a.call.starts > 1 {
		b.counts.Repeats++
	}

	end := b.speed.Finish(b.timeline.now, a.call.arrival.work)
	b.timeline.add(end, func() { b.finish(a) })
}

func (b *backend) finish(a *attempt) {
	if !a.running {
		return
	}

	b.counts.Ran++
	b.free(a)
	b.reply(a, answered)
}

// free ends an attempt's use of its slot and starts the next one.
func (b *backend) free(a *attempt) {
	a.running = false
	b.running--

	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.start(next)
	}
}

// cancel hears that nobody waits for an attempt any more.
func (b *backend) cancel(a *attempt) {
	if a.replied {
		return
	}

	a.cancelled = true
	b.counts.Cancelled++
	b.committed--

	if a.running {
		b.free(a)

		return
	}

	if i := slices.Index(b.queue, a); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

// reply sends the outcome with a report back to the entry VM.
func (b *backend) reply(a *attempt, o outcome) {
	load := b.reporter.Report(b.timeline.now, cwstand.Load{
		Slots: b.scenario.Slots, Running: b.running, Queued: len(b.queue), Draining: b.has(FaultDrain),
	})

	a.replied = true
	b.committed--
	b.timeline.after(a.delay, func() { a.call.entry.settle(a, o, load) })
}
