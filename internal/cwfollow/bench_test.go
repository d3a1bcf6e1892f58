package cwfollow

import (
	"fmt"
	"testing"

	"carobward.example/carobward/internal/cwmesh"
)

// BenchmarkOrder has the cost of the order of who asks the store, which each
// entry VM works out at each look whether to ask.
func BenchmarkOrder(b *testing.B) {
	var peers []cwmesh.Peer
	for i := range 144 {
		peers = append(peers, peer(fmt.Sprintf("front-hall-%d", i), fmt.Sprint(i%3)))
	}

	self := peer("self", "0").Node

	b.ReportAllocs()

	for b.Loop() {
		order(self, false, peers)
	}
}
