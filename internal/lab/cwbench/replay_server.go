package cwbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwstand"
)

// maxQueued is the number of requests that a server queues beyond its slots.
const maxQueued = 6

// replayServer is one simulated server.
type replayServer struct {
	run   *replay
	index int
	busy  int
	queue []*replaySend
	rng   *rand.Rand
}

// replaySend is one send of a request to a server.
type replaySend struct {
	request *replayRequest
	server  *replayServer
	// record is the entry VM's record of the server, number identifies the send in
	// it.
	record *cwbackend.Server
	number int64
	at     time.Time
	// report is the last report of the server before the send. refused reports
	// whether the server refused the request.
	report  carobward.Report
	refused bool
}

func (s *replayServer) backend() carobward.Backend {
	return carobward.Backend{
		Instance: carobward.Instance(fmt.Sprintf("i-%02d", s.index)), Address: carobward.Address(fmt.Sprintf("s-%02d", s.index)),
		Service: replayService, Domain: replayDomain(s.index), Slots: s.run.pattern.Slots,
	}
}

// slowness returns the factor by which work that starts now takes longer than usual.
func (s *replayServer) slowness() float64 {
	p, at := s.run.pattern, s.run.timeline.now
	out := 1.0

	if rand.New(rand.NewPCG(p.Seed<<16+uint64(s.index), uint64(at/p.NoiseEvery))).Float64() < p.NoiseShare {
		out = p.NoiseFactor
	}

	if p.Slow.affects(s.index, p.Servers, at) {
		out *= p.Slow.Factor
	}

	return out
}

// silent reports whether the server currently drops requests and sends no replies.
func (s *replayServer) silent() bool {
	p, at := s.run.pattern, s.run.timeline.now

	return p.Silent.affects(s.index, p.Servers, at) || p.LostDomain.contains(at) && replayDomain(s.index) == replayDomain(0)
}

func (s *replayServer) report() carobward.Report {
	return carobward.Report{At: s.run.now(), Running: s.busy, Queued: len(s.queue), Slots: s.run.pattern.Slots, Slowness: s.slowness()}
}

// accept handles a request that has reached the server.
func (s *replayServer) accept(q *replaySend) {
	p := s.run.pattern

	switch {
	case s.silent():
	case p.Shed.affects(s.index, p.Servers, s.run.timeline.now) && s.rng.Float64() < p.Shed.Factor:
		q.refused = true
		s.run.timeline.after(networkDelay, func() { q.request.vm.sendEnded(q, s.report()) })
	case s.busy < p.Slots:
		s.begin(q)
	case len(s.queue) < maxQueued:
		s.queue = append(s.queue, q)
	}
}

// begin runs a request in a free slot. It takes longer if the server is slow or, by
// KneeFactor, if most slots are in use.
func (s *replayServer) begin(q *replaySend) {
	p := s.run.pattern
	s.busy++
	took := float64(cwstand.Lognormal(p.Work, workSpread, s.rng)) * s.slowness()

	if float64(s.busy) > p.Knee*float64(p.Slots) {
		took *= p.KneeFactor
	}

	s.run.timeline.after(time.Duration(took), func() { s.end(q) })
}

func (s *replayServer) end(q *replaySend) {
	s.busy--

	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(next)
	}

	if r := s.report(); !s.silent() {
		s.run.timeline.after(networkDelay, func() { q.request.vm.sendEnded(q, r) })
	}
}
