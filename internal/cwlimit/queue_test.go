package cwlimit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlimit"
)

const ms = time.Millisecond

var start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

func waiter(target carobward.TargetName, within time.Duration) *cwlimit.Waiter {
	return &cwlimit.Waiter{Target: target, Deadline: start.Add(within)}
}

// busy returns a queue with calls in flight that take 10 ms each.
func busy(most int, running map[carobward.TargetName]int) *cwlimit.Queue {
	q := cwlimit.NewQueue(most)
	q.Began(start, "first")
	q.Ended(start, "first", 10*ms)

	for t, n := range running {
		for range n {
			q.Began(start, t)
		}
	}

	return q
}

func TestAdd(t *testing.T) {
	type answer struct {
		OK    bool
		After time.Duration
	}

	tests := map[string]struct {
		queue   *cwlimit.Queue
		waiting int
		now     time.Duration
		within  time.Duration
		want    answer
	}{
		"in time":                        {busy(100, map[carobward.TargetName]int{"a": 10}), 0, 0, 12 * ms, answer{OK: true}},
		"no time to be served":           {busy(100, map[carobward.TargetName]int{"a": 10}), 0, 0, 9 * ms, answer{After: cwlimit.RetryLeast}},
		"too many ahead":                 {busy(1000, map[carobward.TargetName]int{"a": 1}), 19, 0, 109 * ms, answer{After: 101 * ms}},
		"just not too many ahead":        {busy(1000, map[carobward.TargetName]int{"a": 1}), 19, 0, 211 * ms, answer{OK: true}},
		"its share of the queue is full": {busy(20, map[carobward.TargetName]int{"a": 1}), 10, 0, time.Hour, answer{After: 55 * ms}},
		"nothing ends for a second":      {busy(1000, map[carobward.TargetName]int{"a": 1}), 1, time.Second, 2 * time.Second, answer{After: 1010 * ms}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range test.waiting {
				if _, ok := test.queue.Add(start, waiter("a", time.Hour)); !ok {
					t.Fatal("a waiter was refused")
				}
			}

			after, ok := test.queue.Add(start.Add(test.now), waiter("a", test.within))
			if diff := cmp.Diff(answer{test.want.OK, test.want.After}, answer{ok, after}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAFloodLeavesRoom floods one target and shows that another one of the
// same service is admitted and served first.
func TestAFloodLeavesRoom(t *testing.T) {
	q := busy(100, map[carobward.TargetName]int{"flood": 20})
	for range 1000 {
		q.Add(start, waiter("flood", time.Second))
	}

	fee := waiter("fee", 10*time.Second)
	if after, ok := q.Add(start, fee); !ok {
		t.Fatalf("the other target was refused for %s", after)
	}

	if q.Next() != fee {
		t.Error("the flood goes before the other target")
	}
}

func TestLateOnesAreFoundInEachClass(t *testing.T) {
	q := busy(100, map[carobward.TargetName]int{"a": 1, "b": 30})
	q.Add(start, waiter("a", time.Hour))

	late := waiter("b", 100*ms)
	q.Add(start, late)

	if got := q.Late(start.Add(80 * ms)); got != nil {
		t.Error("given up too early")
	}

	if got := q.Late(start.Add(95 * ms)); got != late {
		t.Error("a late waiter of the class whose turn it isn't was not found")
	}
}

// TestOrder checks against a plain list that waiters of one target leave in
// the order of their deadlines and that no more than most wait.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := cwlimit.NewQueue(20)
		count := 0

		var last time.Time

		for _, n := range rapid.SliceOfN(rapid.IntRange(-50, 100), 1, 200).Draw(t, "steps") {
			if n >= 0 {
				if _, ok := q.Add(start, waiter("a", time.Duration(n)*ms)); ok {
					count++
					last = time.Time{}
				}
			} else if w := q.Next(); w != nil {
				if w.Deadline.Before(last) {
					t.Fatalf("%s after %s", w.Deadline, last)
				}

				last = w.Deadline
				q.Remove(w)
				count--
			}

			if q.Len() != count || count > 10 {
				t.Fatalf("%d wait, %d counted", q.Len(), count)
			}
		}
	})
}
