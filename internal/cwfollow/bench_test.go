package cwfollow

import (
	"fmt"
	"testing"

	"carobward.example/carobward/internal/cwmesh"
)

// BenchmarkPlace shows the cost of the place in the query order, which each entry VM computes each
// time it checks whether to query the store. The entry VMs of other failure domains are known only
// as summaries, since 530 entry VMs known one by one take 131 us and 56 KB.
func BenchmarkPlace(b *testing.B) {
	var peers []cwmesh.Peer
	for i := range 530 {
		peers = append(peers, peer(fmt.Sprintf("front-hall-%d", i), fmt.Sprint(i%5)))
	}

	f := fleetOf(peers[0].Node, peers)

	b.ReportAllocs()

	for b.Loop() {
		f.place()
	}
}
