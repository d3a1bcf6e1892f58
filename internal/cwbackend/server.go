package cwbackend

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Outcome is how a request or a health check ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: a complete response arrived.
	Answered Outcome = iota
	// Refused: the server reported that it did not run the request.
	Refused
	// RefusedWithRoom: the same, though its load report shows a free slot.
	RefusedWithRoom
	// Failed: a response arrived that shows a fault of the server, such as status 500.
	Failed
	// Broken: the connection ended before a complete response, or the response was invalid.
	Broken
	// Silent: no response arrived in time.
	Silent
	// Abandoned: this entry VM canceled the request, which shows nothing about the server.
	Abandoned
)

var outcomeNames = [...]string{
	Answered: "answered", Refused: "refused", RefusedWithRoom: "refused-with-room", Failed: "failed",
	Broken: "broken", Silent: "silent", Abandoned: "abandoned",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// The parameters for blocking a server after failures.
const (
	// minBlock is how long a server gets no requests after the first of consecutive failures.
	// It doubles with each further one up to maxBlock. The first is a few request durations
	// long: a chance failure costs little, and a server that fails every request is rarely
	// tried.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// refusedBlock is how long a server gets no requests after it refused one. It is shorter
	// than a usual response takes.
	refusedBlock = 100 * time.Millisecond
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.2
	// overdueFactor is the number of usual response times after which a request without a
	// response is overdue. That makes the server a worse choice for other requests.
	overdueFactor = 4
)

// Server is one process of a backend server and the state that this entry VM keeps of it.
type Server struct {
	mutex   sync.Mutex
	backend carobward.Backend
	// replacedAt is when it replaced another process under its instance, zero if none was
	// known.
	replacedAt time.Time
	// limit is the request rate that it announced, leavingSince when it announced that it is
	// leaving, and pausedUntil the end of the pause that it asked this entry VM for.
	limit        limit
	leavingSince time.Time
	pausedUntil  time.Time
	// announcers gets the server once it has an announcement that others may lack.
	announcers *announcers
	// warmupEnd is when it is warmed up by its entry, reportedWarmupEnd by its replies.
	warmupEnd         time.Time
	reportedWarmupEnd time.Time
	// sends has the times of the latest requests to it: one, or as many as its allowances look
	// back.
	sends  []time.Time
	report carobward.Report
	// failures counts consecutive failures, failureRate is the moving average of the share of
	// requests that failed.
	failures     int
	failureRate  float64
	refusals     refusals
	blockedUntil time.Time
	// inFlight has the requests of this entry VM at the server.
	inFlight map[int64]flight
	seq      int64
}

// flight is a request in flight at a server.
type flight struct {
	began  time.Time
	cancel func()
}

func newServer(b carobward.Backend, p *announcers, now time.Time) *Server {
	return &Server{backend: b, warmupEnd: now.Add(b.Warmup), inFlight: map[int64]flight{}, announcers: p}
}

// end cancels the requests in flight because the process has ended. Across a network
// partition, they would otherwise only end at their deadlines.
func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, f := range s.inFlight {
		f.cancel()
	}
}

// Backend returns the server's entry in the platform's list, marked as leaving also if the
// server announced that itself.
func (s *Server) Backend() carobward.Backend {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	b := s.backend
	b.Leaving = s.isLeaving()

	return b
}

// isLeaving reports whether the server is leaving. The mutex must be held.
func (s *Server) isLeaving() bool { return s.backend.Leaving || !s.leavingSince.IsZero() }

// update applies a changed entry of the list.
func (s *Server) update(b carobward.Backend, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.backend = b

	s.warmupEnd = now.Add(b.Warmup)
}

// warmedUpAt returns when it is warmed up: the entry may be older than its reply that it is warming up
// again. The mutex must be held.
func (s *Server) warmedUpAt() time.Time {
	if s.reportedWarmupEnd.After(s.warmupEnd) {
		return s.reportedWarmupEnd
	}

	return s.warmupEnd
}

// Begin records a request that is sent. Cancel is called if the process ends. End must be
// called once with the number that Begin returns.
func (s *Server) Begin(now time.Time, cancel func()) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.seq++
	s.inFlight[s.seq] = flight{now, cancel}

	return s.seq
}

// End records the outcome of a request.
func (s *Server) End(number int64, now time.Time, o Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	delete(s.inFlight, number)
	s.recordOutcome(now, o)
}

// RecordHealthCheck records the outcome of a health check. Success does not clear earlier
// failures: a server may pass health checks and still fail requests.
func (s *Server) RecordHealthCheck(now time.Time, o Outcome) {
	if o != Broken && o != Silent {
		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.block(now)
}

func (s *Server) recordOutcome(now time.Time, o Outcome) {
	switch o {
	case Answered:
		s.failures = 0
		s.failureRate -= failureWeight * s.failureRate
		s.refusals.add(now, false)
	case RefusedWithRoom:
		s.refusals.add(now, true)
	case Refused:
		// The server is alive and reports its load; it may have a free slot for the next
		// request.
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.blockedUntil = now.Add(refusedBlock)
	case Failed, Broken, Silent:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.block(now)
	case Abandoned:
	}
}

// unblock lets the server get requests at once again.
func (s *Server) unblock() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.failures, s.blockedUntil = 0, time.Time{}
}

// block excludes the server from the choice, longer with each consecutive failure.
func (s *Server) block(now time.Time) {
	s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.failures, 8)))
	s.failures++
}
