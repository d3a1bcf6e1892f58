// Package cwturn decides which requests of a service get a server now, which
// wait, and which are refused with a time to come back. It is pure: over what is
// known of the requests, over figures of the load, and a clock that is passed in.
//
// It answers loads above what the servers carry at their usual speed: bursts, and
// the return of all callers at once after a loss of power. Then someone is late or
// refused in any case, and the order decides how many. A request whose answer can
// still be in time goes before one whose answer can't be; those wait for room that
// the others leave.
package cwturn

import "time"

// The limits of waiting. Times that follow from the load are in usual times of an
// answer.
const (
	// goodTime is the time at a server for which no better one is waited for: one
	// of the last slots of a server at its usual speed takes up to 1.7.
	goodTime = 1.75
	// betterPart is the part of the objective for which a better server is looked
	// for where one is found whose answer would be in time.
	betterPart = 0.18
	// latePart is the part of the objective for which room is looked for, for an
	// answer that will be late. One objective and two served no more of them (mean
	// of 18 simulated days each).
	latePart = 0.5
	// pauseTime is the pause between looks at servers while none has room. A
	// server with two slots in use frees one in half a usual time. pauseLeast
	// bounds it for work that takes next to no time.
	pauseTime  = 0.2
	pauseLeast = time.Millisecond
	// returnTime is when a refused caller may come back: by then each server has
	// freed a slot.
	returnTime = 1.5
	// shedTime is the same after a server's refusal, which says nothing of the
	// other servers.
	shedTime = 0.5
	// returnLeast bounds both from below, for work that takes next to no time.
	returnLeast = 10 * time.Millisecond
)

// Turn is what is known of one request that wants a server.
type Turn struct {
	// Rank is its priority; a lower one is more urgent.
	Rank int
	// Arrived is when it came, Due when an answer is late, which counts from the
	// caller's first attempt, and Deadline when its caller gives up.
	Arrived, Due, Deadline time.Time
	// Objective is the time in which an answer is due after a first attempt.
	Objective time.Duration
	// Usual is the usual time of an answer to it, Pace by how many times longer
	// than that servers take now.
	Usual time.Duration
	Pace  float64
	// Vain tells that servers were looked at for it, and none had room.
	Vain bool
}

// expected returns how long a server takes that is as good as there are.
func (t *Turn) expected() time.Duration { return t.times(max(1, t.Pace)) }

// times returns a number of usual times.
func (t *Turn) times(n float64) time.Duration { return time.Duration(n * float64(t.Usual)) }

// Timely tells whether an answer can still be in time.
func (t *Turn) Timely(now time.Time) bool { return t.Due.Sub(now) >= t.expected() }

// Before tells whether a request gets a server before another: the one whose
// answer can be in time, the more urgent one, the one with less time left.
func (t *Turn) Before(o *Turn, now time.Time) bool {
	if a, b := t.Timely(now), o.Timely(now); a != b {
		return a
	}

	if t.Rank != o.Rank {
		return t.Rank < o.Rank
	}

	return t.Due.Before(o.Due)
}

// Spares returns how many slots of a server a request leaves to others. Under
// overload slots held for late answers are what the timely ones lack: of those that
// come while all others are back from a loss of power 0.81 are in time without
// this, 0.88 with it (carobward bench worst, pattern dark, twelve seeds).
func (t *Turn) Spares(now time.Time) int {
	if t.Timely(now) {
		return 0
	}

	return 1
}

// Good tells whether a server is taken at once. Time is how long it takes, in
// usual times. While nearly all servers are slow that is measured by their pace:
// waiting would bring none that is faster.
func (t *Turn) Good(time float64) bool { return time <= goodTime*max(1, t.Pace) }

// Suits tells whether a server is taken that is not good: its answer would be in
// time, and a better one has been looked for.
func (t *Turn) Suits(time float64, now time.Time) bool {
	waited := now.Sub(t.Arrived) >= part(betterPart, t.Objective)

	return waited && t.InTime(time, now)
}

// InTime tells whether the answer of a server would be in time that takes so many
// usual times.
func (t *Turn) InTime(time float64, now time.Time) bool { return t.Due.Sub(now) >= t.times(time) }

// Over tells whether a request that found no server is refused. One whose answer
// can be in time is not: each slot that becomes free may be its own.
func (t *Turn) Over(now time.Time) bool {
	if t.Timely(now) {
		return false
	}

	return now.Sub(t.Arrived) >= part(latePart, t.Objective) || t.Deadline.Sub(now) < t.expected()
}

// Pause returns the time until servers are looked at again.
func (t *Turn) Pause() time.Duration { return max(pauseLeast, t.times(pauseTime)) }

// Return returns when a caller may come back that is refused since no server has
// room.
func (t *Turn) Return() time.Duration {
	return max(returnLeast, t.times(returnTime*max(1, t.Pace)))
}

// ReturnAt returns the same where it is known when the first server may get a request: not
// before that, unless others that this entry VM does not know may have room sooner.
func (t *Turn) ReturnAt(opens, now time.Time) time.Duration {
	return min(max(returnLeast, opens.Sub(now)), t.Return())
}

// ReturnShed returns the same where a server refused.
func (t *Turn) ReturnShed() time.Duration { return max(returnLeast, t.times(shedTime)) }

func part(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }
