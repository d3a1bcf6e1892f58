package cwserver

import "time"

// The fading of old knowledge.
const (
	// reportFade is the age at which a report counts half.
	reportFade = 200 * time.Millisecond
	// ageFactor is how many usual latencies a call must be out before its age
	// counts.
	ageFactor = 1.5
)

// fade returns the weight of knowledge by its age, from 1 to 0.
func fade(age, half time.Duration) float64 { return float64(half) / float64(half+age) }

// Limit returns the most of our own calls that the server should hold.
func (s *Server) Limit() int64 {
	if l := s.limit.Load(); l != 0 {
		return l
	}

	return limitFirst
}

// Slots returns how many calls the server runs at once, or zero where it has
// not told.
func (s *Server) Slots() int64 { return s.slots.Load() }

// Ejected tells whether the server has been taken out of the choice.
func (s *Server) Ejected(now time.Time) bool { return s.ejected.Load() > int64(at(now)) }

// Load returns how many calls the server is expected to hold: ours exactly,
// those of others by the last report, which fades to the service's average.
func (s *Server) Load(now time.Time) float64 {
	return float64(s.Running.Load()) + s.expectOthers(at(now))
}

func (s *Server) expectOthers(now instant) float64 {
	average := 0.0
	if s.group != nil {
		average = s.group.Others()
	}

	reported := instant(s.reported.Load())
	if reported == 0 {
		return average
	}

	return average + (float64(s.others.Load())-average)*fade(now.since(reported), reportFade)
}

// Rounds returns how many rounds of its slots a new call is expected to wait
// for and take: 1 with a free slot.
func (s *Server) Rounds(now time.Time) float64 {
	slots := float64(max(1, s.slots.Load()))

	return max(1, (s.Load(now)+1)/slots)
}

// Latency returns the expected latency of a call that finds a free slot: the
// last ones, fading to the usual, or the age of the oldest call out where
// that is longer than is usual.
func (s *Server) Latency(now time.Time) time.Duration {
	t := at(now)
	usual := s.usual()
	latency := usual

	if memory := time.Duration(s.memory.Load()); memory != 0 {
		slow := time.Duration(s.latency.Load())
		age := t.since(instant(s.measured.Load()))
		latency += time.Duration(float64(max(0, slow-usual)) * fade(age, memory))
	}

	return max(latency, s.overdue(t, usual))
}

// overdue returns the age of the oldest call out if it is news.
func (s *Server) overdue(now instant, usual time.Duration) time.Duration {
	oldest := instant(s.oldest.Load())
	if oldest == 0 {
		return 0
	}

	if age := now.since(oldest); age > time.Duration(ageFactor*float64(usual)) {
		return age
	}

	return 0
}

func (s *Server) usual() time.Duration {
	if s.group == nil {
		return 0
	}

	return s.group.Usual()
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
func (s *Server) Usual() time.Duration { return s.usual() }
