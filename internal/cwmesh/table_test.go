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

// newTable returns a table with the given number of peers in its failure domain, all heard
// from at the given time, and summaries of two other failure domains of the same size.
func newTable(each int, heard time.Time) *Table {
	t := NewTable(Node{ID: "self", Domain: "a"})

	for i := range each {
		t.updatePeer(Peer{Node: testNode(3*i, "a"), Boot: 1, LastSeen: heard})
	}

	for n, d := range []carobward.Domain{"b", "c"} {
		s := Summary{Domain: d, Made: heard, Alive: each, Size: each}
		for i := range min(each, rankedNodes+randomNodes) {
			s.Nodes = append(s.Nodes, testNode(3*i+n+1, d))
		}

		t.addSummary(s, true, heard)
	}

	return t
}

func testNode(i int, d carobward.Domain) Node {
	return Node{ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: d, Callers: "c", Peers: "p"}
}

// TestSize checks that budgets are divided by the largest recent number of entry VMs.
func TestSize(t *testing.T) {
	now := time.Now()
	table := newTable(2, now)

	for _, later := range []time.Duration{0, 10 * time.Second} {
		if got := table.Size(now.Add(later)); got != 7 {
			t.Errorf("size %d after %s", got, later)
		}
	}

	if got := table.Size(now.Add(2 * keepTime)); got != 1 {
		t.Errorf("size %d after twice keepTime", got)
	}
}

// TestSilentDomainKeepsPart checks that a limit over the fleet is divided by all failure domains,
// also by one that has been silent for long: it may be cut off and still serve callers. One of
// unknown size counts as large as this one.
func TestSilentDomainKeepsPart(t *testing.T) {
	const each = 4

	start := time.Now()
	domains := []carobward.Domain{"a", "b", "c", "d"}
	table := newTable(each, start)

	for name, later := range map[string]time.Duration{"at once": 0, "after a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(later)
			for i := range each {
				table.updatePeer(Peer{Node: testNode(3*i, "a"), Boot: 1, LastSeen: now})
			}

			near, all := table.fleetSize(domains, now)
			if diff := cmp.Diff([]int{each + 1, 2*(each+1) + 2*each}, []int{near, all}); diff != "" {
				t.Error(diff)
			}
		})
	}

	if near, all := table.fleetSize(domains[:3], start.Add(2*domainShareTime)); all != near {
		t.Errorf("%d of %d entry VMs are elsewhere after two hours without a word", all-near, all)
	}
}

// TestUpdatePeer checks that a peer whose addresses are not known stays unknown, and that one
// that was only named does not count as alive.
func TestUpdatePeer(t *testing.T) {
	now := time.Now()
	table := NewTable(Node{ID: "self", Domain: "a"})

	if table.updatePeer(Peer{Node: Node{ID: "x"}, Boot: 1, LastSeen: now}) {
		t.Error("a peer without addresses is known")
	}

	table.addPeer(Node{ID: "x", Domain: "a", Callers: "c", Peers: "p"})

	if len(table.Live(now)) != 0 || len(table.recipients(now)) != 1 {
		t.Error("a peer that was only named is alive, or gets no heartbeat")
	}

	if !table.updatePeer(Peer{Node: Node{ID: "x"}, Boot: 1, LastSeen: now}) || len(table.Live(now)) != 1 {
		t.Error("a peer with known addresses is not alive after a heartbeat")
	}

	if len(table.recipients(now.Add(2*keepTime))) != 0 {
		t.Error("a peer that is silent for longer than keepTime still gets heartbeats")
	}
}

