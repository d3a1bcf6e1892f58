package cwbackend

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

var start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

const usual = 100 * time.Millisecond

func backend(i int, domain string) carobward.Backend {
	return carobward.Backend{
		Instance: carobward.Instance(fmt.Sprintf("i-%d", i)), Address: carobward.Address(fmt.Sprintf("10.0.0.%d:80", i)),
		Service: "records", Domain: carobward.Domain(domain), Slots: 4,
	}
}

func TestBlocked(t *testing.T) {
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	times := func(n int, o Outcome) (all []Outcome) {
		for range n {
			all = append(all, o)
		}

		return all
	}

	for name, c := range map[string]struct {
		outcomes []Outcome
		want     time.Duration
	}{
		"a response":            {[]Outcome{Answered}, 0},
		"an abandoned request":  {[]Outcome{Abandoned}, 0},
		"a refusal":             {[]Outcome{Refused}, 100 * time.Millisecond},
		"refusals don't add up": {times(9, Refused), 100 * time.Millisecond},
		"a failure":             {[]Outcome{Broken}, 250 * time.Millisecond},
		"failures double it":    {times(3, Silent), time.Second},
		"up to a bound":         {times(20, Failed), 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(backend(1, "a"), newAnnouncers(), start)
			for _, o := range c.outcomes {
				s.End(s.Begin(start, func() {}), start, o)
			}

			got := time.Duration(0)
			for n := 0; s.View(ms(n), usual).Blocked; n++ {
				got = time.Duration(n+1) * time.Millisecond
			}

			if diff := cmp.Diff(c.want.String(), got.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBlockedAgain checks that a response resets the count of consecutive failures.
func TestBlockedAgain(t *testing.T) {
	s := newServer(backend(1, "a"), newAnnouncers(), start)
	for _, o := range []Outcome{Broken, Broken, Broken, Answered} {
		s.End(s.Begin(start, func() {}), start, o)
	}

	later := start.Add(time.Minute)
	s.End(s.Begin(later, func() {}), later, Broken)

	if !s.View(later, usual).Blocked || s.View(later.Add(minBlock), usual).Blocked {
		t.Error("failures before the response still count")
	}
}

// TestRecordHealthCheck checks that a successful health check does not clear failures of
// requests, and that one without a response blocks the server.
func TestRecordHealthCheck(t *testing.T) {
	s := newServer(backend(1, "a"), newAnnouncers(), start)
	s.End(s.Begin(start, func() {}), start, Broken)
	s.RecordHealthCheck(start, Answered)

	if !s.View(start, usual).Blocked {
		t.Error("a successful health check cleared a failure")
	}

	s = newServer(backend(1, "a"), newAnnouncers(), start)
	s.RecordHealthCheck(start, Silent)

	if !s.View(start, usual).Blocked {
		t.Error("a health check without a response did not block")
	}
}

func TestOverdue(t *testing.T) {
	s := newServer(backend(1, "a"), newAnnouncers(), start)
	number := s.Begin(start, func() {})

	if s.View(start.Add(3*usual), usual).Overdue || !s.View(start.Add(5*usual), usual).Overdue {
		t.Error("overdue too early or too late")
	}

	s.End(number, start.Add(5*usual), Answered)

	if s.View(start.Add(9*usual), usual).Overdue {
		t.Error("overdue after its response")
	}
}

// TestNewInstance checks that another instance at the same address is another server.
func TestNewInstance(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})
	table.Put([]carobward.Backend{backend(1, "a")}, nil, start)

	old := table.Views("records", start, usual)[0].Server
	old.End(old.Begin(start, func() {}), start, Broken)

	next := backend(2, "a")
	next.Address = backend(1, "a").Address
	table.Put([]carobward.Backend{next}, []carobward.Instance{"i-1"}, start)

	views := table.Views("records", start, usual)
	if len(views) != 1 || views[0].Blocked || views[0].Server == old || table.Has(carobward.Backend{Instance: "i-1"}) || !table.Has(carobward.Backend{Instance: "i-2"}) {
		t.Errorf("%d servers, blocked %v", len(views), views[0].Blocked)
	}
}

// TestLeaving checks that a leaving server gets no requests.
func TestLeaving(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})
	b := backend(1, "a")
	table.Put([]carobward.Backend{b}, nil, start)

	b.Leaving = true
	table.Put([]carobward.Backend{b}, nil, start)

	if len(table.Views("records", start, usual)) != 0 || table.Has(b) || table.Count() != 1 {
		t.Error("a leaving server may get requests")
	}
}

