package cwserver

import (
	"math"
	"time"
)

// The fading of old knowledge.
const (
	// reportFade is the age at which a report counts half.
	reportFade = 500 * time.Millisecond
	// ageFactor is how many usual latencies a call must be out before its age
	// counts.
	ageFactor = 2
)

// fade returns the weight of knowledge by its age, from 1 to 0.
func fade(age, half time.Duration) float64 { return float64(half) / float64(half+age) }

// Moment is a time with what all servers of a service share at it, so that a
// choice among many looks it up once.
type Moment struct {
	at     instant
	usual  time.Duration
	others float64
}

// Moment returns a moment for this server and all others of its service.
func (s *Server) Moment(now time.Time) Moment {
	m := Moment{at: at(now)}

	if s.group != nil {
		m.usual = s.group.Usual()
		m.others = s.group.expectOthers(m.at)
	}

	return m
}

// Usual returns the average latency of the service, or zero.
func (m *Moment) Usual() time.Duration { return m.usual }

// View is what is expected of a server at a moment.
type View struct {
	// Running counts our own calls, and Limit is the most it should hold.
	Running, Limit int64
	// Load is how many calls the server holds: ours exactly, those of others
	// by the last report, which fades to the service's average.
	Load float64
	// Slots is how many it runs at once, or zero where it has not told.
	Slots float64
	// Latency is that of a call that finds a free slot: the usual one, or the
	// last slow one as it fades, or the age of the oldest call out where that
	// is longer than is usual.
	Latency time.Duration
}

// View returns what is expected of the server at a moment.
func (s *Server) View(m *Moment) View {
	running := s.Running.Load()

	return View{
		Running: running,
		Limit:   s.Limit(),
		Load:    float64(running) + s.expectOthers(m),
		Slots:   float64(s.slots.Load()),
		Latency: s.expectLatency(m),
	}
}

// Ejected tells whether the server has been taken out of the choice.
func (s *Server) Ejected(m *Moment) bool { return instant(s.ejected.Load()) > m.at }

// EjectedFor returns for how long the server stays out of the choice.
func (s *Server) EjectedFor(m *Moment) time.Duration {
	return instant(s.ejected.Load()).since(m.at)
}

// Limit returns the most of our own calls that the server should hold.
func (s *Server) Limit() int64 {
	if l := s.limit.Load(); l != 0 {
		return l
	}

	return limitFirst
}

func (s *Server) expectOthers(m *Moment) float64 {
	reported := instant(s.reported.Load())
	if reported == 0 {
		return m.others
	}

	weight := fade(m.at.since(reported), reportFade) * (1 - math.Float64frombits(s.doubt.Load()))

	return m.others + (float64(s.others.Load())-m.others)*weight
}

// Rounds returns how many rounds of its slots a new call is expected to wait
// for and take: 1 with a free slot.
func (v *View) Rounds() float64 { return max(1, (v.Load+1)/max(1, v.Slots)) }

func (s *Server) expectLatency(m *Moment) time.Duration {
	latency := m.usual

	if memory := time.Duration(s.memory.Load()); memory != 0 {
		slow := time.Duration(s.latency.Load())
		age := m.at.since(instant(s.measured.Load()))
		latency += time.Duration(float64(max(0, slow-m.usual)) * fade(age, memory))
	}

	return max(latency, s.overdue(m))
}

// overdue returns the age of the oldest call out if it is news.
func (s *Server) overdue(m *Moment) time.Duration {
	oldest := instant(s.oldest.Load())
	if oldest == 0 {
		return 0
	}

	if age := m.at.since(oldest); age > ageFactor*m.usual {
		return age
	}

	return 0
}

// Overdue counts our calls that have been out for longer than than.
func (s *Server) Overdue(now time.Time, than time.Duration) int {
	t := at(now)
	count := 0

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, began := range s.out {
		if began != 0 && t.since(began) > than {
			count++
		}
	}

	return count
}

// Usual returns the average latency of the server's service, or zero.
func (s *Server) Usual() time.Duration {
	if s.group == nil {
		return 0
	}

	return s.group.Usual()
}
