package cwqueue

import (
	"slices"
	"time"
)

// Waiter is a request in a queue.
type Waiter interface {
	comparable
	// Turn returns the request's schedule.
	Turn() *Schedule
}

// Queue holds the requests of one service that wait for a server at one entry VM. It is
// short, since requests wait for a few usual response times at most. It is not safe for
// concurrent use.
type Queue[W Waiter] struct{ list []W }

// Join adds a request.
func (q *Queue[W]) Join(w W) { q.list = append(q.list, w) }

// Leave removes a request, if it is there.
func (q *Queue[W]) Leave(w W) {
	if i := slices.Index(q.list, w); i >= 0 {
		q.list = slices.Delete(q.list, i, i+1)
	}
}

// First returns the first request, in the order of Before, that may have a server. It
// returns false if there is none.
func (q *Queue[W]) First(now time.Time, may func(W) bool) (W, bool) {
	var (
		best  W
		found bool
	)

	for _, w := range q.list {
		if (!found || w.Turn().Before(best.Turn(), now)) && may(w) {
			best, found = w, true
		}
	}

	return best, found
}

// MayCheck reports whether a request may make health checks itself: it may unless those of
// a request before it failed to find room. While there is room, all requests make checks at
// once, however many arrive. When there is none, the others wait for what the first one
// finds and for slots that become free. If each made its own checks, waiting requests would
// use up the rate limit of all, and several would take the same slot.
func (q *Queue[W]) MayCheck(w W, now time.Time) bool {
	for _, o := range q.list {
		if o != w && o.Turn().NoRoom && o.Turn().Before(w.Turn(), now) {
			return false
		}
	}

	return true
}
