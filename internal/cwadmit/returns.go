package cwadmit

import (
	"time"

	"carobward.example/carobward"
)

// returnShare is the fraction of the limit of a rank that is scheduled for retries. The rest is
// for first attempts, which have more time left.
const returnShare = 0.5

// returns is the schedule of the retries of refused callers at one entry VM.
type returns struct {
	// gap is the time between two retries of a rank, 0 if there is no room for any.
	gap [carobward.LoadRanks]time.Duration
	// next is the time of the next retry.
	next [carobward.LoadRanks]time.Time
}

// observe sets the gaps: an entry VM schedules the same share of the limit as it has of the
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

// Return limits when a refused caller may retry.
type Return struct {
	// Earliest is the shortest delay, Last the longest with which an answer is in time.
	Earliest, Last time.Duration
	// Wait is how long the caller still waits.
	Wait time.Duration
}

// maxReturnShare is the fraction of its remaining time after which a caller retries at the latest,
// whatever it is told.
const maxReturnShare = 1.0 / 3

// RetryAfter returns the retry delay of a refused caller: until the next free place in the
// schedule of its rank. If that is too late for an answer in time, the delay is the longest that
// callers accept, so that the retry takes no slot from requests that can be in time.
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
