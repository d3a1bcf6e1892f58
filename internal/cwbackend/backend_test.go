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
		"an answer":              {[]Outcome{Answered}, 0},
		"one that we gave up":    {[]Outcome{Abandoned}, 0},
		"a refusal":              {[]Outcome{Refused}, 100 * time.Millisecond},
		"refusals do not add up": {times(9, Refused), 100 * time.Millisecond},
		"a failure":              {[]Outcome{Broken}, 250 * time.Millisecond},
		"failures double it":     {times(3, Silent), time.Second},
		"up to a bound":          {times(20, Failed), 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(backend(1, "a"), newSpeakers(), start)
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

// TestBlockedAgain wants an answer to end the row of failures.
func TestBlockedAgain(t *testing.T) {
	s := newServer(backend(1, "a"), newSpeakers(), start)
	for _, o := range []Outcome{Broken, Broken, Broken, Answered} {
		s.End(s.Begin(start, func() {}), start, o)
	}

	later := start.Add(time.Minute)
	s.End(s.Begin(later, func() {}), later, Broken)

	if !s.View(later, usual).Blocked || s.View(later.Add(blockFirst), usual).Blocked {
		t.Error("the failures before the answer still count")
	}
}

// TestLooked wants a good health check not to excuse failed requests.
func TestLooked(t *testing.T) {
	s := newServer(backend(1, "a"), newSpeakers(), start)
	s.End(s.Begin(start, func() {}), start, Broken)
	s.Looked(start, Answered)

	if !s.View(start, usual).Blocked {
		t.Error("health excused a failure")
	}

	s = newServer(backend(1, "a"), newSpeakers(), start)
	s.Looked(start, Silent)

	if !s.View(start, usual).Blocked {
		t.Error("a silent health check did not block")
	}
}

func TestOverdue(t *testing.T) {
	s := newServer(backend(1, "a"), newSpeakers(), start)
	number := s.Begin(start, func() {})

	if s.View(start.Add(3*usual), usual).Overdue || !s.View(start.Add(5*usual), usual).Overdue {
		t.Error("overdue after the wrong time")
	}

	s.End(number, start.Add(5*usual), Answered)

	if s.View(start.Add(9*usual), usual).Overdue {
		t.Error("overdue though it was answered")
	}
}

// TestNewInstance wants another run at the same address to be another server.
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

// TestLeaving wants a leaving server to get nothing.
func TestLeaving(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})
	b := backend(1, "a")
	table.Put([]carobward.Backend{b}, nil, start)

	b.Leaving = true
	table.Put([]carobward.Backend{b}, nil, start)

	if len(table.Views("records", start, usual)) != 0 || table.Has(b) || table.Count() != 1 {
		t.Error("a leaving server may get work")
	}
}

// TestPick wants each server to be known to enough entry VMs of its domain,
// each entry VM to know enough servers of each kind and not many more, and a
// newcomer to move few.
func TestPick(t *testing.T) {
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

	knownBy := map[carobward.Instance]int{}
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
		if n := len(views); n < (knownNear+knownFar)/2 || n > 2*(knownNear+knownFar) {
			t.Errorf("%s knows %d servers", vm.ID, n)
		}

		had := map[*Server]bool{}

		for _, v := range views {
			had[v.Server] = true
			if v.Domain == vm.Domain {
				knownBy[v.Server.Backend().Instance]++
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
		if knownBy[b.Instance] < 4 {
			t.Errorf("%s is known to %d entry VMs of its domain", b.Instance, knownBy[b.Instance])
		}
	}

	if moved > len(backends) {
		t.Errorf("%d times a server became known, more than once a server", moved)
	}
}

// TestStartedAgain has entries of a server in the order in which they come against which
// process the table has in the end, and whether what is known and in flight goes.
func TestStartedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		starts []carobward.Start
		want   carobward.Start
		again  int
		fresh  bool
	}{
		"the same process":           {[]carobward.Start{5, 5}, 5, 0, false},
		"another one":                {[]carobward.Start{5, 7}, 7, 1, true},
		"a late word of the old one": {[]carobward.Start{5, 7, 5}, 7, 1, true},
		"two more":                   {[]carobward.Start{5, 7, 9}, 9, 2, true},
		"none says its start":        {[]carobward.Start{0, 0}, 0, 0, false},
		"the first that says it":     {[]carobward.Start{0, 5}, 5, 0, false},
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
				t.Errorf("process %d, started again %d times", got, again)
			}

			if fresh := !view.Blocked && view.Own == 0 && broken == 1; fresh != c.fresh {
				t.Errorf("blocked %v, %d in flight, %d broken off", view.Blocked, view.Own, broken)
			}

			old := b
			old.Start = c.starts[0]

			if table.HasNewer(old) != c.fresh || table.Has(old) == c.fresh {
				t.Errorf("has newer %v, has %v", table.HasNewer(old), table.Has(old))
			}
		})
	}
}

// TestSpare wants further servers of other failure domains to be known while over half of
// the near ones fail, are cold or leave, and no longer once those answer again.
func TestSpare(t *testing.T) {
	const each = 40

	var (
		list       []carobward.Backend
		neighbours []carobward.VMID
	)

	for i := range 3 * each {
		list = append(list, backend(i, fmt.Sprintf("d%d", i%3)))
	}

	for i := 1; i < 2*each/knownNear; i++ {
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
	if few > 0 || len(near) < knownNear/2 {
		t.Fatalf("%d near servers, %d spare ones while all is well", len(near), few)
	}

	for i, s := range near {
		s.Looked(start, Silent)

		if _, got := spare(); got > 0 != (2*(len(near)-i-1) < len(near)) {
			t.Errorf("%d spare servers with %d of %d near ones silent", got, i+1, len(near))
		}
	}

	if _, got := spare(); got != knownNear {
		t.Errorf("%d spare servers, want as many as near ones", got)
	}

	for _, s := range near {
		s.End(s.Begin(start, func() {}), start, Answered)
	}

	if _, got := spare(); got > 0 {
		t.Errorf("%d spare servers once the near ones answer", got)
	}
}
