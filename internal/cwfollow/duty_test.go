package cwfollow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

func peer(id, domain string) cwmesh.Peer {
	return cwmesh.Peer{
		Node:  cwmesh.Node{ID: carobward.VMID(id), Domain: carobward.Domain(domain)},
		State: cwmesh.Ready, Heard: time.Now(),
	}
}

// fleetOf returns what an entry VM knows of a fleet.
func fleetOf(self cwmesh.Node, all []cwmesh.Peer) *fleet {
	f := &fleet{self: self}
	outside := map[carobward.Domain]int{}

	for _, p := range all {
		switch {
		case p.Domain != self.Domain:
			outside[p.Domain]++
		case p.ID != self.ID:
			f.peers = append(f.peers, p)
		}
	}

	for d, n := range outside {
		f.domains = append(f.domains, cwmesh.Summary{Domain: d, Alive: n})
	}

	return f
}

// TestPlace wants all entry VMs to come to the same order, with the first ones
// in different failure domains, and those left out that can't ask.
func TestPlace(t *testing.T) {
	peers := []cwmesh.Peer{peer("1", "a"), peer("2", "a"), peer("3", "b"), peer("4", "b"), peer("5", "c")}
	places := map[int]carobward.Domain{}

	for i := range peers {
		place := fleetOf(peers[i].Node, peers).place()
		if d, ok := places[place]; ok {
			t.Errorf("place %d twice, in %s and %s", place, d, peers[i].Domain)
		}

		places[place] = peers[i].Domain
	}

	first := map[carobward.Domain]bool{places[0]: true, places[1]: true, places[2]: true}
	if diff := cmp.Diff(map[carobward.Domain]bool{"a": true, "b": true, "c": true}, first); diff != "" {
		t.Error(diff)
	}

	// The one that comes first of the two in its failure domain.
	ahead := peers[0]
	if fleetOf(peers[0].Node, peers).place() < fleetOf(peers[1].Node, peers).place() {
		ahead = peers[1]
	}

	before := ahead
	before.ID = peers[0].ID

	if ahead.ID == before.ID {
		before.ID = peers[1].ID
	}

	for name, c := range map[string]struct {
		change func(*cwmesh.Peer)
		behind bool
	}{
		"leaving":       {func(p *cwmesh.Peer) { p.State = cwmesh.Leaving }, false},
		"not served":    {func(p *cwmesh.Peer) { p.Away = true }, false},
		"never heard":   {func(p *cwmesh.Peer) { p.Heard = time.Time{} }, false},
		"ready as ever": {func(*cwmesh.Peer) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			one := before
			c.change(&one)

			f := fleet{self: ahead.Node, peers: []cwmesh.Peer{one}}
			if (f.place() > 0) != c.behind {
				t.Errorf("place %d", f.place())
			}
		})
	}
}

// TestPlaceDomains wants a failure domain that the store serves nobody in to be
// passed over, and an entry VM that it does not serve to be outside.
func TestPlaceDomains(t *testing.T) {
	names := []carobward.Domain{"a", "b", "c", "d"}

	for _, last := range names {
		f := fleet{self: cwmesh.Node{ID: "1", Domain: last}}

		for _, d := range names {
			if d != last {
				f.domains = append(f.domains, cwmesh.Summary{Domain: d, Alive: 3, Away: 3})
			}
		}

		if f.place() != 0 {
			t.Errorf("%s has place %d, all others are not served", last, f.place())
		}

		f.away = true

		if f.place() != outside {
			t.Errorf("%s has place %d, and is not served", last, f.place())
		}
	}
}

