package cwserver

import (
	"math"
	"time"
)

// The ages that matter for the expected state of a server.
const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 500 * time.Millisecond
	// overdueFactor times the usual latency is the age from which a call in
	// flight counts as overdue.
	overdueFactor = 2
)

// decay returns the weight, from 1 down to 0, of a value of some age.
func decay(age, halfLife time.Duration) float64 { return float64(halfLife) / float64(halfLife+age) }

// Moment is a time with the averages of a service at that time, so that a
// choice among many servers looks them up once.
type Moment struct {
	at           instant
	usualLatency time.Duration
	otherCalls   float64
}

// Moment returns the moment for this server and all others of its service.
func (s *Server) Moment(now time.Time) Moment {
	m := Moment{at: toInstant(now)}

	if s.group != nil {
		m.usualLatency = s.group.UsualLatency()
		m.otherCalls = s.group.expectedOtherCalls(m.at)
	}

	return m
}

// UsualLatency returns the average latency of the service, or zero.
func (m *Moment) UsualLatency() time.Duration { return m.usualLatency }

// View is the expected state of a server at a moment.
type View struct {
	// Running counts this entry VM's calls in flight, and Limit is the maximum
	// number of them.
	Running, Limit int64
	// Load is how many calls the server holds: the exact number of this entry
	// VM's calls, and for those of other entry VMs an estimate that moves from
	// the last report to the service's average as the report ages.
	Load float64
	// Slots is how many calls the server runs at once, or zero if it has not
	// reported that.
	Slots float64
	// Latency is the expected latency of a call that finds a free slot: the
	// usual one, plus the decaying excess of the last slow one, or the age of
	// the oldest call in flight if that is overdue and longer.
	Latency time.Duration
}

// View returns the expected state of the server at a moment.
func (s *Server) View(m *Moment) View {
	running := s.Running.Load()

	return View{
		Running: running,
		Limit:   s.Limit(),
		Load:    float64(running) + s.expectedOtherCalls(m),
		Slots:   float64(s.slots.Load()),
		Latency: s.expectedLatency(m),
	}
}

// Ejected reports whether the server is excluded from being chosen.
func (s *Server) Ejected(m *Moment) bool { return instant(s.ejectedUntil.Load()) > m.at }

// EjectedFor returns for how much longer the server stays ejected.
func (s *Server) EjectedFor(m *Moment) time.Duration {
	return instant(s.ejectedUntil.Load()).since(m.at)
}

// Limit returns the maximum number of this entry VM's calls in flight on the
// server.
func (s *Server) Limit() int64 {
	if l := s.limit.Load(); l != 0 {
		return l
	}

	return initialLimit
}

func (s *Server) expectedOtherCalls(m *Moment) float64 {
	reportedAt := instant(s.reportedAt.Load())
	if reportedAt == 0 {
		return m.otherCalls
	}

	weight := decay(m.at.since(reportedAt), reportHalfLife) * (1 - math.Float64frombits(s.distrust.Load()))

	return m.otherCalls + (float64(s.otherCalls.Load())-m.otherCalls)*weight
}

// Rounds returns the expected time of a new call, its wait for a slot included,
// in units of the time that a call takes in a slot: 1 if a slot is free.
func (v *View) Rounds() float64 { return max(1, (v.Load+1)/max(1, v.Slots)) }

func (s *Server) expectedLatency(m *Moment) time.Duration {
	latency := m.usualLatency

	if halfLife := time.Duration(s.slowHalfLife.Load()); halfLife != 0 {
		slow := time.Duration(s.slowLatency.Load())
		age := m.at.since(instant(s.slowAt.Load()))
		latency += time.Duration(float64(max(0, slow-m.usualLatency)) * decay(age, halfLife))
	}

	return max(latency, s.overdueAge(m))
}

// overdueAge returns the age of the oldest call in flight if that call is
// overdue, or zero.
func (s *Server) overdueAge(m *Moment) time.Duration {
	oldest := instant(s.oldest.Load())
	if oldest == 0 {
		return 0
	}

	if age := m.at.since(oldest); age > overdueFactor*m.usualLatency {
		return age
	}

	return 0
}

// Overdue counts this entry VM's calls that have been in flight for longer than
// age.
func (s *Server) Overdue(now time.Time, age time.Duration) int {
	t := toInstant(now)
	count := 0

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, started := range s.starts {
		if started != 0 && t.since(started) > age {
			count++
		}
	}

	return count
}

// UsualLatency returns the average latency of the server's service, or zero.
func (s *Server) UsualLatency() time.Duration {
	if s.group == nil {
		return 0
	}

	return s.group.UsualLatency()
}
