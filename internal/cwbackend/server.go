package cwbackend

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Outcome is how a request or a health check at a server ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: a whole answer came.
	Answered Outcome = iota
	// Refused: the server said that the request did not run.
	Refused
	// Failed: an answer that blames the server came, such as a status 500.
	Failed
	// Broken: no whole answer came; the connection ended or it was no answer.
	Broken
	// Silent: no answer came in time.
	Silent
	// Abandoned: we gave the request up ourselves, which says nothing of the
	// server.
	Abandoned
)

var outcomeNames = [...]string{
	Answered: "answered", Refused: "refused", Failed: "failed",
	Broken: "broken", Silent: "silent", Abandoned: "abandoned",
}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// The bounds of blocking a server for its failures.
const (
	// blockFirst is the time for which a server gets no requests after a
	// failure in a row of failures; it doubles with each further one up to
	// blockMost. The first is a few request times long: a failure that was
	// chance costs little, and a server that fails all is tried rarely.
	blockFirst = 250 * time.Millisecond
	blockMost  = 4 * time.Second
	// refusedTime is for how long a server gets no requests after it refused
	// one: less than a usual answer takes.
	refusedTime = 100 * time.Millisecond
	// trustShare is the weight of one outcome in the share of failures.
	trustShare = 0.2
	// overdueFactor is how many usual times without an answer make a request
	// at a server overdue, which speaks against sending another one there.
	overdueFactor = 4
)

// Server is one run of a backend server and what this entry VM knows of it.
type Server struct {
	mutex   sync.Mutex
	backend carobward.Backend
	// follows is when it followed another process under its instance, zero if none was
	// known.
	follows time.Time
	// limit is what it says of the requests that it takes, leaving since when it says that
	// it leaves, and paused until when it wants no requests of this entry VM.
	limit   limit
	leaving time.Time
	paused  time.Time
	// speakers has the server once it has said something that others may lack.
	speakers *speakers
	// warm is until when it is cold.
	warm time.Time
	// sends has when the last of our requests to it were sent: one, or as many as the
	// bounds on it look back.
	sends  []time.Time
	report carobward.Report
	// failures counts the failures in a row, trouble is the moving share of
	// requests that failed.
	failures int
	trouble  float64
	blocked  time.Time
	// out has each of our requests at the server.
	out map[int64]flight
	seq int64
}

// flight is one of our requests at a server.
type flight struct {
	began time.Time
	// cancel breaks it off.
	cancel func()
}

func newServer(b carobward.Backend, p *speakers, now time.Time) *Server {
	return &Server{backend: b, warm: now.Add(b.Warmup), out: map[int64]flight{}, speakers: p}
}

// end breaks off what is in flight: the process has ended. Behind a cut nothing else
// would show it before the time of each request is over.
func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, f := range s.out {
		f.cancel()
	}
}

// Backend returns the server as the platform's list shows it, and as leaving also where it
// says so itself.
func (s *Server) Backend() carobward.Backend {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	b := s.backend
	b.Leaving = s.leaves()

	return b
}

// leaves tells whether the server leaves; the mutex is held.
func (s *Server) leaves() bool { return s.backend.Leaving || !s.leaving.IsZero() }

// update takes a new entry of the list.
func (s *Server) update(b carobward.Backend, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.backend = b

	// The entry may be older than the server's own word that it is cold again.
	if warm := now.Add(b.Warmup); warm.After(s.warm) {
		s.warm = warm
	}
}

// Begin notes a request that is sent. Cancel is called if the process ends. End must
// be called once with what it returns.
func (s *Server) Begin(now time.Time, cancel func()) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.seq++
	s.out[s.seq] = flight{now, cancel}

	return s.seq
}

// End notes how a request ended.
func (s *Server) End(number int64, now time.Time, o Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	delete(s.out, number)
	s.learn(now, o)
}

// Looked notes how a health check ended. Its success does not excuse failed
// requests: a server may fail those while its health check is good.
func (s *Server) Looked(now time.Time, o Outcome) {
	if o != Broken && o != Silent {
		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.block(now)
}

func (s *Server) learn(now time.Time, o Outcome) {
	switch o {
	case Answered:
		s.failures = 0
		s.trouble -= trustShare * s.trouble
	case Refused:
		// It lives and says how it is; the next request may find room.
		s.trouble += trustShare * (1 - s.trouble)
		s.blocked = now.Add(refusedTime)
	case Failed, Broken, Silent:
		s.trouble += trustShare * (1 - s.trouble)
		s.block(now)
	case Abandoned:
	}
}

// block takes the server out of the choice for a time.
func (s *Server) block(now time.Time) {
	s.blocked = now.Add(min(blockMost, blockFirst<<min(s.failures, 8)))
	s.failures++
}
