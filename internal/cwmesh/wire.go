package cwmesh

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

func node(n *cwwire.Node) Node {
	return Node{
		ID: carobward.VMID(n.GetId()), Domain: carobward.Domain(n.GetDomain()),
		Callers: carobward.Address(n.GetCallers()), Peers: carobward.Address(n.GetPeers()),
	}
}

func wireNode(n Node) *cwwire.Node {
	return &cwwire.Node{Id: string(n.ID), Domain: string(n.Domain), Callers: string(n.Callers), Peers: string(n.Peers)}
}

func wireNodes(list []Node) []*cwwire.Node {
	var out []*cwwire.Node
	for _, n := range list {
		out = append(out, wireNode(n))
	}

	return out
}

// encodeFresh returns an age for a message.
func encodeFresh(fresh, now time.Time) uint32 {
	if fresh.IsZero() {
		return 0
	}

	return uint32(max(0, now.Sub(fresh).Milliseconds())) + 1
}

// decodeFresh returns the time that an age of a message speaks of, or the zero
// time, which is older than any.
func decodeFresh(age uint32, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}

	return now.Add(-time.Duration(age-1) * time.Millisecond)
}

// summary reads a summary. One that was never put together has no time.
func summary(d *cwwire.Domain, now time.Time) Summary {
	s := Summary{
		Domain: carobward.Domain(d.GetName()), Made: decodeFresh(d.GetAge(), now),
		Alive: int(d.GetAlive()), Size: int(d.GetSize()), Away: int(d.GetAway()), Rate: int(d.GetRate()),
	}
	for _, n := range d.GetNodes() {
		s.Nodes = append(s.Nodes, node(n))
	}

	return s
}

func wireSummary(s *Summary, now time.Time) *cwwire.Domain {
	return &cwwire.Domain{
		Name: string(s.Domain), Age: encodeFresh(s.Made, now),
		Alive: uint32(s.Alive), Size: uint32(s.Size), Away: uint32(s.Away), Rate: uint32(s.Rate), Nodes: wireNodes(s.Nodes),
	}
}

func wireSummaries(list []Summary, now time.Time) []*cwwire.Domain {
	var out []*cwwire.Domain
	for i := range list {
		out = append(out, wireSummary(&list[i], now))
	}

	return out
}
