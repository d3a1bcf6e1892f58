package cwmesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
)

// newTable returns a table with so many peers of its failure domain, all heard at
// a time, and summaries of two others of the same size.
func newTable(each int, heard time.Time) *Table {
	t := NewTable(Node{ID: "self", Domain: "a"})

	for i := range each {
		t.heard(Peer{Node: testNode(3*i, "a"), Boot: 1, Heard: heard})
	}

	for n, d := range []carobward.Domain{"b", "c"} {
		s := Summary{Domain: d, Made: heard, Alive: each, Size: each}
		for i := range min(each, firstNodes+otherNodes) {
			s.Nodes = append(s.Nodes, testNode(3*i+n+1, d))
		}

		t.learn(s, true)
	}

	return t
}

func testNode(i int, d carobward.Domain) Node {
	return Node{ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: d, Callers: "c", Peers: "p"}
}

// TestSize wants the fleet to be shared by as many as were seen lately.
func TestSize(t *testing.T) {
	now := time.Now()
	table := newTable(2, now)

	for _, later := range []time.Duration{0, 10 * time.Second} {
		if got := table.Size(now.Add(later)); got != 7 {
			t.Errorf("%d after %s", got, later)
		}
	}

	if got := table.Size(now.Add(2 * keepTime)); got != 1 {
		t.Errorf("gone for long: %d", got)
	}
}

// TestHeard wants a peer whose listeners are not known to stay unknown, and one
// that was told of to be no one alive.
func TestHeard(t *testing.T) {
	now := time.Now()
	table := NewTable(Node{ID: "self", Domain: "a"})

	if table.heard(Peer{Node: Node{ID: "x"}, Boot: 1, Heard: now}) {
		t.Error("a peer without listeners is known")
	}

	table.told(Node{ID: "x", Domain: "a", Callers: "c", Peers: "p"})

	if len(table.Live(now)) != 0 || len(table.sendable(now)) != 1 {
		t.Error("a peer that was told of is alive, or gets no heartbeat")
	}

	if !table.heard(Peer{Node: Node{ID: "x"}, Boot: 1, Heard: now}) || len(table.Live(now)) != 1 {
		t.Error("a peer with known listeners is not alive when it is heard")
	}

	if len(table.sendable(now.Add(2*keepTime))) != 0 {
		t.Error("a peer that is silent for long still gets heartbeats")
	}
}

// TestSome wants a few peers of our failure domain, different ones each time,
// and none that is not heard any more.
func TestSome(t *testing.T) {
	const want = 3

	now := time.Now()
	table := newTable(48, now)
	drawn := map[carobward.VMID]bool{}

	for range 100 {
		list := table.some(now, want)
		if len(list) != want {
			t.Fatalf("%d peers", len(list))
		}

		for i := range list {
			if list[i].Domain != "a" {
				t.Errorf("%s of %s", list[i].ID, list[i].Domain)
			}

			drawn[list[i].ID] = true
		}
	}

	if len(drawn) < 40 {
		t.Errorf("only %d of 48 peers were ever drawn", len(drawn))
	}

	if list := table.some(now.Add(liveTime), want); len(list) > 0 {
		t.Errorf("%d peers that are not heard any more", len(list))
	}
}

// TestAhead wants the peers of our failure domain that have what we lack.
func TestAhead(t *testing.T) {
	now := time.Now()
	own := cwmirror.State{Index: 5, Top: 5}

	for name, want := range map[string][]carobward.VMID{
		"nobody": nil,
		"some":   {"vm-0", "vm-3"},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(4, now)

			for _, id := range want {
				table.heard(Peer{
					Node: table.peers[id].Node, Boot: 1, Heard: now, Copy: cwmirror.State{Index: 7, Top: 7},
				})
			}

			var got []carobward.VMID
			for _, p := range table.ahead(own, now) {
				got = append(got, p.ID)
			}

			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLiveNews wants the list of live peers to have what matters at once, though
// it is used again for a while.
func TestLiveNews(t *testing.T) {
	now := time.Now()
	soon := now.Add(liveStale / 2)

	for name, c := range map[string]struct {
		change func(*Table)
		at     time.Time
		live   int
		ready  int
	}{
		"nothing new": {func(*Table) {}, soon, 6, 6},
		"one stops":   {func(t *Table) { t.heard(Peer{Node: Node{ID: "vm-3"}, Boot: 1, Heard: soon, State: Leaving}) }, soon, 6, 5},
		"one more": {func(t *Table) {
			t.heard(Peer{Node: Node{ID: "new", Callers: "c"}, Boot: 1, Heard: soon, State: Ready})
		}, soon, 7, 7},
		"all silent": {func(*Table) {}, now.Add(liveTime), 0, 0},
		"one is back": {func(t *Table) {
			t.Live(now.Add(liveTime))
			t.heard(Peer{Node: Node{ID: "vm-3"}, Boot: 1, Heard: now.Add(liveTime + liveStale/2), State: Ready})
		}, now.Add(liveTime + liveStale/2), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(6, now)
			for id := range table.peers {
				table.peers[id].State = Ready
			}

			table.Live(now)
			c.change(table)

			ready := 0
			list := table.Live(c.at)

			for i := range list {
				if list[i].State == Ready {
					ready++
				}
			}

			if diff := cmp.Diff([]int{c.live, c.ready}, []int{len(list), ready}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// BenchmarkLive has the cost of the list of peers, which several parts take at
// each tick.
func BenchmarkLive(b *testing.B) {
	now := time.Now()
	table := newTable(48, now)

	b.ReportAllocs()

	for b.Loop() {
		table.Live(now)
	}
}

// TestKnownStays wants what an entry VM is about to tell of another failure domain to
// stay as it is while further entry VMs of it speak.
func TestKnownStays(t *testing.T) {
	table := NewTable(Node{ID: "vm-1", Domain: "a"})
	vm := func(n int) Node { return Node{ID: carobward.VMID(fmt.Sprint("far-", n)), Domain: "b"} }

	for n := range contactsMost {
		table.met(vm(n))
	}

	before := table.known()[0].Nodes
	want := slices.Clone(before)

	for n := range otherNodes {
		table.met(vm(contactsMost - 1 - n))
	}

	if diff := cmp.Diff(want, before); diff != "" {
		t.Error(diff)
	}
}

// TestCallable wants callers to be named the entry VMs of another failure domain while a
// recent summary names them, also one that came by way of a third, and nobody there once
// all of it may be gone.
func TestCallable(t *testing.T) {
	now := time.Now()
	later := now.Add

	for name, c := range map[string]struct {
		// last is when the last summary was made, direct whether it came from there.
		last   time.Duration
		direct bool
		at     time.Duration
		want   int
	}{
		"heard":                 {0, true, time.Second, 3},
		"by way of a third":     {4 * time.Second, false, 5 * time.Second, 3},
		"not heard since 3 s":   {0, true, 3 * time.Second, 0},
		"all gone for long":     {0, true, time.Minute, 0},
		"a third knows no more": {0, false, 4 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(3, now)
			s := Summary{Domain: "b", Made: later(c.last), Alive: 3, Size: 3}

			for i := range 3 {
				s.Nodes = append(s.Nodes, testNode(3*i+1, "b"))
			}

			table.learn(s, c.direct)
			table.met(testNode(1, "b")) // One of them spoke to us once.

			if got := len(table.Callable("b", later(c.at))); got != c.want {
				t.Errorf("%d entry VMs, want %d", got, c.want)
			}
		})
	}

	if got := len(newTable(3, now).Callable("d", now)); got != 0 {
		t.Errorf("%d entry VMs of a failure domain that is not known", got)
	}
}
