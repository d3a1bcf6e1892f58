// Package cwqueue decides which requests of a service get a server now, which wait, and
// which are refused with a time to retry. It has no side effects: it works on the
// schedules of the requests, on load figures, and on a time that is passed in.
//
// It is for loads above what the servers handle at their usual speed: bursts, and the
// return of all callers at once after a power failure. Some requests are late or refused
// then in any case, and the order decides how many. A request whose answer can still be in
// time goes before one whose answer can't be; the latter gets the room that the others
// leave.
package cwqueue

import (
	"time"

	"carobward.example/carobward/internal/cwadmit"
)

// The limits of waiting. Durations that depend on the load are in usual response times.
const (
	// goodTime is the time at a server up to which a request doesn't wait for a better
	// one: one of the last slots of a server at its usual speed takes up to 1.7.
	goodTime = 1.75
	// betterFraction is the fraction of the objective for which a request searches for a
	// better server after it has found one whose answer would be in time.
	betterFraction = 0.18
	// lateFraction is the fraction of the objective for which a request whose answer will
	// be late searches for room. A longer search serves no more of them.
	lateFraction = 0.5
	// checkInterval is the interval between health checks while no server has room. A
	// server with two slots in use frees one in half a usual response time.
	// minCheckInterval is the minimum for work that takes next to no time.
	checkInterval    = 0.2
	minCheckInterval = time.Millisecond
	// retryAfter is when a refused caller may retry: by then each server has freed a slot.
	retryAfter = 1.5
	// refusalRetryAfter is the same after a server's refusal, which says nothing about the
	// other servers.
	refusalRetryAfter = 0.5
	// minRetryAfter is the minimum of both, for work that takes next to no time.
	minRetryAfter = 10 * time.Millisecond
)

// Schedule decides when one request gets a server.
type Schedule struct {
	// Rank is the request's priority; a lower one is more urgent.
	Rank int
	// Arrived is when the request arrived. Due is when its answer becomes late, counted
	// from the caller's first attempt. Deadline is when its caller gives up.
	Arrived, Due, Deadline time.Time
	// Objective is the response time to keep, counted from the first attempt.
	Objective time.Duration
	// Usual is the usual response time of such requests. Slowdown is the factor by which
	// servers are slower than that now.
	Usual    time.Duration
	Slowdown float64
	// NoRoom reports that health checks for the request found no server with room.
	NoRoom bool
}

// expectedTime returns how long one of the better servers takes now.
func (s *Schedule) expectedTime() time.Duration { return s.times(max(1, s.Slowdown)) }

// times returns n usual response times.
func (s *Schedule) times(n float64) time.Duration { return time.Duration(n * float64(s.Usual)) }

// Timely reports whether an answer can still be in time.
func (s *Schedule) Timely(now time.Time) bool { return s.TimelyFor(now) >= 0 }

// TimelyFor returns for how long the request can wait so that its answer is still in time;
// negative if it can't be.
func (s *Schedule) TimelyFor(now time.Time) time.Duration { return s.Due.Sub(now) - s.expectedTime() }

// UsefulFor returns for how long the request can wait so that its answer still reaches the caller.
func (s *Schedule) UsefulFor(now time.Time) time.Duration {
	return s.Deadline.Sub(now) - s.expectedTime()
}

// Returns reports whether a caller that is refused by a server now can retry and get an
// answer in time.
func (s *Schedule) Returns(now time.Time) bool { return s.Timely(now.Add(s.RetryAfterRefusal())) }

// Before reports whether a request gets a server before another one. A request whose
// answer can be in time goes first, then the more urgent one, then the one that is due
// sooner.
func (s *Schedule) Before(o *Schedule, now time.Time) bool {
	if a, b := s.Timely(now), o.Timely(now); a != b {
		return a
	}

	if s.Rank != o.Rank {
		return s.Rank < o.Rank
	}

	return s.Due.Before(o.Due)
}

// Spares returns how many slots of a server a request leaves free for others. Under
// overload, slots held for late answers are missing for those that can be in time.
func (s *Schedule) Spares(now time.Time) int {
	if s.Timely(now) {
		return 0
	}

	return 1
}

// Good reports whether a server is used at once. Time is how long it takes, in usual
// response times. While nearly all servers are slow, the limit grows by their slowdown,
// since waiting would not find a faster one.
func (s *Schedule) Good(time float64) bool { return time <= goodTime*max(1, s.Slowdown) }

// Acceptable reports whether a server that is not good is used: its answer would be in
// time, and the request has searched for a better one long enough.
func (s *Schedule) Acceptable(time float64, now time.Time) bool {
	waited := now.Sub(s.Arrived) >= fraction(betterFraction, s.Objective)

	return waited && s.InTime(time, now)
}

// InTime reports whether a server that takes that many usual response times would answer
// in time.
func (s *Schedule) InTime(time float64, now time.Time) bool { return s.Due.Sub(now) >= s.times(time) }

// ShouldRefuse reports whether a request that found no server is refused. One whose answer
// can be in time is not: the next slot that becomes free may be for it.
func (s *Schedule) ShouldRefuse(now time.Time) bool {
	if s.Timely(now) {
		return false
	}

	return now.Sub(s.Arrived) >= fraction(lateFraction, s.Objective) || s.Deadline.Sub(now) < s.expectedTime()
}

// CheckInterval returns the time until the next health checks.
func (s *Schedule) CheckInterval() time.Duration {
	return max(minCheckInterval, s.times(checkInterval))
}

// RetryAfter returns the retry delay of a caller that is refused because no server has
// room.
func (s *Schedule) RetryAfter() time.Duration {
	return max(minRetryAfter, s.times(retryAfter*max(1, s.Slowdown)))
}

// RetryAfterOpening returns the same if it is known when the first server accepts requests
// again: the time until then, or RetryAfter if that is shorter, since servers outside this
// entry VM's subset may have room by then.
func (s *Schedule) RetryAfterOpening(availableAt, now time.Time) time.Duration {
	return min(max(minRetryAfter, availableAt.Sub(now)), s.RetryAfter())
}

// RetryAfterRefusal returns the same after a server's refusal.
func (s *Schedule) RetryAfterRefusal() time.Duration {
	return max(minRetryAfter, s.times(refusalRetryAfter))
}

// Return returns the limits of the retry delay of a refused caller. The shortest one is that after
// a server's refusal: admission schedules the retry for when there is room for it.
func (s *Schedule) Return(now time.Time) cwadmit.Return {
	return cwadmit.Return{Earliest: s.RetryAfterRefusal(), Last: s.Due.Sub(now) - s.expectedTime(), Wait: s.Deadline.Sub(now)}
}

func fraction(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }
