// Package cwlimit holds requests back while their servers are full: a short
// queue a service, fair between targets and in order of deadline within one.
// What can't be met is refused at once, with the time to come back.
package cwlimit

import (
	"container/heap"
	"time"

	"carobward.example/carobward"
)

// Waiter is one request that waits for a server.
type Waiter struct {
	// Target is the class of the request.
	Target carobward.TargetName
	// Deadline is when its reply must be here.
	Deadline time.Time

	index int
	try   func() bool
	done  chan error
}

// Queue holds the waiters of one service. It is not safe for use by many
// goroutines; Gate is.
type Queue struct {
	most    int
	length  int
	running int
	took    time.Duration
	ended   time.Time
	classes map[carobward.TargetName]*class
}

// class is what one target has in the queue and in flight.
type class struct {
	waiting waiters
	running int
}

// The bounds of waiting.
const (
	// classShare is the share of the queue that one target can hold.
	classShare = 0.5
	// tookShare is the weight of one call in the average time that calls
	// hold a server.
	tookShare = 1.0 / 32
	// RetryLeast and RetryMost bound the time after which a caller is told to
	// come back.
	RetryLeast = 50 * time.Millisecond
	RetryMost  = 5 * time.Second
)

// NewQueue returns a queue that holds most waiters.
func NewQueue(most int) *Queue {
	return &Queue{most: most, classes: map[carobward.TargetName]*class{}}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// Add takes a waiter, or returns false and the time after which a place is
// expected if its deadline can't be met or the queue is full.
func (q *Queue) Add(now time.Time, w *Waiter) (time.Duration, bool) {
	c := q.class(w.Target)
	wait := q.wait(now, c)
	left := w.Deadline.Sub(now) - q.took

	full := q.length >= q.most || float64(len(c.waiting)) >= classShare*float64(q.most)
	if full || wait > left {
		q.tidy(w.Target, c)

		return clamp(max(wait-left, wait/2)), false
	}

	heap.Push(&c.waiting, w)
	q.length++

	return 0, true
}

// wait is the expected time until a new waiter of a class gets a server.
func (q *Queue) wait(now time.Time, c *class) time.Duration {
	if q.running == 0 {
		return 0
	}

	// Calls in flight end at running/took, Little's law, or more slowly if
	// none has ended for longer than that.
	one := max(q.took, now.Sub(q.ended)) / time.Duration(q.running)

	// Each class that waits gets its turn.
	turns := 1

	for _, other := range q.classes {
		if other != c && len(other.waiting) > 0 {
			turns++
		}
	}

	ahead := min(q.length, len(c.waiting)*turns)

	return one * time.Duration(ahead+1)
}

// clamp bounds a time to come back.
func clamp(d time.Duration) time.Duration { return min(max(d, RetryLeast), RetryMost) }

// Next returns the waiter whose turn it is, or nil: of the class with the
// fewest calls in flight the one with the earliest deadline.
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
	if c.running != d.running {
		return c.running < d.running
	}

	return c.waiting[0].before(d.waiting[0])
}

func (w *Waiter) before(v *Waiter) bool {
	if !w.Deadline.Equal(v.Deadline) {
		return w.Deadline.Before(v.Deadline)
	}

	return w.Target < v.Target
}

// Remove takes a waiter out.
func (q *Queue) Remove(w *Waiter) {
	c := q.class(w.Target)
	heap.Remove(&c.waiting, w.index)
	q.length--
	q.tidy(w.Target, c)
}

// Late returns a waiter that can't be answered in time any more, or nil.
func (q *Queue) Late(now time.Time) *Waiter {
	earliest := now.Add(q.took)

	for _, c := range q.classes {
		if len(c.waiting) > 0 && c.waiting[0].Deadline.Before(earliest) {
			return c.waiting[0]
		}
	}

	return nil
}

// Retry is when a request that became late should come back: once the queue
// that is there has gone.
func (q *Queue) Retry(now time.Time, w *Waiter) time.Duration {
	return clamp(q.wait(now, q.class(w.Target)))
}

// Began notes that a call of a target went to a server.
func (q *Queue) Began(now time.Time, target carobward.TargetName) {
	if q.running == 0 {
		q.ended = now
	}

	q.running++
	q.class(target).running++
}

// Ended notes that it has ended, and how long it took.
func (q *Queue) Ended(now time.Time, target carobward.TargetName, took time.Duration) {
	q.running--
	q.ended = now

	if q.took == 0 {
		q.took = took
	}

	q.took += time.Duration(float64(took-q.took) * tookShare)

	c := q.class(target)
	c.running--
	q.tidy(target, c)
}

func (q *Queue) class(name carobward.TargetName) *class {
	c := q.classes[name]
	if c == nil {
		c = &class{}
		q.classes[name] = c
	}

	return c
}

// tidy drops a class that has nothing left, so that the map stays bounded.
func (q *Queue) tidy(name carobward.TargetName, c *class) {
	if c.running == 0 && len(c.waiting) == 0 {
		delete(q.classes, name)
	}
}

// waiters is a heap by deadline.
type waiters []*Waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	one, ok := x.(*Waiter)
	if !ok {
		return
	}

	one.index = len(*w)
	*w = append(*w, one)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	one := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]

	return one
}
