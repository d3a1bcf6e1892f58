package cwlimit

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrShed is the cause of a request that can't be answered in time.
const ErrShed = errors.ConstError("limit: the servers are too busy to answer in time")

// Shed tells that a request was given up before it was sent.
type Shed struct {
	// After is when to come back.
	After time.Duration
}

// Error returns the cause.
func (s *Shed) Error() string { return ErrShed.Error() }

// Unwrap returns the cause.
func (s *Shed) Unwrap() error { return ErrShed }

// Gate lets requests to the servers of one service in the order of a Queue.
type Gate struct {
	clock carobward.Clock

	mutex sync.Mutex
	queue *Queue
}

// look is how often waiters look for a server that came free without a call
// of ours: others' calls end, and what is known of them fades.
const look = 5 * time.Millisecond

// NewGate returns a gate at which most requests can wait.
func NewGate(most int, clock carobward.Clock) *Gate {
	return &Gate{clock: clock, queue: NewQueue(most)}
}

// Enter waits until try has found a server. It returns Shed as soon as the
// deadline can't be met. Try is called by one goroutine at a time.
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

	t := time.NewTicker(look)
	defer t.Stop()

	for {
		select {
		case err := <-w.done:
			return err
		case <-t.C:
			g.turn()
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
		return &Shed{After: after}
	}

	g.admit(now)

	return nil
}

func (g *Gate) turn() {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.admit(g.clock.Now())
}

// admit gives up the waiters that are late and serves the others in turn
// until one finds no server.
func (g *Gate) admit(now time.Time) {
	for w := g.queue.Late(now); w != nil; w = g.queue.Late(now) {
		g.queue.Remove(w)
		w.done <- &Shed{After: g.queue.Retry(now, w)}
	}

	for w := g.queue.Next(); w != nil && w.try(); w = g.queue.Next() {
		g.queue.Remove(w)
		g.queue.Began(now, w.Target)
		w.done <- nil
	}
}

// Leave notes that a request that entered has ended.
func (g *Gate) Leave(target carobward.TargetName, took time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	now := g.clock.Now()
	g.queue.Ended(now, target, took)
	g.admit(now)
}

// Idle tells whether nothing waits or runs.
func (g *Gate) Idle() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.queue.length == 0 && g.queue.running == 0
}
