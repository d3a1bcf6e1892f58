package cwqueue

import (
	"testing"
	"time"
)

// BenchmarkQueue has the cost of one request's way through the queue: it joins eight that
// wait, is told whether to make health checks, and a freed slot goes to the first.
func BenchmarkQueue(b *testing.B) {
	const waiting = 8

	var q Queue[*testWaiter]

	for i := range waiting {
		q.Join(&testWaiter{schedule: schedule(1, time.Duration(i)*time.Millisecond)})
	}

	one := &testWaiter{schedule: schedule(1, 0)}
	all := func(*testWaiter) bool { return true }

	b.ReportAllocs()

	for b.Loop() {
		q.Join(one)
		q.MayCheck(one, begin)
		q.First(begin, all)
		q.Leave(one)
	}
}
