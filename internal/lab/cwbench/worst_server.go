package cwbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwstand"
)

// worstQueue is how many requests a server queues beyond its slots.
const worstQueue = 6

// worstServer is one modelled server of a pattern.
type worstServer struct {
	run   *worst
	place int
	busy  int
	queue []*worstSend
	rng   *rand.Rand
}

// worstSend is one request at one server.
type worstSend struct {
	request *worstRequest
	server  *worstServer
	// known is the server as the entry VM knows it, which numbered the send.
	known  *cwbackend.Server
	number int64
	at     time.Time
	// report is what the server said before, refused that it refused the request.
	report  carobward.Report
	refused bool
}

func (s *worstServer) backend() carobward.Backend {
	return carobward.Backend{
		Instance: carobward.Instance(fmt.Sprintf("i-%02d", s.place)), Address: carobward.Address(fmt.Sprintf("s-%02d", s.place)),
		Service: worstService, Domain: worstDomain(s.place), Slots: s.run.pattern.Slots,
	}
}

// slowness is how much longer work takes that begins now.
func (s *worstServer) slowness() float64 {
	p, at := s.run.pattern, s.run.timeline.now
	out := 1.0

	if rand.New(rand.NewPCG(p.Seed<<16+uint64(s.place), uint64(at/p.NoiseEvery))).Float64() < p.NoiseShare {
		out = p.NoiseFactor
	}

	if p.Slow.hits(s.place, p.Servers, at) {
		out *= p.Slow.Factor
	}

	return out
}

func (s *worstServer) gone() bool {
	p, at := s.run.pattern, s.run.timeline.now

	return p.Gone.hits(s.place, p.Servers, at) || p.Fallen.holds(at) && worstDomain(s.place) == worstDomain(0)
}

func (s *worstServer) report() carobward.Report {
	return carobward.Report{At: s.run.now(), Running: s.busy, Queued: len(s.queue), Slots: s.run.pattern.Slots, Slowness: s.slowness()}
}

// take gets a request.
func (s *worstServer) take(q *worstSend) {
	p := s.run.pattern

	switch {
	case s.gone():
	case p.Shed.hits(s.place, p.Servers, s.run.timeline.now) && s.rng.Float64() < p.Shed.Factor:
		q.refused = true
		s.run.timeline.after(worstWay, func() { q.request.vm.ended(q, s.report()) })
	case s.busy < p.Slots:
		s.begin(q)
	case len(s.queue) < worstQueue:
		s.queue = append(s.queue, q)
	}
}

func (s *worstServer) begin(q *worstSend) {
	p := s.run.pattern
	s.busy++
	took := float64(cwstand.Lognormal(p.Work, worstSpread, s.rng)) * s.slowness()

	if float64(s.busy) > p.Knee*float64(p.Slots) {
		took *= p.KneeFactor
	}

	s.run.timeline.after(time.Duration(took), func() { s.end(q) })
}

func (s *worstServer) end(q *worstSend) {
	s.busy--

	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(next)
	}

	if r := s.report(); !s.gone() {
		s.run.timeline.after(worstWay, func() { q.request.vm.ended(q, r) })
	}
}
