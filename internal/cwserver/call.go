package cwserver

import "time"

// Outcome is how a call ended, as far as it matters for choosing servers.
type Outcome uint8

// The outcomes of a call.
const (
	// Replied: a complete reply arrived that shows no fault of the server.
	Replied Outcome = iota
	// Failed: no complete reply arrived, or one that shows a fault of the
	// server.
	Failed
	// Refused: the server shed the call before it started work on it.
	Refused
	// PoolExhausted: all connections of this entry VM to the server were in use.
	PoolExhausted
	// Cancelled: this entry VM gave up the call.
	Cancelled
)

// The parameters of a server's state; see docs/design/route.md.
const (
	// slowFactor times the usual latency is the threshold of a slow reply.
	slowFactor = 2
	// maxDoublings bounds how often the half-life of a slow latency doubles,
	// and maxSlowHalfLife bounds the half-life itself.
	maxDoublings    = 8
	maxSlowHalfLife = 10 * time.Second
	// failureFactor times the usual latency is the latency that a failure
	// counts as.
	failureFactor = 16
	// ejectAfter is the number of consecutive failures after which a server is
	// ejected, for initialEjectTime at first and twice as long each further
	// time, up to maxEjectTime.
	ejectAfter       = 3
	initialEjectTime = 500 * time.Millisecond
	maxEjectTime     = 30 * time.Second
	// maxEjectedShare is the largest fraction of a service's servers that may
	// be ejected at once.
	maxEjectedShare = 0.34
	// initialLimit, minLimit and maxLimit bound this entry VM's calls in
	// flight on one server. The maximum is its share of the 250 connections
	// that a server accepts.
	initialLimit = 2
	minLimit     = 1
	maxLimit     = 12
)

// Call is a call of this entry VM in flight. Its zero value is not usable.
type Call struct {
	server  *Server
	index   int
	started instant
	// rounds is View.Rounds of the server when the call began.
	rounds float64
}

// Begin records a call that is about to be sent.
func (s *Server) Begin(now time.Time) Call {
	t := toInstant(now)
	m := s.Moment(now)
	v := s.View(&m)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.Running.Add(1)

	c := Call{server: s, index: s.freeIndex(), started: t, rounds: v.Rounds()}
	s.starts[c.index] = t

	if o := instant(s.oldest.Load()); o == 0 || t < o {
		s.oldest.Store(int64(t))
	}

	return c
}

// freeIndex returns an unused index in starts.
func (s *Server) freeIndex() int {
	for i, t := range s.starts {
		if t == 0 {
			return i
		}
	}

	s.starts = append(s.starts, 0)

	return len(s.starts) - 1
}

// End records how the call ended. It must be called exactly once.
func (c Call) End(now time.Time, o Outcome) {
	s, t := c.server, toInstant(now)
	elapsed := t.since(c.started)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.Running.Add(-1)
	s.starts[c.index] = 0
	s.oldest.Store(int64(s.oldestStart()))

	switch o {
	case Replied:
		s.replied(t, elapsed, c.rounds)
	case Failed:
		s.failed(t)
	case Refused:
		s.refused(t)
	case PoolExhausted:
		s.limit.Store(max(minLimit, s.Running.Load()))
	case Cancelled:
	}
}

// oldestStart returns the start of the oldest call in flight, or zero.
func (s *Server) oldestStart() instant {
	var oldest instant

	for _, t := range s.starts {
		if t != 0 && (oldest == 0 || t < oldest) {
			oldest = t
		}
	}

	return oldest
}

// replied records the latency of a reply. For the server's own latency it is
// divided by the expected rounds of the call, so that queueing does not count
// as slowness.
func (s *Server) replied(now instant, latency time.Duration, rounds float64) {
	s.failures, s.ejections = 0, 0

	if s.group != nil {
		s.group.addLatency(latency)
	}

	s.addSample(now, time.Duration(float64(latency)/max(1, rounds)))
	s.grow()
}

// addSample records one latency. A first slow one counts in full and its
// half-life is the latency itself; each further one in a row doubles the
// half-life. A reply within the usual latency resets both.
func (s *Server) addSample(now instant, latency time.Duration) {
	if float64(latency) < slowFactor*float64(s.UsualLatency()) {
		s.slowReplies = 0
		s.slowHalfLife.Store(0)

		return
	}

	s.setSlowLatency(now, latency, latency<<min(s.slowReplies, maxDoublings))
	s.slowReplies++
}

// setSlowLatency stores a latency and the time after which its excess over the
// usual one counts half.
func (s *Server) setSlowLatency(now instant, latency, halfLife time.Duration) {
	s.slowLatency.Store(int64(latency))
	s.slowHalfLife.Store(int64(min(halfLife, maxSlowHalfLife)))
	s.slowAt.Store(int64(now))
}

func (s *Server) failed(now instant) {
	if s.group != nil {
		latency := failureFactor * s.group.UsualLatency()
		s.setSlowLatency(now, latency, latency<<min(s.failures, maxDoublings))
	}

	s.shrink()
	s.failures++

	if s.failures >= ejectAfter && instant(s.ejectedUntil.Load()) <= now {
		s.eject(now)
	}
}

// eject excludes the server from being chosen, for twice as long each time.
func (s *Server) eject(now instant) {
	if s.group == nil || !s.group.mayEject(now) {
		return
	}

	duration := min(maxEjectTime, initialEjectTime<<min(s.ejections, 10))
	s.ejectedUntil.Store(int64(now) + int64(duration))
	s.ejections++
	// After that, a single failure ejects it again.
	s.failures = ejectAfter - 1
}

// refused records a refusal, which counts as a report that all slots are in
// use.
func (s *Server) refused(now instant) {
	s.otherCalls.Store(max(s.otherCalls.Load(), 2*s.slots.Load()))
	s.reportedAt.Store(int64(now))
	s.shrink()
}

// grow raises the limit by one once as many replies as the limit have arrived.
func (s *Server) grow() {
	limit := s.Limit()
	s.repliesAtLimit++

	if limit < maxLimit && s.repliesAtLimit >= limit {
		s.limit.Store(limit + 1)
		s.repliesAtLimit = 0
	}
}

// shrink halves the limit.
func (s *Server) shrink() {
	s.limit.Store(max(minLimit, s.Limit()/2))
	s.repliesAtLimit = 0
}
