package cwpick

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// BenchmarkChoice makes one choice without the health checks themselves: the views of an entry
// VM's subset, a draw of four servers, and the cost of each.
func BenchmarkChoice(b *testing.B) {
	const (
		servers = 12
		checks  = 4
		usual   = 200 * time.Millisecond
	)

	table := cwbackend.New(cwbackend.VM{ID: "vm-1", Domain: "a"})
	now := time.Now()

	var list []carobward.Backend
	for i := range servers {
		list = append(list, carobward.Backend{
			Instance: carobward.Instance(fmt.Sprint("i-", i)), Service: "records", Domain: carobward.Domain("ab"[i%2 : i%2+1]), Slots: 4,
		})
	}

	table.Put(list, nil, now)

	b.ReportAllocs()

	for b.Loop() {
		views := table.Views("records", now, usual)
		best := 0.0

		for _, v := range Sample(Global{}, views, checks, "a", nil, 0) {
			if FreeSlots(&v, 1, 3, 0, 1.3) > 0 {
				best = max(best, Cost(&v, Factors{Crowd: 1.3, Warmup: 2}, "a"))
			}
		}
	}
}
