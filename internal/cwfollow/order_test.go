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
		State: cwmesh.Ready, LastSeen: time.Now(),
	}
}

// fleetOf returns the state of a fleet as an entry VM of it sees it.
func fleetOf(self cwmesh.Node, all []cwmesh.Peer) *fleet {
	f := &fleet{self: self}
	sizes := map[carobward.Domain]int{}

	for _, p := range all {
		switch {
		case p.Domain != self.Domain:
			sizes[p.Domain]++
		case p.ID != self.ID:
			f.peers = append(f.peers, p)
		}
	}

	for d, n := range sizes {
		f.domains = append(f.domains, cwmesh.Summary{Domain: d, Alive: n})
	}

	return f
}

// TestPlace checks that all entry VMs compute the same order, that the first ones are in different
// failure domains, and that entry VMs that can't query the store are left out.
func TestPlace(t *testing.T) {
	peers := []cwmesh.Peer{peer("1", "a"), peer("2", "a"), peer("3", "b"), peer("4", "b"), peer("5", "c")}
	places := map[int]carobward.Domain{}

	for i := range peers {
		place := fleetOf(peers[i].Node, peers).place()
		if d, ok := places[place]; ok {
			t.Errorf("place %d is taken twice, in %s and %s", place, d, peers[i].Domain)
		}

		places[place] = peers[i].Domain
	}

	first := map[carobward.Domain]bool{places[0]: true, places[1]: true, places[2]: true}
	if diff := cmp.Diff(map[carobward.Domain]bool{"a": true, "b": true, "c": true}, first); diff != "" {
		t.Error(diff)
	}

	// ahead is the first in the order of the two in failure domain "a".
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
		"leaving":          {func(p *cwmesh.Peer) { p.State = cwmesh.Leaving }, false},
		"not served":       {func(p *cwmesh.Peer) { p.StoreDown = true }, false},
		"never seen":       {func(p *cwmesh.Peer) { p.LastSeen = time.Time{} }, false},
		"ready and served": {func(*cwmesh.Peer) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			one := before
			c.change(&one)

			f := fleet{self: ahead.Node, peers: []cwmesh.Peer{one}}
			if (f.place() > 0) != c.behind {
				t.Errorf("got place %d", f.place())
			}
		})
	}
}

// TestPlaceDomains checks that failure domains in which the store serves no entry VM are skipped,
// and that an entry VM has no place if the store doesn't serve it.
func TestPlaceDomains(t *testing.T) {
	names := []carobward.Domain{"a", "b", "c", "d"}

	for _, last := range names {
		f := fleet{self: cwmesh.Node{ID: "1", Domain: last}}

		for _, d := range names {
			if d != last {
				f.domains = append(f.domains, cwmesh.Summary{Domain: d, Alive: 3, StoreDown: 3})
			}
		}

		if f.place() != 0 {
			t.Errorf("%s has place %d though the store serves no other domain", last, f.place())
		}

		f.storeDown = true

		if f.place() != noPlace {
			t.Errorf("%s has place %d though the store doesn't serve it", last, f.place())
		}
	}
}

// TestShouldQuery checks when an entry VM queries the store, given its place in the order and the
// age of the newest answer.
func TestShouldQuery(t *testing.T) {
	for name, c := range map[string]struct {
		place int
		age   time.Duration
		want  bool
	}{
		"first, a watcher":             {0, 0, true},
		"second relies on the first":   {1, 900 * time.Millisecond, false},
		"second, first is silent":      {1, 1050 * time.Millisecond, true},
		"third relies on both":         {2, 1050 * time.Millisecond, false},
		"third, both are silent":       {2, 1200 * time.Millisecond, true},
		"seventh relies on them":       {6, 1200 * time.Millisecond, false},
		"seventh, later":               {6, 1500 * time.Millisecond, true},
		"last of a small fleet":        {18, 1700 * time.Millisecond, true},
		"middle of a large one waits":  {100, 1700 * time.Millisecond, false},
		"last of a large one, in time": {500, 2200 * time.Millisecond, true},
		"not in the order, late":       {-1, 1700 * time.Millisecond, true},
		"not in the order, early":      {-1, 1000 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := shouldQuery(c.place, c.age); got != c.want {
				t.Errorf("shouldQuery returned %v", got)
			}
		})
	}
}

