package cwfollow

import (
	"fmt"
	"testing"

	"carobward.example/carobward/internal/cwmesh"
)

// BenchmarkPlace has the cost of the place in the order of who asks the store,
// which each entry VM works out at each look whether to ask: 131 us and 56 KB for
// 530 entry VMs before other failure domains were known as a whole.
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
