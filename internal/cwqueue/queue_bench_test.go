package cwqueue

import (
	"testing"
	"time"
)

// BenchmarkQueue takes one request through a queue of eight others: the request joins, the
// queue decides whether it may make health checks and who is first, and the request leaves.
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
