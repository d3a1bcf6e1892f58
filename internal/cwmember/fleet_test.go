package cwmember_test

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmember"
)

// BenchmarkFleet measures the cost a VM against the fleet's size: bytes a
// second that it sends (with the headers of UDP and IP) while nothing happens
// and while 2,000 VMs are restarted a day, and the seconds until a crash is
// suspected by the first and by all, and known by all.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{16, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := range b.N {
				n := newNetwork(size, uint64(i), machine)
				until(b, n, 3*time.Minute, "the fleet has met", n.whole)
				n.run(2*time.Minute, nil)
				b.ReportMetric(n.rate(time.Minute, 0), "calm-B/s")
				b.ReportMetric(n.rate(time.Minute, 24*time.Hour/2000), "restarts-B/s")

				n.vms[0].down = true
				first := until(b, n, time.Minute, "one suspects", func() bool { return n.doubt(0, carobward.PeerSuspect) > 0 })
				all := first + until(b, n, time.Minute, "all suspect", func() bool { return n.doubt(0, carobward.PeerSuspect) == size-1 })
				known := all + until(b, n, time.Minute, "all know", func() bool { return n.doubt(0, carobward.PeerDead) == size-1 })

				b.ReportMetric(first.Seconds(), "first-suspects-s")
				b.ReportMetric(all.Seconds(), "all-suspect-s")
				b.ReportMetric(known.Seconds(), "all-know-s")
			}
		})
	}
}

// BenchmarkParts measures the bytes a second that a VM sends, on average in
// the worst second, after a failure domain is lost and after a region has
// been cut off for a minute, and the seconds until all see all again.
func BenchmarkParts(b *testing.B) {
	for _, size := range []int{50, 100, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := range b.N {
				n := settled(b, size, uint64(i))
				n.cut = func(from, to int) bool { return (from%8 == 2) != (to%8 == 2) }
				b.ReportMetric(n.worst(time.Minute), "cut-B/s")

				n.cut = func(int, int) bool { return false }
				begin := n.now
				b.ReportMetric(n.worst(10*time.Second), "healed-B/s")
				until(b, n, 2*time.Minute, "all see all", n.whole)
				b.ReportMetric(n.now.Sub(begin).Seconds(), "healed-s")

				for j, v := range n.vms {
					v.down = j%16 == 3
				}

				b.ReportMetric(n.worst(20*time.Second), "domain-lost-B/s")
			}
		})
	}
}

// worst returns the bytes a VM in the worst second.
func (n *network) worst(d time.Duration) float64 {
	most := 0.0
	for range d / time.Second {
		most = max(most, n.rate(time.Second, 0))
	}

	return most
}

// rate returns the bytes a second and VM, while a VM is restarted each every.
func (n *network) rate(d, every time.Duration) float64 {
	before := n.bytes

	for left := d; left > 0; {
		part := left
		if every > 0 {
			part = min(every, left)
			i := n.rng.IntN(len(n.vms)-1) + 1
			n.vms[i] = &vm{actor: machine(i, n)}
		}

		n.run(part, nil)
		left -= part
	}

	return float64(n.bytes-before) / d.Seconds() / float64(len(n.vms))
}

// doubt counts who sees a VM in a state or one that overrides it.
func (n *network) doubt(of int, state carobward.PeerState) int {
	count := 0

	for i := range n.vms {
		if p, _ := n.state(i, of); i != of && p.State >= state {
			count++
		}
	}

	return count
}

// BenchmarkTick measures one tick in a settled fleet.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{16, 200, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := settled(b, size, 1)
			m := n.vms[0].actor.(*cwmember.Machine)
			now := n.now

			b.ReportAllocs()

			for b.Loop() {
				now = now.Add(step)
				m.Tick(now)
			}
		})
	}
}
