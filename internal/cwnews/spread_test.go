package cwnews

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
)

// count notes what one exchange costs.
func (f *fleet) count(all ...proto.Message) {
	f.calls++

	for _, m := range all {
		f.bytes += proto.Size(m)
	}
}

// BenchmarkFleet gives the cost of the news a VM against the size of the
// fleet: while nothing changes, and for one server that leaves. Bytes are
// those of the messages, of both ways.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{19, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(vms, "VMs"), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(1, vms, false)
				until := func(end time.Duration) (calls, bytes float64) {
					f.calls, f.bytes = 0, 0
					for f.now < end {
						f.step(f.stale)
					}

					return float64(f.calls) / float64(vms), float64(f.bytes) / float64(vms)
				}

				until(signAt)
				idleCalls, idleBytes := until(signAt + 10*time.Second)
				f.vms[0].options.Table.Operator(f.clock.now, leaver, true)
				sign := f.now
				calls, bytes := until(sign + 10*time.Second)

				b.ReportMetric(idleCalls/10, "idle-calls/s/VM")
				b.ReportMetric(idleBytes/10, "idle-B/s/VM")
				b.ReportMetric(calls-idleCalls, "calls/leave/VM")
				b.ReportMetric(bytes-idleBytes, "B/leave/VM")
				b.ReportMetric((f.last - sign).Seconds(), "last-work-s")
			}
		})
	}
}

// BenchmarkTick gives the time of one tick of one VM against the marks at
// hand, where nothing changes.
func BenchmarkTick(b *testing.B) {
	for _, marks := range []int{0, 30, 300, 3000} {
		b.Run(fmt.Sprint(marks, "marks"), func(b *testing.B) {
			f := newFleet(1, 2, false)
			f.step(f.stale)

			v := f.vms[0]
			for i := range marks {
				v.options.Table.Operator(f.clock.now, carobward.Address(fmt.Sprintf("10.2.%d.%d:80", i/200, i%200)), true)
			}

			for range 30 {
				f.step(f.stale)
			}

			b.ReportAllocs()

			for b.Loop() {
				v.Apply()
				v.spread.Plan(f.clock.now, nil)
				v.options.Table.compare()
			}
		})
	}
}
