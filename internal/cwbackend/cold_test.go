package cwbackend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
)

// coldBound is a bound such as the users' deployments have: 15.2 requests in a second.
var coldBound = ColdBound{Rate: 4.8, Overshoot: 1.5, Slack: 8}

// coldWay is a way of bounding the requests that cold servers get.
type coldWay uint8

const (
	// byHash is the product's: the first by hash send one a second each.
	byHash coldWay = iota
	// byCount has each entry VM that knows the server send its part by the number of
	// entry VMs lately, rounded up.
	byCount
	// byReport has each send while the server's last report has room.
	byReport
)

// coldVM is one entry VM of a model fleet.
type coldVM struct {
	table  *Table
	id     carobward.VMID
	domain carobward.Domain
	// heard has when each other one was heard last.
	heard map[carobward.VMID]time.Time
	// alive tells that it runs, cut that it hears nobody and is heard by nobody.
	alive, cut bool
	started    time.Time
}

// coldFleet is the entry VMs of one failure domain or two and the cold servers of the first
// one. The cut ones reach servers, as those that lose each other only.
type coldFleet struct {
	rnd     *rand.Rand
	vms     []*coldVM
	now     time.Time
	size    int
	servers []carobward.Backend
	// arrivals has when each server got its requests.
	arrivals map[carobward.Instance][]time.Time
	way      coldWay
	// running has the end of each request at a server, for byReport, and told what a
	// server last reported.
	running map[carobward.Instance][]time.Time
}

const (
	coldStep  = 100 * time.Millisecond
	coldLive  = 2500 * time.Millisecond
	coldKeep  = 30 * time.Second
	coldWork  = 400 * time.Millisecond
	coldSlots = 4
)

func newColdFleet(seed uint64, vms, servers int, way coldWay) *coldFleet {
	f := &coldFleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: start, size: vms, way: way,
		arrivals: map[carobward.Instance][]time.Time{}, running: map[carobward.Instance][]time.Time{},
	}

	for i := range servers {
		b := backend(i, "d0")
		b.Warmup = time.Hour // Cold for as long as the history lasts.
		f.servers = append(f.servers, b)
	}

	f.addVMs(vms, "d0")

	return f
}

// addVMs starts entry VMs in a failure domain.
func (f *coldFleet) addVMs(count int, d carobward.Domain) {
	for i := range count {
		v := &coldVM{id: carobward.VMID(fmt.Sprintf("vm-%s-%d", d, i)), domain: d}
		f.vms = append(f.vms, v)
		f.startVM(v)
	}
}

// startVM starts an entry VM that knows nobody; the store tells it how many there are.
func (f *coldFleet) startVM(v *coldVM) {
	v.table = New(VM{ID: v.id, Domain: v.domain})
	v.table.SetColdBounds(map[carobward.Service]ColdBound{"records": coldBound})
	v.table.Put(f.servers, nil, f.now)

	v.heard, v.alive, v.started = map[carobward.VMID]time.Time{}, true, f.now
}

// step moves the history on: entry VMs end, start again, are cut off and come back, and
// send as much as they may.
func (f *coldFleet) step(trouble bool) {
	f.now = f.now.Add(coldStep)

	for _, v := range f.vms {
		if trouble {
			f.change(v)
		}

		if !v.alive {
			continue
		}

		f.hear(v)
		v.share(f, f.now)
	}

	for _, n := range f.rnd.Perm(len(f.vms)) {
		if v := f.vms[n]; v.alive {
			f.send(v)
		}
	}
}

// change lets chance act on one entry VM: a death each 10 s, half a second to 3 s long,
// and a cut each 8 s.
func (f *coldFleet) change(v *coldVM) {
	chance := func(every time.Duration) bool { return f.rnd.Float64() < float64(coldStep)/float64(every) }

	switch {
	case v.alive && chance(10*time.Second):
		v.alive = false
	case !v.alive && chance(1500*time.Millisecond):
		f.startVM(v)
	case chance(8 * time.Second):
		v.cut = !v.cut
	}
}

// hear has an entry VM hear the others, each once in a second or so.
func (f *coldFleet) hear(v *coldVM) {
	for _, o := range f.vms {
		if o != v && o.domain == v.domain && o.alive && !o.cut && !v.cut && f.rnd.Float64() < float64(coldStep)/float64(300*time.Millisecond) {
			v.heard[o.id] = f.now
		}
	}
}

// share tells the table what the entry VM knows of the others.
func (v *coldVM) share(f *coldFleet, now time.Time) {
	var live, lately []carobward.VMID

	for id, at := range v.heard {
		if f.now.Sub(at) < coldLive {
			live = append(live, id)
		}

		if f.now.Sub(at) < coldKeep {
			lately = append(lately, id)
		}
	}

	v.table.SetNeighbours(live)
	v.table.SetSharers(lately, f.size, now)
}

// send has an entry VM send to each cold server that it may.
func (f *coldFleet) send(v *coldVM) {
	for _, view := range v.table.Views("records", f.now, usual) {
		b := view.Server.Backend()
		if f.may(v, view, b) {
			f.arrivals[b.Instance] = append(f.arrivals[b.Instance], f.now)
			f.running[b.Instance] = append(f.running[b.Instance], f.now.Add(coldWork))
		}
	}
}

func (f *coldFleet) may(v *coldVM, view View, b carobward.Backend) bool {
	switch f.way {
	case byCount:
		return view.Server.admit(&allowances{{most: max(1, coldBound.most()/f.size), window: shareWindow}}, f.now)
	case byReport:
		// All that look within a few milliseconds see the same free slots.
		list := slices.DeleteFunc(f.running[b.Instance], func(end time.Time) bool { return end.Before(f.now) })
		f.running[b.Instance] = list
		before := len(slices.DeleteFunc(slices.Clone(list), func(end time.Time) bool { return !end.Before(f.now.Add(coldWork)) }))

		return before < coldSlots
	default:
		return v.table.Admit(view.Server, f.now)
	}
}

