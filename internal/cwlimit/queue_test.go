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
func busy(maxWaiters int, running map[carobward.TargetName]int) *cwlimit.Queue {
	q := cwlimit.NewQueue(maxWaiters)
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
		"deadline can be met":           {busy(100, map[carobward.TargetName]int{"a": 10}), 0, 0, 12 * ms, answer{OK: true}},
		"deadline before the mean time": {busy(100, map[carobward.TargetName]int{"a": 10}), 0, 0, 9 * ms, answer{After: cwlimit.MinRetry}},
		"too many waiters ahead":        {busy(1000, map[carobward.TargetName]int{"a": 1}), 19, 0, 109 * ms, answer{After: 101 * ms}},
		"waiters ahead, still in time":  {busy(1000, map[carobward.TargetName]int{"a": 1}), 19, 0, 211 * ms, answer{OK: true}},
		"target's share of queue full":  {busy(20, map[carobward.TargetName]int{"a": 1}), 10, 0, time.Hour, answer{After: 55 * ms}},
		"no call ends for a second":     {busy(1000, map[carobward.TargetName]int{"a": 1}), 1, time.Second, 2 * time.Second, answer{After: 1010 * ms}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range test.waiting {
				if _, ok := test.queue.Add(start, waiter("a", time.Hour)); !ok {
					t.Fatal("Add refused a waiter with a distant deadline")
				}
			}

			after, ok := test.queue.Add(start.Add(test.now), waiter("a", test.within))
			if diff := cmp.Diff(answer{test.want.OK, test.want.After}, answer{ok, after}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestFloodLeavesRoom floods one target and checks that a request of another
// target of the same service is queued and admitted first.
func TestFloodLeavesRoom(t *testing.T) {
	q := busy(100, map[carobward.TargetName]int{"flood": 20})
	for range 1000 {
		q.Add(start, waiter("flood", time.Second))
	}

	fee := waiter("fee", 10*time.Second)
	if after, ok := q.Add(start, fee); !ok {
		t.Fatalf("the waiter of the other target was refused, retry after %s", after)
	}

	if q.Next() != fee {
		t.Error("a waiter of the flooding target is admitted before the other target")
	}
}

func TestLateFindsWaitersOfEachClass(t *testing.T) {
	q := busy(100, map[carobward.TargetName]int{"a": 1, "b": 30})
	q.Add(start, waiter("a", time.Hour))

	late := waiter("b", 100*ms)
	q.Add(start, late)

	if got := q.Late(start.Add(80 * ms)); got != nil {
		t.Error("Late returned a waiter whose deadline can still be met")
	}

	if got := q.Late(start.Add(95 * ms)); got != late {
		t.Error("Late did not return the late waiter of a class that isn't next")
	}
}

// TestOrder checks that waiters of one target are admitted in the order of
// their deadlines, and that no more than the target's share of the queue wait.
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
					t.Fatalf("deadline %s was admitted after deadline %s", w.Deadline, last)
				}

				last = w.Deadline
				q.Remove(w)
				count--
			}

			if q.Len() != count || count > 10 {
				t.Fatalf("queue length %d, want %d and at most 10", q.Len(), count)
			}
		}
	})
}