// TestSubsets checks that each server is in the subsets of enough entry VMs of its failure
// domain, that each subset has enough servers and not many more, and that a new entry VM moves
// few servers.
func TestSubsets(t *testing.T) {
	var (
		vms      []VM
		backends []carobward.Backend
	)

	for i := range 60 {
		vms = append(vms, VM{ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: carobward.Domain(fmt.Sprintf("d%d", i%3))})
	}

	for i := range 180 {
		backends = append(backends, backend(i, fmt.Sprintf("d%d", i%3)))
	}

	holders := map[carobward.Instance]int{}
	moved := 0

	for _, vm := range vms {
		var neighbours []carobward.VMID

		for _, other := range vms {
			if other.ID != vm.ID && other.Domain == vm.Domain {
				neighbours = append(neighbours, other.ID)
			}
		}

		table := New(vm)
		table.SetNeighbours(neighbours)
		table.Put(backends, nil, start)

		views := table.Views("records", start, usual)
		if n := len(views); n < (subsetNear+subsetFar)/2 || n > 2*(subsetNear+subsetFar) {
			t.Errorf("%s has %d servers in its subset", vm.ID, n)
		}

		had := map[*Server]bool{}

		for _, v := range views {
			had[v.Server] = true
			if v.Domain == vm.Domain {
				holders[v.Server.Backend().Instance]++
			}
		}

		if vm.Domain == "d0" {
			table.SetNeighbours(append(neighbours, "vm-new"))
		}

		for _, v := range table.Views("records", start, usual) {
			if !had[v.Server] {
				moved++
			}
		}
	}

	for _, b := range backends {
		if holders[b.Instance] < 4 {
			t.Errorf("%s is in the subsets of %d entry VMs of its failure domain", b.Instance, holders[b.Instance])
		}
	}

	if moved > len(backends) {
		t.Errorf("%d additions to subsets, more than one per server", moved)
	}
}

// TestRestart checks for sequences of entries of a server which process the table ends up
// with, and that a restart discards the server's state and cancels its requests.
func TestRestart(t *testing.T) {
	for name, c := range map[string]struct {
		starts []carobward.Start
		want   carobward.Start
		again  int
		fresh  bool
	}{
		"the same process":            {[]carobward.Start{5, 5}, 5, 0, false},
		"another one":                 {[]carobward.Start{5, 7}, 7, 1, true},
		"a late entry of the old one": {[]carobward.Start{5, 7, 5}, 7, 1, true},
		"two more":                    {[]carobward.Start{5, 7, 9}, 9, 2, true},
		"no start times":              {[]carobward.Start{0, 0}, 0, 0, false},
		"the first start time":        {[]carobward.Start{0, 5}, 5, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(VM{ID: "vm-1", Domain: "a"})
			b := backend(1, "a")
			broken, again := 0, 0

			for i, process := range c.starts {
				b.Start = process
				again += len(table.Put([]carobward.Backend{b}, nil, start))

				if i == 0 {
					s := table.Views("records", start, usual)[0].Server
					s.Begin(start, func() { broken++ })
					s.End(s.Begin(start, func() {}), start, Broken)
				}
			}

			view := table.Views("records", start, usual)[0]
			if got := view.Server.Backend().Start; got != c.want || again != c.again {
				t.Errorf("process %d, %d restarts", got, again)
			}

			if fresh := !view.Blocked && view.InFlight == 0 && broken == 1; fresh != c.fresh {
				t.Errorf("blocked %v, %d in flight, %d canceled", view.Blocked, view.InFlight, broken)
			}

			old := b
			old.Start = c.starts[0]

			if table.HasNewer(old) != c.fresh || table.Has(old) == c.fresh {
				t.Errorf("has newer %v, has %v", table.HasNewer(old), table.Has(old))
			}
		})
	}
}

// TestSpare checks that spare servers of other failure domains are used while over half of the
// near ones fail, and not once those respond again.
func TestSpare(t *testing.T) {
	const each = 40

	var (
		list       []carobward.Backend
		neighbours []carobward.VMID
	)

	for i := range 3 * each {
		list = append(list, backend(i, fmt.Sprintf("d%d", i%3)))
	}

	for i := 1; i < 2*each/subsetNear; i++ {
		neighbours = append(neighbours, carobward.VMID(fmt.Sprintf("vm-%d", i)))
	}

	table := New(VM{ID: "vm-0", Domain: "d0"})
	table.SetNeighbours(neighbours)
	table.Put(list, nil, start)

	spare := func() (near []*Server, spare int) {
		for _, v := range table.Views("records", start, usual) {
			switch {
			case v.Spare:
				spare++
			case v.Domain == "d0":
				near = append(near, v.Server)
			}
		}

		return near, spare
	}

	near, few := spare()
	if few > 0 || len(near) < subsetNear/2 {
		t.Fatalf("%d near servers, %d spare ones without failures", len(near), few)
	}

	for i, s := range near {
		s.RecordHealthCheck(start, Silent)

		if _, got := spare(); got > 0 != (2*(len(near)-i-1) < len(near)) {
			t.Errorf("%d spare servers with %d of %d near ones not responding", got, i+1, len(near))
		}
	}

	if _, got := spare(); got != subsetNear {
		t.Errorf("%d spare servers, want the number of near ones", got)
	}

	for _, s := range near {
		s.End(s.Begin(start, func() {}), start, Answered)
	}

	if _, got := spare(); got > 0 {
		t.Errorf("%d spare servers after the near ones responded", got)
	}
}