// worst returns the most requests that a server got in any one second, and the mean over
// servers and seconds.
func (f *coldFleet) worst() (int, float64) {
	worst, all := 0, 0

	for _, list := range f.arrivals {
		all += len(list)

		for i := range list {
			n := 0
			for n+i < len(list) && list[i+n].Sub(list[i]) < time.Second {
				n++
			}

			worst = max(worst, n)
		}
	}

	return worst, float64(all) / float64(len(f.servers)) / f.now.Sub(start).Seconds()
}

// TestColdHistory wants no cold server to get more than it bears in any one second, from
// entry VMs that join, die and lose each other at random, all of which send as much as
// they may. Without trouble the bound is used.
func TestColdHistory(t *testing.T) {
	const span = 8 * time.Second

	allowed := int(coldBound.Rate*coldBound.Overshoot + coldBound.Slack)

	for name, c := range map[string]struct {
		vms, servers int
		// least is the mean of requests a second that a server must get in calm.
		least float64
	}{
		"6 of 17 entry VMs":    {6, 10, 8},
		"42 of 126":            {42, 66, 5},
		"42, a small service":  {42, 5, 8},
		"95 of 472":            {95, 60, 7},
		"95, a single server":  {95, 1, 8},
		"one entry VM is left": {1, 4, 8},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				for _, trouble := range []bool{false, true} {
					f := newColdFleet(seed, c.vms, c.servers, byHash)
					for f.now.Sub(start) < span {
						f.step(trouble)
					}

					worst, mean := f.worst()
					if worst > allowed {
						t.Errorf("seed %d, trouble %v: %d requests in a second, %d allowed", seed, trouble, worst, allowed)
					}

					if !trouble && mean < c.least {
						t.Errorf("seed %d: %.1f requests a second and server, want %.1f", seed, mean, c.least)
					}

					t.Logf("seed %d, trouble %v: at most %d in a second, %.1f in the mean", seed, trouble, worst, mean)
				}
			}
		})
	}
}

// TestColdWays has what the ways that were not taken let through.
func TestColdWays(t *testing.T) {
	allowed := int(coldBound.Rate*coldBound.Overshoot + coldBound.Slack)

	for name, c := range map[string]struct {
		way  coldWay
		pass bool
	}{
		"the first by hash":       {byHash, true},
		"parts by count, rounded": {byCount, false},
		"room by reports alone":   {byReport, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newColdFleet(1, 42, 5, c.way)
			for f.now.Sub(start) < 4*time.Second {
				f.step(false)
			}

			worst, mean := f.worst()
			if pass := worst <= allowed; pass != c.pass {
				t.Errorf("%d requests in a second, %d allowed", worst, allowed)
			}

			t.Logf("at most %d in a second, %.1f in the mean", worst, mean)
		})
	}
}

// TestColdView has what entries and health answers say of a server's warm-up, one after
// the other 1 s apart, against until when it is cold.
func TestColdView(t *testing.T) {
	const none = -1

	for name, c := range map[string]struct {
		// entries and answers are the seconds left by each, or none.
		entries, answers []int
		want             int
	}{
		"a start":                         {[]int{3}, []int{none}, 3},
		"cold again without a start":      {[]int{0, none}, []int{none, 3}, 4},
		"an older entry after the answer": {[]int{0, none, 0}, []int{none, 3, none}, 4},
		"warm by its own word":            {[]int{9, none}, []int{none, 0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(VM{ID: "vm-1", Domain: "a"})
			b := backend(1, "a")

			for i := range c.entries {
				now := start.Add(time.Duration(i) * time.Second)

				if c.entries[i] != none {
					b.Warmup = time.Duration(c.entries[i]) * time.Second
					table.Put([]carobward.Backend{b}, nil, now)
				}

				if c.answers[i] != none {
					says := &carobward.Reply{Warmup: time.Duration(c.answers[i]) * time.Second, SaysWarmup: true}
					table.byInstance[b.Instance].Hear(says, ByLook, now)
				}
			}

			end := start.Add(time.Duration(c.want) * time.Second)
			warm := func(at time.Time) bool { return !table.Views("records", at, usual)[0].Warming }

			if warm(end.Add(-time.Millisecond)) || !warm(end) {
				t.Errorf("not cold until %d s", c.want)
			}
		})
	}
}

// TestColdMost has what the operators say of cold servers against the requests in a second
// that are divided.
func TestColdMost(t *testing.T) {
	for name, c := range map[string]struct {
		bound ColdBound
		want  int
	}{
		"no bound":            {ColdBound{Overshoot: 1.5, Slack: 8}, 0},
		"the users' figures":  {coldBound, 12},
		"no overshoot, slack": {ColdBound{Rate: 10}, 8},
		"hardly any":          {ColdBound{Rate: 0.2, Overshoot: 1}, 1},
		"many":                {ColdBound{Rate: 100, Overshoot: 2, Slack: 10}, 168},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.bound.most(); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// BenchmarkColdViews has the cost of the views for one choice while all eight near servers
// are cold, by the number of entry VMs of the failure domain, which are ranked for each
// server: 25 µs at 42, 33 µs at 106 (a busy machine).
func BenchmarkColdViews(b *testing.B) {
	for _, vms := range []int{6, 42, 106} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			f := newColdFleet(1, vms, knownNear, byHash)
			v := f.vms[0]

			for range 30 {
				f.step(false)
			}

			b.ReportAllocs()

			for b.Loop() {
				v.table.Views("records", f.now, usual)
			}
		})
	}
}
