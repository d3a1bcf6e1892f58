// Package cwattempt distinguishes first attempts of callers from retries after a refusal or
// a lost connection. Requests don't carry that information; but callers state how long they
// still wait, and a retrying one has used up a part of its wait.
package cwattempt

import (
	"slices"
	"time"
)

// The parameters of the estimate for a route's callers.
const (
	// maxSamples is how many callers are remembered: those of some seconds at one entry
	// VM, enough for quantiles and few enough to follow a change.
	maxSamples = 64
	// minSamples is how many are needed to estimate the spread of the waits of first
	// attempts.
	minSamples = 8
	// highQuantile and midQuantile are the quantiles of the waits that are used. Fewer
	// than half of the callers are retrying, so both quantiles are waits of first
	// attempts.
	highQuantile = 0.95
	midQuantile  = 0.5
	// widenFactor extrapolates the distance between the two quantiles to that between
	// highQuantile and the shortest wait, as if the waits of first attempts were distributed
	// uniformly.
	widenFactor = highQuantile / (highQuantile - midQuantile)
	// initialSpread is the spread of the waits of first attempts, as a fraction of the
	// highest, until there are minSamples. maxSpread bounds the estimate: after the loss of
	// all entry VMs most callers are retrying, so that the samples are too low.
	initialSpread = 0.2
	maxSpread     = 0.33
	// transitFraction is the fraction of a wait that a request may have spent on the way
	// to the entry VM.
	transitFraction = 0.02
)

// Waits estimates how long first attempts on one route wait, from what recent callers
// stated. It is not safe for concurrent use.
type Waits struct {
	samples []time.Duration
	next    int
	// longest and shortest are the bounds of a first attempt's wait.
	longest, shortest time.Duration
}

// Add records how long a caller still waits.
func (w *Waits) Add(left time.Duration) {
	if len(w.samples) < maxSamples {
		w.samples = append(w.samples, left)
	} else {
		w.samples[w.next] = left
	}

	w.next = (w.next + 1) % maxSamples
	w.learn()
}

func (w *Waits) learn() {
	sorted := slices.Clone(w.samples)
	slices.Sort(sorted)

	at := func(q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1)+0.5)] }
	w.longest = at(highQuantile)
	spread := initialSpread * float64(w.longest)

	if len(sorted) >= minSamples {
		spread = min(maxSpread*float64(w.longest), widenFactor*float64(w.longest-at(midQuantile)))
	}

	w.shortest = w.longest - time.Duration(spread+transitFraction*float64(w.longest))
}

// Age returns how long ago the first attempt of a caller was that still waits for left, or
// zero if this is probably the first.
//
// If callers' waits are between 0.85 and 1 times two seconds, under one in ten first attempts
// on a route is mistaken for a retry. With a fixed bound at 0.95 of the longest wait, it would be two
// in three.
func (w *Waits) Age(left time.Duration) time.Duration {
	if left >= w.shortest {
		return 0
	}

	return max(0, (w.longest+w.shortest)/2-left)
}
