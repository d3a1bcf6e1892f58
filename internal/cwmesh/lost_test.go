package cwmesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// TestLostWire verifies that what an entry VM says of lost services arrives, and that more than a
// heartbeat names count as all.
func TestLostWire(t *testing.T) {
	var many []carobward.Service
	for i := range maxLost + 1 {
		many = append(many, carobward.Service(fmt.Sprint("service-", i)))
	}

	for name, c := range map[string]struct {
		lost      []carobward.Service
		has, more bool
	}{
		"none":         {nil, false, false},
		"one":          {[]carobward.Service{"records"}, true, false},
		"another":      {[]carobward.Service{"fees"}, false, false},
		"the most":     {many[:maxLost], false, false},
		"one too many": {many, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := &cwwire.Beat{}
			encodeLost(newLost(c.lost), b)

			got := decodeLost(b)
			if got.Has("records") != c.has || got.More != c.more || got.Any() != (len(c.lost) > 0) {
				t.Errorf("%+v", got)
			}
		})
	}

	// A peer that names more than allowed is not believed by name.
	b := &cwwire.Beat{}
	for _, s := range many {
		b.Lost = append(b.Lost, string(s))
	}

	if got := decodeLost(b); !got.More || len(got.Services) != maxLost {
		t.Errorf("%+v", got)
	}
}

// TestPickNodesLost verifies that a summary names entry VMs that reach all services beside the
// first by rank, if there are any, and says which of the named ones do not.
func TestPickNodesLost(t *testing.T) {
	lost := Lost{Services: []carobward.Service{"records"}}

	peers := func(count int, lostFrom int) []Peer {
		var list []Peer

		for i := range count {
			p := Peer{Node: Node{ID: carobward.VMID(fmt.Sprint("vm-", i))}, rank: uint64(i + 1)}
			if i >= lostFrom {
				p.Lost = lost
			}

			list = append(list, p)
		}

		return list
	}

	for name, c := range map[string]struct {
		ready []Peer
		named int
		lost  []carobward.VMID
	}{
		"all reach":          {peers(9, 9), rankedNodes + randomNodes, nil},
		"most are lost":      {peers(9, 4), 4, nil},
		"only one reaches":   {peers(4, 1), 4, []carobward.VMID{"vm-1", "vm-2", "vm-3"}},
		"all are lost":       {peers(3, 0), 3, []carobward.VMID{"vm-0", "vm-1", "vm-2"}},
		"the first by rank":  {append(peers(1, 0), peers(9, 9)[1:]...), rankedNodes + randomNodes, []carobward.VMID{"vm-0"}},
		"none takes callers": {nil, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var ready []*Peer
			for i := range c.ready {
				ready = append(ready, &c.ready[i])
			}

			nodes, gone := pickNodes(ready)
			slices.Sort(gone)

			if diff := cmp.Diff(c.lost, gone); diff != "" || len(nodes) != c.named {
				t.Errorf("%d named, %s", len(nodes), diff)
			}
		})
	}
}

// TestRelays verifies which entry VMs are asked to take requests: those that take callers, have a
// listener for it and do not say that they lack the service.
func TestRelays(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Node{ID: "self", Domain: "a"})
	add := func(id string, s State, relay carobward.Address, seen time.Time, lost ...carobward.Service) {
		table.updatePeer(Peer{Node: Node{ID: carobward.VMID(id), Domain: "a", Callers: "1.1.1.1:1", Relay: relay}, Boot: 1, State: s, LastSeen: seen, Lost: newLost(lost)})
	}

	add("good", Ready, "1.1.1.1:2", now)
	add("lost", Ready, "1.1.1.1:2", now, "records")
	add("other", Ready, "1.1.1.1:2", now, "fees")
	add("starting", Starting, "1.1.1.1:2", now)
	add("leaving", Leaving, "1.1.1.1:2", now)
	add("silent", Ready, "1.1.1.1:2", now.Add(-liveTimeout))
	add("old", Ready, "", now)

	var near []carobward.VMID
	for _, n := range table.NearRelays("records", now) {
		near = append(near, n.ID)
	}

	if diff := cmp.Diff([]carobward.VMID{"good", "other"}, near); diff != "" {
		t.Error(diff)
	}

	node := func(id string) Node {
		return Node{ID: carobward.VMID(id), Domain: "b", Relay: "2.2.2.2:2"}
	}

	table.recordContact(node("contact"))
	table.recordContact(node("lost"))
	table.recordContact(Node{ID: "old", Domain: "b"})
	table.addSummary(Summary{Domain: "b", Made: now, Nodes: []Node{node("named"), node("lost")}, Lost: []carobward.VMID{"lost"}}, true, now)

	named, others := table.FarRelays("b", now)
	if diff := cmp.Diff([][]Node{{node("named")}, {node("contact")}}, [][]Node{named, others}); diff != "" {
		t.Error(diff)
	}

	if named, others := table.FarRelays("b", now.Add(domainTimeout)); len(named)+len(others) > 0 {
		t.Errorf("of a silent failure domain: %v, %v", named, others)
	}

	later := now.Add(time.Second)
	table.addSummary(Summary{Domain: "b", Made: later}, true, later)

	if named, others := table.FarRelays("b", later); len(named)+len(others) > 0 {
		t.Errorf("of a failure domain in which nobody takes callers: %v, %v", named, others)
	}

	for _, n := range table.Callable("b", now) {
		if n.ID == "lost" {
			t.Error("callers are sent to an entry VM that lacks a service")
		}
	}
}
