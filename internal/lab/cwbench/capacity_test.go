package cwbench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwvmlist"
)

// serverCounts are the fleet sizes that docs/CAPACITY.md covers.
var serverCounts = []int{30, 660, 6600}

// perService is the number of servers in each service.
const perService = 30

// servers returns a VM list with a number of servers.
func servers(count int) []carobward.VM {
	var list []carobward.VM

	for i := range count {
		list = append(list, carobward.VM{
			Address: carobward.Address(fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)),
			Service: carobward.Service(fmt.Sprintf("service-%d", i/perService)),
			Domain:  carobward.Domain(fmt.Sprintf("domain-%d", i%16)),
		})
	}

	return list
}

// BenchmarkTableUpdate measures an update with an unchanged VM list.
func BenchmarkTableUpdate(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := servers(n)
			t := cwserver.NewTable()
			b.ReportAllocs()

			for b.Loop() {
				t.Update(list)
			}
		})
	}
}

// BenchmarkTableHeap measures the heap of a table in bytes per server, with eight
// calls in flight on each.
func BenchmarkTableHeap(b *testing.B) {
	const calls = 8

	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				list := servers(n)
				before := heapInUse()
				t := cwserver.NewTable()
				t.Update(list)

				for i := range list {
					if i%perService == 0 {
						beginAll(t, list[i].Service, calls)
					}
				}

				b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/server")
				runtime.KeepAlive(t)
				runtime.KeepAlive(list)
			}
		})
	}
}

func beginAll(t *cwserver.Table, s carobward.Service, calls int) {
	for _, one := range t.Of(s) {
		for range calls {
			one.Begin(epoch)
		}
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// BenchmarkListParse measures parsing a VM list and reports its size.
func BenchmarkListParse(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var groups []cwvmlist.Group
			for _, v := range servers(n) {
				groups = append(groups, cwvmlist.Group{
					Targets: []carobward.Address{v.Address},
					Labels:  cwvmlist.Labels{Service: v.Service, Domain: v.Domain, State: v.State.String()},
				})
			}

			raw, err := json.Marshal(groups)
			if err != nil {
				b.Fatal(err)
			}

			b.ReportAllocs()

			for b.Loop() {
				if _, err := cwvmlist.Parse(raw); err != nil {
					b.Fatal(err)
				}
			}

			b.ReportMetric(float64(len(raw)), "list-bytes")
		})
	}
}
