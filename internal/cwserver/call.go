package cwserver

import "time"

// Outcome is how a call ended, as far as the choice of server cares.
type Outcome uint8

// The outcomes of a call.
const (
	// Replied: a whole reply came that speaks for the server.
	Replied Outcome = iota
	// Failed: no whole reply came, or one that blames the server.
	Failed
	// Refused: the server shed the call before it began.
	Refused
	// Crowded: all our connections to the server were in use.
	Crowded
	// Cancelled: we gave the call up ourselves.
	Cancelled
)

// The constants of a server's state. docs/design/route.md has the
// measurements.
const (
	// slowFactor is how many usual latencies make a slow reply.
	slowFactor = 2
	// slowDoubled bounds how often the memory of slow replies doubles, and
	// memoryMost bounds the memory itself.
	slowDoubled = 8
	memoryMost  = 10 * time.Second
	// worstFactor is the latency of a failure in usual latencies.
	worstFactor = 16
	// ejectAfter failures in a row a server is ejected, for ejectFirst,
	// doubled each time up to ejectMost.
	ejectAfter = 3
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 30 * time.Second
	// ejectShare is the largest share of a service that may be ejected.
	ejectShare = 0.34
	// limitFirst, limitLeast and limitMost bound our own calls in flight on
	// one server. The most are our part of a server's 250 connections.
	limitFirst = 2
	limitLeast = 1
	limitMost  = 12
)

// Call is one of our calls in flight. Its zero value is of no use.
type Call struct {
	server *Server
	place  int
	began  instant
	// rounds of the server's slots is what it was expected to wait and take.
	rounds float64
}

// Begin notes a call that is about to be sent.
func (s *Server) Begin(now time.Time) Call {
	t := at(now)
	m := s.Moment(now)
	v := s.View(&m)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.Running.Add(1)

	c := Call{server: s, place: s.free(), began: t, rounds: v.Rounds()}
	s.out[c.place] = t

	if o := instant(s.oldest.Load()); o == 0 || t < o {
		s.oldest.Store(int64(t))
	}

	return c
}

// free returns a free place among the calls out.
func (s *Server) free() int {
	for i, t := range s.out {
		if t == 0 {
			return i
		}
	}

	s.out = append(s.out, 0)

	return len(s.out) - 1
}

// End notes how the call ended. It must be called once.
func (c Call) End(now time.Time, o Outcome) {
	s, t := c.server, at(now)
	took := t.since(c.began)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.Running.Add(-1)
	s.out[c.place] = 0
	s.oldest.Store(int64(s.first()))

	switch o {
	case Replied:
		s.replied(t, took, c.rounds)
	case Failed:
		s.failed(t)
	case Refused:
		s.refused(t)
	case Crowded:
		s.limit.Store(max(limitLeast, s.Running.Load()))
	case Cancelled:
	}
}

// first returns the start of the oldest call out.
func (s *Server) first() instant {
	var first instant

	for _, t := range s.out {
		if t != 0 && (first == 0 || t < first) {
			first = t
		}
	}

	return first
}

// replied takes the latency, less the rounds of queue that it was sent into.
func (s *Server) replied(now instant, took time.Duration, rounds float64) {
	s.failures, s.ejections = 0, 0

	if s.group != nil {
		s.group.addLatency(took)
	}

	s.sample(now, time.Duration(float64(took)/max(1, rounds)))
	s.grow()
}

// sample takes one latency. The first slow one counts in full and is
// remembered for as long as it lasted, each further one for twice as long; a
// reply in the usual time ends that.
func (s *Server) sample(now instant, took time.Duration) {
	if float64(took) < slowFactor*float64(s.Usual()) {
		s.slow = 0
		s.memory.Store(0)

		return
	}

	s.remember(now, took, took<<min(s.slow, slowDoubled))
	s.slow++
}

// remember keeps a latency that fades to half after a time.
func (s *Server) remember(now instant, latency, half time.Duration) {
	s.latency.Store(int64(latency))
	s.memory.Store(int64(min(half, memoryMost)))
	s.measured.Store(int64(now))
}

func (s *Server) failed(now instant) {
	if s.group != nil {
		worst := worstFactor * s.group.Usual()
		s.remember(now, worst, worst<<min(s.failures, slowDoubled))
	}

	s.shrink()
	s.failures++

	if s.failures >= ejectAfter && instant(s.ejected.Load()) <= now {
		s.eject(now)
	}
}

// eject takes the server out of the choice for a while, longer each time.
func (s *Server) eject(now instant) {
	if s.group == nil || !s.group.mayEject(now) {
		return
	}

	lasts := min(ejectMost, ejectFirst<<min(s.ejections, 10))
	s.ejected.Store(int64(now) + int64(lasts))
	s.ejections++
	// One more failure afterwards is enough.
	s.failures = ejectAfter - 1
}

// refused counts as a report that all slots are taken.
func (s *Server) refused(now instant) {
	s.others.Store(max(s.others.Load(), 2*s.slots.Load()))
	s.reported.Store(int64(now))
	s.shrink()
}

// grow raises the limit by one for each limit's worth of replies.
func (s *Server) grow() {
	limit := s.Limit()
	s.grown++

	if limit < limitMost && s.grown >= limit {
		s.limit.Store(limit + 1)
		s.grown = 0
	}
}

// shrink halves the limit.
func (s *Server) shrink() {
	s.limit.Store(max(limitLeast, s.Limit()/2))
	s.grown = 0
}
