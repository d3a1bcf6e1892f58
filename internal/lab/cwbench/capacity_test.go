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

// The sizes for docs/CAPACITY.md: servers in services of thirty.
var serverCounts = []int{30, 660, 6600}

const perService = 30

// servers lists so many servers as the VM list has them.
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

// BenchmarkTableUpdate is the cost of taking a VM list that has not changed.
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

// BenchmarkTableHeap is the heap that a table takes, with a few of our calls
// out on each server.
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

// BenchmarkListParse is the cost of reading the VM list, and its bytes.
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
