package cwlimit_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlimit"
)

// slots counts the free slots of a service.
type slots struct{ free atomic.Int64 }

func (s *slots) take() bool {
	if s.free.Add(-1) < 0 {
		s.free.Add(1)

		return false
	}

	return true
}

func TestGate(t *testing.T) {
	const calls = 200

	g := cwlimit.NewGate(1000, carobward.SystemClock{})

	var (
		room    slots
		running atomic.Int64
		peak    atomic.Int64
		group   conc.WaitGroup
	)

	room.free.Store(3)

	for range calls {
		group.Go(func() {
			w := &cwlimit.Waiter{Target: "a", Deadline: time.Now().Add(time.Minute)}
			if err := g.Enter(w, room.take); err != nil {
				t.Errorf("a request was shed: %v", err)

				return
			}

			n := running.Add(1)
			for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
			}

			running.Add(-1)
			room.free.Add(1)
			g.Leave("a", time.Microsecond)
		})
	}

	group.Wait()

	if peak.Load() > 3 || room.free.Load() != 3 {
		t.Errorf("up to %d requests were in flight, %d slots were free at the end, want 3 and 3", peak.Load(), room.free.Load())
	}
}

// TestGateShedsAtOnce checks that a request whose deadline can't be met is shed
// with a retry time without waiting for the deadline.
func TestGateShedsAtOnce(t *testing.T) {
	g := cwlimit.NewGate(1000, carobward.SystemClock{})

	var room slots

	room.free.Store(1)

	enter := func(within time.Duration) error {
		return g.Enter(&cwlimit.Waiter{Target: "a", Deadline: time.Now().Add(within)}, room.take)
	}

	if err := enter(time.Minute); err != nil {
		t.Fatal(err)
	}

	g.Leave("a", time.Hour)
	room.free.Store(0)

	began := time.Now()
	err := enter(time.Minute)

	var shed *cwlimit.Shed
	if !errors.As(err, &shed) || shed.RetryAfter < cwlimit.MinRetry {
		t.Errorf("got error %v, want a Shed with a retry time", err)
	}

	if waited := time.Since(began); waited > 30*time.Second {
		t.Errorf("the request was shed only after %s", waited)
	}
}
