package cwbench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// processes starts entry VMs and servers as separate processes, with targets
// in force.
func processes(b *testing.B, vms, servers int) (*cwtest.Fleet, Processes) {
	b.Helper()

	f := cwtest.NewFleet(b)

	var p Processes

	for range servers {
		address := f.StartServer(b, string(service), "--work", "1ms", "--slots", "64")
		p.Servers = append(p.Servers, carobward.Address(address))
	}

	operators := ""

	for i := range vms {
		vm := f.StartVM(b, fmt.Sprintf("vm-%d", i), fmt.Sprint(i%3))
		p.Lookup = append(p.Lookup, carobward.Address(vm.Lookup))
		operators = vm.Operators
	}

	f.List(b)

	out, code := cwtest.Run(b, f.Carobward, "apply", "--vm", operators, cwtest.File(b, "targets.jsonc", fmt.Sprintf(
		`{"targets": [{"name": "quick", "service": %q, "promise": "quick", "match": [{"path": %q}]}]}`, service, pathQuick)))
	if code != 0 {
		b.Fatal(out)
	}

	f.InForce(b, 1, vms)

	return f, p
}

// spent is what all entry VMs have used.
func spent(b *testing.B, f *cwtest.Fleet) cwtest.Cost {
	b.Helper()

	var sum cwtest.Cost

	for _, v := range f.VMs {
		c := v.Process.Cost(b)
		sum.Processor += c.Processor
		sum.Resident += c.Resident
	}

	return sum
}

// BenchmarkCarry is the processor time that a call costs one entry VM, with
// its control, against the calls a second. Run it with -benchtime 1x.
func BenchmarkCarry(b *testing.B) {
	for _, rate := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			f, p := processes(b, 1, 4)

			s := Atlas()
			s.Slots, s.Work = 64, time.Millisecond
			s.Between, s.Client = 0, 0
			s.Warm, s.Length = 0, 5*time.Second
			s.Load = float64(rate) / (64 * 4 * 1000)

			for b.Loop() {
				before := spent(b, f)

				list, err := Attached(context.Background(), s, p, []Variant{{Name: nameProduct}}, 1)
				if err != nil {
					b.Fatal(err)
				}

				after, r := spent(b, f), list[0]
				if r.Answered != r.Calls {
					b.Logf("%d of %d answered", r.Answered, r.Calls)
				}

				b.ReportMetric(float64((after.Processor-before.Processor).Microseconds())/float64(r.Total), "cpu-µs/call")
				b.ReportMetric(float64(after.Resident)/(1<<20), "MB")
			}
		})
	}
}

// BenchmarkIdle is what an entry VM costs without calls, against the number
// of entry VMs. Run it with -benchtime 1x. The list is read ten times a
// second here.
func BenchmarkIdle(b *testing.B) {
	const watched = 5 * time.Second

	for _, vms := range []int{3, 10, 20} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			f, _ := processes(b, vms, 3)

			for b.Loop() {
				before := spent(b, f)
				<-time.After(watched)
				after := spent(b, f)

				used := (after.Processor - before.Processor).Seconds() / watched.Seconds() / float64(vms)
				b.ReportMetric(percent(int(used*1e6), 1e6), "%core/VM")
				b.ReportMetric(float64(after.Resident)/float64(vms)/(1<<20), "MB/VM")
			}
		})
	}
}
