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

// slots is a service with room for some calls.
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
		most    atomic.Int64
		group   conc.WaitGroup
	)

	room.free.Store(3)

	for range calls {
		group.Go(func() {
			w := &cwlimit.Waiter{Target: "a", Deadline: time.Now().Add(time.Minute)}
			if err := g.Enter(w, room.take); err != nil {
				t.Errorf("shed: %v", err)

				return
			}

			n := running.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}

			running.Add(-1)
			room.free.Add(1)
			g.Leave("a", time.Microsecond)
		})
	}

	group.Wait()

	if most.Load() > 3 || room.free.Load() != 3 {
		t.Errorf("%d ran at once, %d slots free in the end", most.Load(), room.free.Load())
	}
}

// TestGateGivesUpAtOnce shows that a request whose deadline can't be met is
// answered without waiting for it, with a time to come back.
func TestGateGivesUpAtOnce(t *testing.T) {
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
	if !errors.As(err, &shed) || shed.After < cwlimit.RetryLeast {
		t.Errorf("got %v", err)
	}

	if waited := time.Since(began); waited > 30*time.Second {
		t.Errorf("the answer was held for %s", waited)
	}
}
