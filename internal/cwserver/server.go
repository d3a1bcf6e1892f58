package cwserver

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// epoch is the start of the times kept as numbers. Differences to it use the
// monotonic clock.
var epoch = time.Now()

// instant is a time in nanoseconds since epoch, at least 1; zero means never.
type instant int64

func at(t time.Time) instant { return max(1, instant(t.Sub(epoch))) }

// since returns the time passed, which is never negative.
func (i instant) since(then instant) time.Duration { return max(0, time.Duration(i-then)) }

// Server is one line of the table. Its counters may be read and written at
// any time.
type Server struct {
	// Address, Service and Domain come from the VM list.
	Address carobward.Address
	Service carobward.Service
	Domain  carobward.Domain
	// Running counts our own calls in flight.
	Running atomic.Int64
	// Leaving tells that it gets no new work.
	Leaving atomic.Bool

	report atomic.Pointer[carobward.Report]
	group  *Group
	leave  *leave

	// What the choice reads, without a lock.
	slots    atomic.Int64
	others   atomic.Int64
	doubt    atomic.Uint64
	reported atomic.Int64
	latency  atomic.Int64
	memory   atomic.Int64
	measured atomic.Int64
	oldest   atomic.Int64
	ejected  atomic.Int64
	limit    atomic.Int64

	mutex sync.Mutex
	// out has the start of each own call in flight, zero for a free place.
	out []instant
	// slow counts the slow replies in a row.
	slow int
	// failures counts those in a row, ejections those without a reply
	// between them.
	failures  int
	ejections int
	// grown counts replies since the limit last changed.
	grown int64
}

// Report returns the last load report; At is zero if there was none.
func (s *Server) Report() carobward.Report {
	if r := s.report.Load(); r != nil {
		return *r
	}

	return carobward.Report{}
}

// SetReport takes a load report that came with a reply to one of our calls,
// or with a probe.
func (s *Server) SetReport(r carobward.Report) {
	if r.At.IsZero() {
		return
	}

	s.report.Store(&r)
	s.say(r)

	own, total := s.Running.Load(), int64(r.Running+r.Queued)
	s.check(own, total)

	others := max(0, total-own)
	s.slots.Store(int64(r.Slots))
	s.others.Store(others)
	s.reported.Store(int64(at(r.At)))

	if s.group != nil {
		s.group.addOthers(at(r.At), others)
	}
}

// The doubt in a server's reports, from 0 to 1.
const (
	// onTheWay is how many of our calls may be on the way to or from a server,
	// so that a true report lacks them.
	onTheWay = 2
	// doubtFaster is how much of the trust one false report costs, and
	// doubtSlower how much of the doubt one that may be true takes away.
	doubtFaster = 0.9
	doubtSlower = 1.0 / 1024
)

// check compares a report with what we know for sure: a server that holds
// fewer calls than we have there reports what was, not what is. Its next
// reports count less until they fit again.
func (s *Server) check(own, total int64) {
	doubt := math.Float64frombits(s.doubt.Load())

	if own > total+onTheWay {
		doubt += (1 - doubt) * doubtFaster
	} else {
		doubt -= doubt * doubtSlower
	}

	s.doubt.Store(math.Float64bits(doubt))
}
