package cwserver

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// epoch is the zero point of instants. Differences to it use the monotonic
// clock.
var epoch = time.Now()

// instant is a time in nanoseconds since epoch, at least 1; zero means never.
type instant int64

func toInstant(t time.Time) instant { return max(1, instant(t.Sub(epoch))) }

// since returns the time since an earlier instant; it is never negative.
func (i instant) since(earlier instant) time.Duration { return max(0, time.Duration(i-earlier)) }

// Server is one entry of the table. Its counters may be used concurrently.
type Server struct {
	// Address, Service and Domain come from the VM list.
	Address carobward.Address
	Service carobward.Service
	Domain  carobward.Domain
	// Running counts this entry VM's calls in flight.
	Running atomic.Int64
	// Leaving is true if the server gets no new work.
	Leaving atomic.Bool

	report atomic.Pointer[carobward.Report]
	group  *Group
	leave  *leaveState

	// Read without a lock when a server is chosen.
	slots        atomic.Int64
	otherCalls   atomic.Int64
	distrust     atomic.Uint64
	reportedAt   atomic.Int64
	slowLatency  atomic.Int64
	slowHalfLife atomic.Int64
	slowAt       atomic.Int64
	oldest       atomic.Int64
	ejectedUntil atomic.Int64
	limit        atomic.Int64

	mutex sync.Mutex
	// starts has the start of each of this entry VM's calls in flight, zero at
	// an unused index.
	starts []instant
	// slowReplies counts consecutive slow replies.
	slowReplies int
	// failures counts consecutive failures, ejections those since the last
	// reply.
	failures  int
	ejections int
	// repliesAtLimit counts replies since the limit last changed.
	repliesAtLimit int64
}

// Report returns the last load report; its At is zero if there was none.
func (s *Server) Report() carobward.Report {
	if r := s.report.Load(); r != nil {
		return *r
	}

	return carobward.Report{}
}

// SetReport stores a load report that came with the reply to a call or to a
// probe.
func (s *Server) SetReport(r carobward.Report) {
	if r.At.IsZero() {
		return
	}

	s.report.Store(&r)
	s.updateDraining(r)

	own, total := s.Running.Load(), int64(r.Running+r.Queued)
	s.checkReport(own, total)

	otherCalls := max(0, total-own)
	s.slots.Store(int64(r.Slots))
	s.otherCalls.Store(otherCalls)
	s.reportedAt.Store(int64(toInstant(r.At)))

	if s.group != nil {
		s.group.addOtherCalls(toInstant(r.At), otherCalls)
	}
}

// The parameters of the distrust in a server's reports, which is from 0 to 1.
const (
	// maxInTransit is how many of this entry VM's calls a correct report may
	// lack because they are on the network to or from the server.
	maxInTransit = 2
	// distrustGain is the fraction of the remaining trust that one implausible
	// report removes, and distrustDecay the fraction of the distrust that one
	// plausible report removes.
	distrustGain  = 0.9
	distrustDecay = 1.0 / 1024
)

// checkReport compares a report with this entry VM's own calls on the server. A
// total below that number shows that the report is out of date, so the server's
// next reports count less until they are plausible again.
func (s *Server) checkReport(own, total int64) {
	distrust := math.Float64frombits(s.distrust.Load())

	if own > total+maxInTransit {
		distrust += (1 - distrust) * distrustGain
	} else {
		distrust -= distrust * distrustDecay
	}

	s.distrust.Store(math.Float64bits(distrust))
}
