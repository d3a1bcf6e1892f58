package cwadmit

import (
	"time"

	"carobward.example/carobward"
)

// returnShare is the fraction of the room of a rank that is given to callers who come back.
// The rest is for those who come first, who have more time left.
const returnShare = 0.5

// returns is the schedule of refused callers at one entry VM.
type returns struct {
	// gap is the time between two that come back to a rank, 0 if there is no room for any.
	gap [carobward.LoadRanks]time.Duration
	// next is when the next one may come back.
	next [carobward.LoadRanks]time.Time
}

// observe sets the pace: each entry VM schedules the part of the room that it has of the
// requests.
func (s *returns) observe(sum, own *carobward.ServiceLoad, limit carobward.Rate) {
	left := limit

	for i, demand := range sum.Demand {
		room := min(left, demand)
		left -= room
		s.gap[i] = 0

		if demand > 0 && own.Demand[i] > 0 && room > 0 {
			s.gap[i] = time.Duration(float64(time.Second) / (returnShare * float64(room*own.Demand[i]/demand)))
		}
	}
}

// Return is when a refused caller may come back.
type Return struct {
	// Earliest is the shortest delay, Last the longest with which an answer is in time.
	Earliest, Last time.Duration
	// Wait is how long the caller still waits.
	Wait time.Duration
}

// maxReturnShare is the part of the time that they have left after which callers come back at
// the latest, whatever they are told.
const maxReturnShare = 1.0 / 3

// RetryAfter returns the delay after which a refused caller may come back: when it is its turn
// among those that were told so before. If that is too late for an answer in time, it is as
// late as callers wait, so that it takes nothing from those who are in time.
func (c *Control) RetryAfter(r Request, t Return, now time.Time) time.Duration {
	s, rank := &c.returns, r.rank()
	latest := time.Duration(maxReturnShare * float64(t.Wait))

	if r.late() || s.gap[rank] == 0 {
		return max(t.Earliest, latest)
	}

	at := now.Add(t.Earliest)
	if s.next[rank].After(at) {
		at = s.next[rank]
	}

	if at.Sub(now) > min(t.Last, latest) {
		return max(t.Earliest, latest)
	}

	s.next[rank] = at.Add(s.gap[rank])

	return at.Sub(now)
}
