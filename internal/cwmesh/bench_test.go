package cwmesh

import (
	"net"
	"net/netip"
	"testing"
)

// BenchmarkHeartbeat measures the handling of one heartbeat of a peer.
func BenchmarkHeartbeat(b *testing.B) {
	s := newSim(1, 5*40)
	s.run(simFormTime, nil)

	to, from := s.vms[0], s.vms[simDomains]
	raw := from.mesh.encode(from.mesh.heartbeat(s.now))
	addr := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(from.node.Peers)))

	b.ReportAllocs()

	for b.Loop() {
		to.mesh.handleDatagram(raw, addr)
	}
}

// BenchmarkRound measures sending the heartbeats of one round, to 39 peers.
func BenchmarkRound(b *testing.B) {
	s := newSim(1, 5*40)
	s.run(simFormTime, nil)

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		s.vms[0].mesh.sendRound(i)
		s.queue = s.queue[:0]
	}
}