// TestStaleHerd guards against a stampede after the store was silent for 1.55 s. Entry VMs that
// query it before the silence ends get no answer, and the first answer after that reaches all entry
// VMs. Few may have queried the store by then: each one lists a thousand keys, which fills a small
// entry VM's link for a tenth of a second.
func TestStaleHerd(t *testing.T) {
	const (
		vms    = 472
		silent = 1550 * time.Millisecond
		spread = 150 * time.Millisecond // The time until an answer has reached all entry VMs.
		step   = time.Millisecond
	)

	queried := make([]bool, vms)
	first, calls := time.Duration(0), 0

	for age := time.Duration(0); first == 0 || age < first+spread; age += step {
		for place := watchers; place < vms; place++ {
			if queried[place] || !shouldQuery(place, age) {
				continue
			}

			queried[place] = true
			calls++

			if age > silent && first == 0 {
				first = age
			}
		}
	}

	if calls > 45 {
		t.Errorf("%d of %d entry VMs query the store", calls, vms)
	}
}

// TestBackoffPause checks the pause of an entry VM: its own if only this entry VM lost the store,
// and a longer one the more others lost it.
func TestBackoffPause(t *testing.T) {
	for name, c := range map[string]struct {
		back     time.Duration
		unserved int
		draw     float64
		want     time.Duration
	}{
		"only one":              {minBackoff, 0, 0.5, minBackoff},
		"only one, for long":    {maxBackoff, 0, 1, maxBackoff},
		"a few":                 {maxBackoff, 3, 1, maxBackoff},
		"a whole small fleet":   {minBackoff, 18, 0.5, 1900 * time.Millisecond},
		"a whole large fleet":   {maxBackoff, 144, 0.5, 14500 * time.Millisecond},
		"shortest random pause": {minBackoff, 144, 0, minBackoff},
		"longest random pause":  {maxBackoff, 144, 1, 29 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, backoffPause(c.back, c.unserved, c.draw)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBackoffSpread checks the calls of entry VMs that all lose the store at the same moment. The
// calls must be few at any time, but never far apart: the first call after the store's return
// brings the changes.
func TestBackoffSpread(t *testing.T) {
	const (
		seconds  = 30
		maxRate  = 15.0 // Per second, of all entry VMs: half more than on average, since they begin together.
		maxPause = 1500 * time.Millisecond
	)

	for name, vms := range map[string]int{"a small fleet": 19, "a large fleet": 145} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(vms), 1))

			var calls []time.Duration

			for range vms {
				back := time.Duration(0)

				for at := time.Duration(0); at < seconds*time.Second; {
					back = min(maxBackoff, max(minBackoff, 2*back))
					at += backoffPause(back, vms-1, random.Float64())
					calls = append(calls, at)
				}
			}

			slices.Sort(calls)

			if rate := float64(len(calls)) / seconds; rate > maxRate {
				t.Errorf("%.1f calls a second", rate)
			}

			last := time.Duration(0)

			for _, at := range calls {
				if at-last > maxPause && at < seconds*time.Second {
					t.Errorf("no call from %s to %s", last, at)
				}

				last = at
			}
		})
	}
}

// TestCountUnserved checks that entry VMs that are leaving don't count as not served.
func TestCountUnserved(t *testing.T) {
	unserved, leaving, served := peer("1", "a"), peer("2", "a"), peer("3", "a")
	unserved.StoreDown, leaving.StoreDown, leaving.State = true, true, cwmesh.Leaving

	f := fleet{peers: []cwmesh.Peer{unserved, leaving, served}, domains: []cwmesh.Summary{{Domain: "b", Alive: 5, StoreDown: 4}}}
	if n := f.countUnserved(); n != 5 {
		t.Errorf("%d entry VMs count as not served", n)
	}
}

// TestPeerWait checks that after a restart all entry VMs of a small fleet query the store at once,
// and in a large fleet only seeds and those that the list names.
func TestPeerWait(t *testing.T) {
	self := cwmesh.Node{ID: "1", Domain: "a"}
	large := []cwmesh.Summary{{Domain: "a", Size: smallFleet}, {Domain: "b", Size: smallFleet}}
	named := []cwmesh.Summary{{Domain: "a", Size: 10 * smallFleet, Nodes: []cwmesh.Node{self}}}

	for name, c := range map[string]struct {
		seed bool
		list []cwmesh.Summary
		want time.Duration
	}{
		"no list yet":   {false, nil, 0},
		"a small fleet": {false, large[:1], 0},
		"a large fleet": {false, large, 3 * restartWait / 2},
		"a seed":        {true, large, 0},
		"a named VM":    {false, named, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := peerWait(self, c.seed, c.list, 0.5); got != c.want {
				t.Errorf("peerWait returned %s", got)
			}
		})
	}
}
