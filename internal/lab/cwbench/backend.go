package cwbench

import (
	"math"
	"slices"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// outcome is the result of an attempt as the entry VM sees it.
type outcome uint8

const (
	// answered: the complete reply arrived.
	answered outcome = iota
	// shed: the server refused the call before starting it.
	shed
	// failed: the server failed the call at once.
	failed
	// timedOut: no reply arrived in time.
	timedOut
	// refused: no connection was available, so nothing was sent.
	refused
	// cancelled: the entry VM gave up the attempt because the call had ended.
	cancelled
)

// fastReply is the time a server takes to refuse or fail a call.
const fastReply = 100 * time.Microsecond

// backend is a simulated server with a number of slots, a FIFO queue, a speed that
// changes over time, and load reports that may be wrong.
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

// newBackends creates the servers. Their speeds and faults depend on the seed
// alone.
func newBackends(s *Scenario, t *timeline) []*backend {
	list := make([]*backend, s.Servers)
	order := s.order()

	for i := range list {
		b := &backend{scenario: s, timeline: t, speed: s.speed(i, order)}

		for j := range s.Faults {
			if f := &s.Faults[j]; f.affects(order[i]) {
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

// order returns, by server, its position in the random order in which faults affect
// servers.
func (s *Scenario) order() []int { return random(s.Seed, streamFaults).Perm(s.Servers) }

// speed returns the speed of a server over time.
func (s *Scenario) speed(server int, order []int) *cwstand.Speed {
	spans := s.Noise.Slowdowns(s.Seed*uint64(s.Servers)+uint64(server), s.end()+s.Timeout)

	for j := range s.Faults {
		if f := &s.Faults[j]; f.affects(order[server]) {
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

func (b *backend) hasFault(k FaultKind) bool {
	for _, f := range b.faults {
		if f.Kind == k && f.contains(b.timeline.now) {
			return true
		}
	}

	return false
}

// expectedTime returns the time that one more call would take now, in units of the
// mean work.
func (b *backend) expectedTime(now time.Duration) float64 {
	if b.hasFault(FaultFail) || b.hasFault(FaultDrain) {
		return math.Inf(1)
	}

	rounds := max(1, float64(b.committed+1)/float64(b.scenario.Slots))

	return rounds / b.speed.Rate(now)
}

// arrive handles an attempt that has reached the server.
func (b *backend) arrive(a *attempt) {
	switch {
	case b.hasFault(FaultFail):
		b.counts.Failed++
		b.timeline.after(fastReply, func() { b.reply(a, failed) })
	case b.hasFault(FaultDrain) || b.running >= b.scenario.Slots && len(b.queue) >= b.scenario.Queue:
		b.counts.Shed++
		b.timeline.after(fastReply, func() { b.reply(a, shed) })
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

// free releases the slot of an attempt and starts the next queued one.
func (b *backend) free(a *attempt) {
	a.running = false
	b.running--

	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.start(next)
	}
}

// cancel removes an attempt whose reply is not needed.
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

// reply sends the outcome and a load report back to the entry VM.
func (b *backend) reply(a *attempt, o outcome) {
	load := b.reporter.Report(b.timeline.now, cwstand.Load{
		Slots: b.scenario.Slots, Running: b.running, Queued: len(b.queue), Draining: b.hasFault(FaultDrain),
	})

	a.replied = true
	b.committed--
	b.timeline.after(a.delay, func() { a.call.entry.settle(a, o, load) })
}
