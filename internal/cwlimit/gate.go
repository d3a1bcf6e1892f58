package cwlimit

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrShed is the cause of a failure when a request can't be answered in time.
const ErrShed = errors.ConstError("limit: the servers are too busy to answer in time")

// Shed is the error of a request that was rejected before it was sent to a
// server.
type Shed struct {
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// Error returns the cause.
func (s *Shed) Error() string { return ErrShed.Error() }

// Unwrap returns the cause.
func (s *Shed) Unwrap() error { return ErrShed }

// Gate admits requests to the servers of one service, in the order of a Queue.
type Gate struct {
	clock carobward.Clock

	mutex sync.Mutex
	queue *Queue
}

// pollInterval is the interval at which a waiter checks for a free server. A
// server also becomes free without the end of a call through this gate: calls
// of other entry VMs end, and load data about them expires.
const pollInterval = 5 * time.Millisecond

// NewGate returns a gate at which up to maxWaiters requests can wait.
func NewGate(maxWaiters int, clock carobward.Clock) *Gate {
	return &Gate{clock: clock, queue: NewQueue(maxWaiters)}
}

// Enter waits until try has found a server. It returns a *Shed as soon as the
// deadline can't be met. No two goroutines call try at the same time.
func (g *Gate) Enter(w *Waiter, try func() bool) error {
	w.try, w.done = try, make(chan error, 1)

	if err := g.add(w); err != nil {
		return err
	}

	select {
	case err := <-w.done:
		return err
	default:
	}

	t := time.NewTicker(pollInterval)
	defer t.Stop()

	for {
		select {
		case err := <-w.done:
			return err
		case <-t.C:
			g.poll()
		}
	}
}

func (g *Gate) add(w *Waiter) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	now := g.clock.Now()

	if g.queue.Len() == 0 && w.try() {
		g.queue.Began(now, w.Target)
		w.done <- nil

		return nil
	}

	if after, ok := g.queue.Add(now, w); !ok {
		return &Shed{RetryAfter: after}
	}

	g.admit(now)

	return nil
}

func (g *Gate) poll() {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.admit(g.clock.Now())
}

// admit rejects the waiters whose deadline can't be met any more, and admits
// the others in the order of the queue until one finds no server.
func (g *Gate) admit(now time.Time) {
	for w := g.queue.Late(now); w != nil; w = g.queue.Late(now) {
		g.queue.Remove(w)
		w.done <- &Shed{RetryAfter: g.queue.Retry(now, w)}
	}

	for w := g.queue.Next(); w != nil && w.try(); w = g.queue.Next() {
		g.queue.Remove(w)
		g.queue.Began(now, w.Target)
		w.done <- nil
	}
}

// Leave records that an admitted request has ended, and admits waiters.
func (g *Gate) Leave(target carobward.TargetName, took time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	now := g.clock.Now()
	g.queue.Ended(now, target, took)
	g.admit(now)
}

// Idle reports whether no request is waiting or in flight.
func (g *Gate) Idle() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.queue.length == 0 && g.queue.inFlight == 0
}