// TestLateHeartbeat checks that a heartbeat that arrives after a newer one of its sender, or after one
// of the sender's next run, changes nothing.
func TestLateHeartbeat(t *testing.T) {
	now := time.Now()
	beat := func(boot, number uint64, s State) Peer {
		return Peer{Node: Node{ID: "x", Domain: "a", Callers: "c", Peers: "p"}, Boot: boot, number: number, State: s, LastSeen: now}
	}

	for name, c := range map[string]struct {
		beats []Peer
		want  State
	}{
		"in order":                {[]Peer{beat(7, 1, Ready), beat(7, 2, Leaving)}, Leaving},
		"late":                    {[]Peer{beat(7, 2, Leaving), beat(7, 1, Ready)}, Leaving},
		"twice":                   {[]Peer{beat(7, 1, Ready), beat(7, 2, Leaving), beat(7, 1, Ready)}, Leaving},
		"next run":                {[]Peer{beat(7, 9, Leaving), beat(5, 1, Ready)}, Ready},
		"late, of the run before": {[]Peer{beat(7, 9, Ready), beat(5, 1, Starting), beat(7, 10, Leaving)}, Starting},
		"of two runs before":      {[]Peer{beat(7, 9, Ready), beat(5, 1, Starting), beat(8, 1, Ready), beat(7, 10, Leaving)}, Ready},
		"without numbers":         {[]Peer{beat(7, 0, Ready), beat(7, 0, Leaving)}, Leaving},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Node{ID: "self", Domain: "a"})
			for _, p := range c.beats {
				table.updatePeer(p)
			}

			if diff := cmp.Diff(c.want, table.Live(now)[0].State); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSampleLive checks that the sample has peers of this failure domain, different ones each time,
// and none that is not alive.
func TestSampleLive(t *testing.T) {
	const want = 3

	now := time.Now()
	table := newTable(48, now)
	drawn := map[carobward.VMID]bool{}

	for range 100 {
		list := table.sampleLive(now, want)
		if len(list) != want {
			t.Fatalf("the sample has %d peers", len(list))
		}

		for i := range list {
			if list[i].Domain != "a" {
				t.Errorf("the sample has %s of failure domain %s", list[i].ID, list[i].Domain)
			}

			drawn[list[i].ID] = true
		}
	}

	if len(drawn) < 40 {
		t.Errorf("only %d of 48 peers were ever drawn", len(drawn))
	}

	if list := table.sampleLive(now.Add(liveTimeout), want); len(list) > 0 {
		t.Errorf("the sample has %d peers that are not alive", len(list))
	}
}

// TestAhead checks which peers of this failure domain are ahead.
func TestAhead(t *testing.T) {
	now := time.Now()
	own := cwmirror.State{Index: 5, Top: 5}

	for name, want := range map[string][]carobward.VMID{
		"none": nil,
		"some": {"vm-0", "vm-3"},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(4, now)

			for _, id := range want {
				table.updatePeer(Peer{
					Node: table.peers[id].Node, Boot: 1, LastSeen: now, Replica: cwmirror.State{Index: 7, Top: 7},
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

// TestLiveCache checks that the cached list of live peers follows changes of their number and
// state at once.
func TestLiveCache(t *testing.T) {
	now := time.Now()
	soon := now.Add(liveCacheTime / 2)

	for name, c := range map[string]struct {
		change func(*Table)
		at     time.Time
		live   int
		ready  int
	}{
		"no change":  {func(*Table) {}, soon, 6, 6},
		"one leaves": {func(t *Table) { t.updatePeer(Peer{Node: Node{ID: "vm-3"}, Boot: 1, LastSeen: soon, State: Leaving}) }, soon, 6, 5},
		"one joins": {func(t *Table) {
			t.updatePeer(Peer{Node: Node{ID: "new", Callers: "c"}, Boot: 1, LastSeen: soon, State: Ready})
		}, soon, 7, 7},
		"all silent": {func(*Table) {}, now.Add(liveTimeout), 0, 0},
		"one is back": {func(t *Table) {
			t.Live(now.Add(liveTimeout))
			t.updatePeer(Peer{Node: Node{ID: "vm-3"}, Boot: 1, LastSeen: now.Add(liveTimeout + liveCacheTime/2), State: Ready})
		}, now.Add(liveTimeout + liveCacheTime/2), 1, 1},
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

// BenchmarkLive measures the list of live peers, which several callers need at
// each tick.
func BenchmarkLive(b *testing.B) {
	now := time.Now()
	table := newTable(48, now)

	b.ReportAllocs()

	for b.Loop() {
		table.Live(now)
	}
}

// TestKnownDomainsCloned checks that a list of contacts that is about to be sent is not modified by
// further heartbeats from that failure domain.
func TestKnownDomainsCloned(t *testing.T) {
	table := NewTable(Node{ID: "vm-1", Domain: "a"})
	vm := func(n int) Node { return Node{ID: carobward.VMID(fmt.Sprint("far-", n)), Domain: "b"} }

	for n := range maxContacts {
		table.recordContact(vm(n))
	}

	before := table.knownDomains()[0].Contacts
	want := slices.Clone(before)

	for n := range randomNodes {
		table.recordContact(vm(maxContacts - 1 - n))
	}

	if diff := cmp.Diff(want, before); diff != "" {
		t.Error(diff)
	}
}

// TestCallable checks that callers are told the entry VMs of another failure domain while a
// recent summary names them, also one that came through a third failure domain, and none
// once all of them may be dead.
func TestCallable(t *testing.T) {
	now := time.Now()
	later := now.Add

	for name, c := range map[string]struct {
		// last is when the last summary was made, direct whether it came from that failure domain.
		last   time.Duration
		direct bool
		at     time.Duration
		want   int
	}{
		"direct":               {0, true, time.Second, 3},
		"through a third":      {4 * time.Second, false, 5 * time.Second, 3},
		"silent for 3 s":       {0, true, 3 * time.Second, 0},
		"silent for a minute":  {0, true, time.Minute, 0},
		"only through a third": {0, false, 4 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(3, now)
			s := Summary{Domain: "b", Made: later(c.last), Alive: 3, Size: 3}

			for i := range 3 {
				s.Nodes = append(s.Nodes, testNode(3*i+1, "b"))
			}

			table.addSummary(s, c.direct, later(c.last))
			table.recordContact(testNode(1, "b")) // One of them has sent a heartbeat.

			if got := len(table.Callable("b", later(c.at))); got != c.want {
				t.Errorf("%d entry VMs, want %d", got, c.want)
			}
		})
	}

	if got := len(newTable(3, now).Callable("d", now)); got != 0 {
		t.Errorf("%d entry VMs of an unknown failure domain", got)
	}
}
