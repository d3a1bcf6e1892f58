package cwbackend

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
)

// BenchmarkPut applies one changed entry at an entry VM of a large failure domain, by the
// number of servers. Each entry VM does this for each change.
func BenchmarkPut(b *testing.B) {
	for _, servers := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			t, list := largeTable(servers)
			now := time.Now()

			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				one := list[i%len(list)]
				one.Leaving = i%2 == 0
				t.Put([]carobward.Backend{one}, nil, now)
			}
		})
	}
}

// largeTable returns a table with servers in five failure domains and the entry VMs of one of
// them.
func largeTable(servers int) (*Table, []carobward.Backend) {
	const domains, peers = 5, 200

	t := New(VM{ID: "front-0", Domain: "d-0"})
	list := make([]carobward.Backend, 0, servers)

	for i := range servers {
		list = append(list, carobward.Backend{
			Instance: carobward.Instance(fmt.Sprint("i-", i)), Address: carobward.Address(fmt.Sprint("10.0.0.1:", i)),
			Service: carobward.Service(fmt.Sprint("s-", i%9/8)), Domain: carobward.Domain(fmt.Sprint("d-", i%domains)), Slots: 4,
		})
	}

	now := time.Now()
	t.Put(list, nil, now)

	var neighbours []carobward.VMID
	for i := range peers {
		neighbours = append(neighbours, carobward.VMID(fmt.Sprint("front-", 1+i)))
	}

	t.SetSharers(neighbours, peers, now)
	t.SetNeighbours(neighbours)

	return t, list
}

// BenchmarkNeighbourLarge adds or removes one entry VM.
func BenchmarkNeighbourLarge(b *testing.B) {
	t, _ := largeTable(10_000)

	var list []carobward.VMID
	for i := range 200 {
		list = append(list, carobward.VMID(fmt.Sprint("front-", 1+i)))
	}

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		t.SetNeighbours(list[:199+i%2])
	}
}

// BenchmarkUnchangedNeighbours sets unchanged neighbours, which entry VMs do ten times a
// second.
func BenchmarkUnchangedNeighbours(b *testing.B) {
	t, _ := largeTable(10_000)

	var list []carobward.VMID
	for i := range 200 {
		list = append(list, carobward.VMID(fmt.Sprint("front-", 1+i)))
	}

	b.ReportAllocs()

	for b.Loop() {
		t.SetNeighbours(list)
	}
}

// BenchmarkAnnouncements collects the announcements of servers for one heartbeat.
func BenchmarkAnnouncements(b *testing.B) {
	t, _ := largeTable(10_000)
	now := time.Now()

	b.ReportAllocs()

	for b.Loop() {
		t.Announcements(now, false)
	}
}
