package cwqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testWaiter is a Waiter with a name.
type testWaiter struct {
	name     string
	schedule *Schedule
}

// Turn implements Waiter.
func (w *testWaiter) Turn() *Schedule { return w.schedule }

// TestQueue checks that servers go to waiting requests in order, skipping those that may
// not use them, and that the requests behind it make no health checks once those of the
// first one found no room.
func TestQueue(t *testing.T) {
	var q Queue[*testWaiter]

	all := []*testWaiter{
		{"late", schedule(0, time.Second)}, {"first", schedule(1, 50*time.Millisecond)}, {"urgent", schedule(0, 0)}, {"last", schedule(1, 0)},
	}
	for _, w := range all {
		q.Join(w)
	}

	for _, w := range all {
		if !q.MayCheck(w, begin) {
			t.Errorf("%s makes no health checks while there may be room", w.name)
		}
	}

	all[2].schedule.NoRoom = true

	for _, w := range all {
		if got := q.MayCheck(w, begin); got != (w.name == "urgent") {
			t.Errorf("%s makes health checks: %v", w.name, got)
		}
	}

	if w, _ := q.First(begin, func(w *testWaiter) bool { return w.name != "urgent" }); w.name != "first" {
		t.Errorf("first without the urgent one: %s", w.name)
	}

	var order []string

	for {
		w, ok := q.First(begin, func(*testWaiter) bool { return true })
		if !ok {
			break
		}

		order = append(order, w.name)
		q.Leave(w)
		q.Leave(w)
	}

	if diff := cmp.Diff([]string{"urgent", "first", "last", "late"}, order); diff != "" {
		t.Error(diff)
	}
}

// TestSlowdown checks that the slowdown is that of the faster servers, that it is 1 as
// long as there are few samples, and that it follows a change within a few dozen health
// checks.
func TestSlowdown(t *testing.T) {
	var s Slowdown

	add := func(n int, slowness ...float64) float64 {
		for i := range n {
			s.Add(slowness[i%len(slowness)])
		}

		return s.Now()
	}

	got := []float64{
		s.Now(), add(3, 5), add(40, 5), add(40, 1, 1, 1, 5), add(40, 5, 5, 1), add(40, 5, 5, 5, 5, 1), add(40, 0),
	}

	if diff := cmp.Diff([]float64{1, 1, 5, 1, 1, 5, 1}, got); diff != "" {
		t.Error(diff)
	}
}
