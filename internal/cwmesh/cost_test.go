package cwmesh

import (
	"net"
	"net/netip"
	"testing"
)

// BenchmarkBeat has the cost of taking one heartbeat of a peer.
func BenchmarkBeat(b *testing.B) {
	s := newSim(1, 5*40)
	s.run(simForms, nil)

	to, from := s.vms[0], s.vms[simDomains]
	raw := from.mesh.encode(from.mesh.beat(s.now))
	at := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(from.node.Peers)))

	b.ReportAllocs()

	for b.Loop() {
		to.mesh.datagram(raw, at)
	}
}

// BenchmarkRound has the cost of sending the heartbeats of one round, to 39 peers.
func BenchmarkRound(b *testing.B) {
	s := newSim(1, 5*40)
	s.run(simForms, nil)

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		s.vms[0].mesh.turn(i)
		s.queue = s.queue[:0]
	}
}
