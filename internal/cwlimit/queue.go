// Package cwlimit queues requests while the servers of their service are at
// capacity. Each service has a short queue that is fair between targets and
// ordered by deadline within a target. A request whose deadline can't be met is
// rejected at once, with the time after which the caller should retry.
package cwlimit

import (
	"container/heap"
	"time"

	"carobward.example/carobward"
)

// Waiter is one request that waits for a server.
type Waiter struct {
	// Target is the target of the request. Each target has its own class in the
	// queue.
	Target carobward.TargetName
	// Deadline is the time by which the reply must arrive.
	Deadline time.Time

	index int
	try   func() bool
	done  chan error
}

// Queue holds the waiters of one service. It is not safe for concurrent use;
// Gate is.
type Queue struct {
	maxWaiters int
	length     int
	inFlight   int
	meanTime   time.Duration
	lastEnd    time.Time
	classes    map[carobward.TargetName]*class
}

// class is the share of one target: its waiting requests and the number of its
// calls in flight.
type class struct {
	waiting  waiters
	inFlight int
}

// Parameters of the queue.
const (
	// maxTargetShare is the maximum share of one target: of the places in a
	// queue, and of the requests in flight (Shares).
	maxTargetShare = 0.5
	// meanWeight is the weight of one call in the moving average of the time
	// for which calls occupy a server.
	meanWeight = 1.0 / 32
	// MinRetry and MaxRetry bound the time after which a caller is told to
	// retry.
	MinRetry = 50 * time.Millisecond
	MaxRetry = 5 * time.Second
)

// NewQueue returns a queue for up to maxWaiters waiters.
func NewQueue(maxWaiters int) *Queue {
	return &Queue{maxWaiters: maxWaiters, classes: map[carobward.TargetName]*class{}}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Add adds a waiter. If its deadline can't be met or the queue is full, Add
// returns false and the time after which the caller should retry.
func (q *Queue) Add(now time.Time, w *Waiter) (time.Duration, bool) {
	c := q.class(w.Target)
	wait := q.expectedWait(now, c)
	left := w.Deadline.Sub(now) - q.meanTime

	full := q.length >= q.maxWaiters || float64(len(c.waiting)) >= maxTargetShare*float64(q.maxWaiters)
	if full || wait > left {
		q.dropIfEmpty(w.Target, c)

		return clamp(max(wait-left, wait/2)), false
	}

	heap.Push(&c.waiting, w)
	q.length++

	return 0, true
}

// expectedWait returns the expected time until a new waiter of a class is
// admitted.
func (q *Queue) expectedWait(now time.Time, c *class) time.Duration {
	if q.inFlight == 0 {
		return 0
	}

	// By Little's law, calls end at the rate inFlight/meanTime. The interval
	// is longer if no call has ended for more than meanTime.
	interval := max(q.meanTime, now.Sub(q.lastEnd)) / time.Duration(q.inFlight)

	// The classes with waiters take turns.
	turns := 1

	for _, other := range q.classes {
		if other != c && len(other.waiting) > 0 {
			turns++
		}
	}

	ahead := min(q.length, len(c.waiting)*turns)

	return interval * time.Duration(ahead+1)
}

// clamp bounds a retry time.
func clamp(d time.Duration) time.Duration { return min(max(d, MinRetry), MaxRetry) }

// Next returns the next waiter to admit, or nil if none waits: the one with the
// earliest deadline in the class with the fewest calls in flight.
func (q *Queue) Next() *Waiter {
	var best *class

	for _, c := range q.classes {
		if len(c.waiting) == 0 {
			continue
		}

		if best == nil || c.before(best) {
			best = c
		}
	}

	if best == nil {
		return nil
	}

	return best.waiting[0]
}

func (c *class) before(d *class) bool {
	if c.inFlight != d.inFlight {
		return c.inFlight < d.inFlight
	}

	return c.waiting[0].before(d.waiting[0])
}

func (w *Waiter) before(v *Waiter) bool {
	if !w.Deadline.Equal(v.Deadline) {
		return w.Deadline.Before(v.Deadline)
	}

	return w.Target < v.Target
}

// Remove removes a waiter.
func (q *Queue) Remove(w *Waiter) {
	c := q.class(w.Target)
	heap.Remove(&c.waiting, w.index)
	q.length--
	q.dropIfEmpty(w.Target, c)
}

// Late returns a waiter that can't be answered in time any more, or nil if
// there is none.
func (q *Queue) Late(now time.Time) *Waiter {
	earliest := now.Add(q.meanTime)

	for _, c := range q.classes {
		if len(c.waiting) > 0 && c.waiting[0].Deadline.Before(earliest) {
			return c.waiting[0]
		}
	}

	return nil
}

// Retry returns the time after which the caller of a late request should
// retry: when the requests that are queued now are expected to be admitted.
func (q *Queue) Retry(now time.Time, w *Waiter) time.Duration {
	return clamp(q.expectedWait(now, q.class(w.Target)))
}

// Began records that a call of a target was sent to a server.
func (q *Queue) Began(now time.Time, target carobward.TargetName) {
	if q.inFlight == 0 {
		q.lastEnd = now
	}

	q.inFlight++
	q.class(target).inFlight++
}

// Ended records that a call of a target has ended, and how long it took.
func (q *Queue) Ended(now time.Time, target carobward.TargetName, took time.Duration) {
	q.inFlight--
	q.lastEnd = now

	if q.meanTime == 0 {
		q.meanTime = took
	}

	q.meanTime += time.Duration(float64(took-q.meanTime) * meanWeight)

	c := q.class(target)
	c.inFlight--
	q.dropIfEmpty(target, c)
}

func (q *Queue) class(name carobward.TargetName) *class {
	c := q.classes[name]
	if c == nil {
		c = &class{}
		q.classes[name] = c
	}

	return c
}

// dropIfEmpty deletes a class without waiters and calls in flight, so that the
// map stays bounded.
func (q *Queue) dropIfEmpty(name carobward.TargetName, c *class) {
	if c.inFlight == 0 && len(c.waiting) == 0 {
		delete(q.classes, name)
	}
}

// waiters is a heap ordered by deadline.
type waiters []*Waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	waiter, ok := x.(*Waiter)
	if !ok {
		return
	}

	waiter.index = len(*w)
	*w = append(*w, waiter)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	waiter := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]

	return waiter
}