func TestMustAsk(t *testing.T) {
	for name, c := range map[string]struct {
		place int
		age   time.Duration
		want  bool
	}{
		"the first watches":             {0, 0, true},
		"the second relies on it":       {1, 900 * time.Millisecond, false},
		"until it is silent":            {1, 1050 * time.Millisecond, true},
		"the third relies on both":      {2, 1050 * time.Millisecond, false},
		"until both are silent":         {2, 1200 * time.Millisecond, true},
		"the next waits for it":         {6, 1200 * time.Millisecond, false},
		"but not for long":              {6, 1500 * time.Millisecond, true},
		"the last of a small fleet":     {18, 1700 * time.Millisecond, true},
		"the next of a large one waits": {100, 1700 * time.Millisecond, false},
		"the last asks within the time": {500, 2200 * time.Millisecond, true},
		"one out of the order, late":    {-1, 1700 * time.Millisecond, true},
		"one out of the order, early":   {-1, 1000 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := mustAsk(c.place, c.age); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestStaleHerd lets a store be silent for 1.55 s and then answer again, to a fleet that
// has not heard the word of it since. Those that asked before stay without an answer;
// the first answer after that reaches all. Few may have asked by then: each one that
// does lists a thousand keys, which fills a small entry VM's link for a tenth of a
// second.
func TestStaleHerd(t *testing.T) {
	const (
		vms    = 472
		silent = 1550 * time.Millisecond
		spread = 150 * time.Millisecond // An answer, and the way to all.
		step   = time.Millisecond
	)

	asked := make([]bool, vms)
	first, calls := time.Duration(0), 0

	for age := time.Duration(0); first == 0 || age < first+spread; age += step {
		for place := watchers; place < vms; place++ {
			if asked[place] || !mustAsk(place, age) {
				continue
			}

			asked[place] = true
			calls++

			if age > silent && first == 0 {
				first = age
			}
		}
	}

	if calls > 45 {
		t.Errorf("%d of %d entry VMs ask", calls, vms)
	}
}

// TestBackOff has the pause of one entry VM: its own where it is alone with its
// trouble, longer the more others have the same.
func TestBackOff(t *testing.T) {
	for name, c := range map[string]struct {
		back time.Duration
		away int
		draw float64
		want time.Duration
	}{
		"alone":           {backFirst, 0, 0.5, backFirst},
		"alone for long":  {backMost, 0, 1, backMost},
		"with a few":      {backMost, 3, 1, backMost},
		"all of a small":  {backFirst, 18, 0.5, 1900 * time.Millisecond},
		"all of a larger": {backMost, 144, 0.5, 14500 * time.Millisecond},
		"a short draw":    {backFirst, 144, 0, backFirst},
		"a long draw":     {backMost, 144, 1, 29 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, backOff(c.back, c.away, c.draw)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBackOffSpread lets all entry VMs lose the store at the same moment. Their
// calls must be few at any time, and never far apart: the first after the
// store's return is what brings the changes.
func TestBackOffSpread(t *testing.T) {
	const (
		seconds   = 30
		callsMost = 15.0 // A second, of all: half more than the pace, since they begin together.
		apartMost = 1500 * time.Millisecond
	)

	for name, vms := range map[string]int{"a small fleet": 19, "a large one": 145} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(vms), 1))

			var calls []time.Duration

			for range vms {
				back := time.Duration(0)

				for at := time.Duration(0); at < seconds*time.Second; {
					back = min(backMost, max(backFirst, 2*back))
					at += backOff(back, vms-1, random.Float64())
					calls = append(calls, at)
				}
			}

			slices.Sort(calls)

			if rate := float64(len(calls)) / seconds; rate > callsMost {
				t.Errorf("%.1f calls a second", rate)
			}

			last := time.Duration(0)

			for _, at := range calls {
				if at-last > apartMost && at < seconds*time.Second {
					t.Errorf("no call from %s to %s", last, at)
				}

				last = at
			}
		})
	}
}

// TestCountAway counts those that the store does not serve and that may ask.
func TestCountAway(t *testing.T) {
	away, leaving, served := peer("1", "a"), peer("2", "a"), peer("3", "a")
	away.Away, leaving.Away, leaving.State = true, true, cwmesh.Leaving

	f := fleet{peers: []cwmesh.Peer{away, leaving, served}, domains: []cwmesh.Summary{{Domain: "b", Alive: 5, Away: 4}}}
	if n := f.countAway(); n != 5 {
		t.Errorf("%d", n)
	}
}

// TestPatience wants a small fleet that starts again to ask the store at once, and
// of a large one only those that all know.
func TestPatience(t *testing.T) {
	self := cwmesh.Node{ID: "1", Domain: "a"}
	large := []cwmesh.Summary{{Domain: "a", Size: fleetSmall}, {Domain: "b", Size: fleetSmall}}
	named := []cwmesh.Summary{{Domain: "a", Size: 10 * fleetSmall, Nodes: []cwmesh.Node{self}}}

	for name, c := range map[string]struct {
		seed bool
		list []cwmesh.Summary
		want time.Duration
	}{
		"no list yet":  {false, nil, 0},
		"a small one":  {false, large[:1], 0},
		"a large one":  {false, large, 3 * againTime / 2},
		"a seed":       {true, large, 0},
		"one of those": {false, named, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := patience(self, c.seed, c.list, 0.5); got != c.want {
				t.Errorf("%s", got)
			}
		})
	}
}
