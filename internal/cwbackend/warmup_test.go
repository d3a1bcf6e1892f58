package cwbackend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
)

// warmupBound allows 15.2 requests in a second, as in a typical deployment.
var warmupBound = WarmupBound{Rate: 4.8, Overshoot: 1.5, Slack: 8}

// warmupMethod is a method of bounding the requests to servers that are warming up.
type warmupMethod uint8

const (
	// byHash is the method in use: the first entry VMs by hash send one a second each.
	byHash warmupMethod = iota
	// byCount has each entry VM with the server in its subset send its part by the recent
	// number of entry VMs, rounded up.
	byCount
	// byReport has each entry VM send while the server's latest report shows a free slot.
	byReport
)

// simVM is a simulated entry VM.
type simVM struct {
	table  *Table
	id     carobward.VMID
	domain carobward.Domain
	// lastSeen is when each other entry VM was last seen.
	lastSeen map[carobward.VMID]time.Time
	// alive is set while it runs, cut while it is partitioned from the other entry VMs.
	alive, cut bool
	started    time.Time
}

// simFleet simulates the entry VMs of one failure domain or two, and servers of the first one
// that are warming up. Partitioned entry VMs still reach the servers.
type simFleet struct {
	rnd     *rand.Rand
	vms     []*simVM
	now     time.Time
	size    int
	servers []carobward.Backend
	// arrivals has the times of the requests at each server.
	arrivals map[carobward.Instance][]time.Time
	method   warmupMethod
	// running has the ends of the requests at each server, for byReport.
	running map[carobward.Instance][]time.Time
}

const (
	simStep        = 100 * time.Millisecond
	simLive        = 2500 * time.Millisecond
	simSharerTime  = 30 * time.Second
	simRequestTime = 400 * time.Millisecond
	simSlots       = 4
)

func newSimFleet(seed uint64, vms, servers int, method warmupMethod) *simFleet {
	f := &simFleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: start, size: vms, method: method,
		arrivals: map[carobward.Instance][]time.Time{}, running: map[carobward.Instance][]time.Time{},
	}

	for i := range servers {
		b := backend(i, "d0")
		b.Warmup = time.Hour // Longer than any simulation.
		f.servers = append(f.servers, b)
	}

	f.addVMs(vms, "d0")

	return f
}

// addVMs starts entry VMs in a failure domain.
func (f *simFleet) addVMs(count int, d carobward.Domain) {
	for i := range count {
		v := &simVM{id: carobward.VMID(fmt.Sprintf("vm-%s-%d", d, i)), domain: d}
		f.vms = append(f.vms, v)
		f.startVM(v)
	}
}

// startVM starts an entry VM that has seen no other; the store tells it how many there are.
func (f *simFleet) startVM(v *simVM) {
	v.table = New(VM{ID: v.id, Domain: v.domain})
	v.table.SetWarmupBounds(map[carobward.Service]WarmupBound{"records": warmupBound})
	v.table.Put(f.servers, nil, f.now)

	v.lastSeen, v.alive, v.started = map[carobward.VMID]time.Time{}, true, f.now
}

// step simulates one time step: entry VMs crash, restart, are partitioned and rejoin, and send
// as much as they may.
func (f *simFleet) step(faults bool) {
	f.now = f.now.Add(simStep)

	for _, v := range f.vms {
		if faults {
			f.injectFaults(v)
		}

		if !v.alive {
			continue
		}

		f.receiveHeartbeats(v)
		v.updateTable(f, f.now)
	}

	for _, n := range f.rnd.Perm(len(f.vms)) {
		if v := f.vms[n]; v.alive {
			f.send(v)
		}
	}
}

// injectFaults randomly disturbs one entry VM: it crashes every 10 s on average, mostly for
// half a second to 3 s, and is partitioned or rejoins every 8 s.
func (f *simFleet) injectFaults(v *simVM) {
	chance := func(every time.Duration) bool { return f.rnd.Float64() < float64(simStep)/float64(every) }

	switch {
	case v.alive && chance(10*time.Second):
		v.alive = false
	case !v.alive && chance(1500*time.Millisecond):
		f.startVM(v)
	case chance(8 * time.Second):
		v.cut = !v.cut
	}
}

// receiveHeartbeats lets an entry VM receive heartbeats from the others, one from each every
// 300 ms on average.
func (f *simFleet) receiveHeartbeats(v *simVM) {
	for _, o := range f.vms {
		if o != v && o.domain == v.domain && o.alive && !o.cut && !v.cut && f.rnd.Float64() < float64(simStep)/float64(300*time.Millisecond) {
			v.lastSeen[o.id] = f.now
		}
	}
}

// updateTable passes the entry VMs that were seen to the table.
func (v *simVM) updateTable(f *simFleet, now time.Time) {
	var live, recent []carobward.VMID

	for id, at := range v.lastSeen {
		if f.now.Sub(at) < simLive {
			live = append(live, id)
		}

		if f.now.Sub(at) < simSharerTime {
			recent = append(recent, id)
		}
	}

	v.table.SetNeighbours(live)
	v.table.SetSharers(recent, f.size, now)
}

// send sends requests of an entry VM to each server that may get one.
func (f *simFleet) send(v *simVM) {
	for _, view := range v.table.Views("records", f.now, usual) {
		b := view.Server.Backend()
		if f.allows(v, view, b) {
			f.arrivals[b.Instance] = append(f.arrivals[b.Instance], f.now)
			f.running[b.Instance] = append(f.running[b.Instance], f.now.Add(simRequestTime))
		}
	}
}

func (f *simFleet) allows(v *simVM, view View, b carobward.Backend) bool {
	switch f.method {
	case byCount:
		return view.Server.admit(&allowances{{maxRequests: max(1, warmupBound.budget()/f.size), window: minWindow}}, f.now)
	case byReport:
		// All entry VMs that check within a few milliseconds see the same free slots.
		list := slices.DeleteFunc(f.running[b.Instance], func(end time.Time) bool { return end.Before(f.now) })
		f.running[b.Instance] = list
		before := len(slices.DeleteFunc(slices.Clone(list), func(end time.Time) bool { return !end.Before(f.now.Add(simRequestTime)) }))

		return before < simSlots
	default:
		return v.table.Admit(view.Server, f.now)
	}
}

// worst returns the largest number of requests at a server in any one second, and the mean per
// second and server.
func (f *simFleet) worst() (int, float64) {
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

// TestWarmupHistory checks that no server that is warming up gets more requests than it
// tolerates in any one second, from entry VMs that join, crash and are partitioned at random
// and all send as much as they may. Without faults, the servers must get a good part of the
// bound.
func TestWarmupHistory(t *testing.T) {
	const span = 8 * time.Second

	allowed := int(warmupBound.Rate*warmupBound.Overshoot + warmupBound.Slack)

	for name, c := range map[string]struct {
		vms, servers int
		// least is the mean number of requests a second that a server must get without faults.
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
				for _, faults := range []bool{false, true} {
					f := newSimFleet(seed, c.vms, c.servers, byHash)
					for f.now.Sub(start) < span {
						f.step(faults)
					}

					worst, mean := f.worst()
					if worst > allowed {
						t.Errorf("seed %d, faults %v: %d requests in a second, %d allowed", seed, faults, worst, allowed)
					}

					if !faults && mean < c.least {
						t.Errorf("seed %d: %.1f requests a second and server, want %.1f", seed, mean, c.least)
					}

					t.Logf("seed %d, faults %v: at most %d in a second, %.1f in the mean", seed, faults, worst, mean)
				}
			}
		})
	}
}

// TestWarmupMethods compares the method in use with alternatives that exceed the bound.
func TestWarmupMethods(t *testing.T) {
	allowed := int(warmupBound.Rate*warmupBound.Overshoot + warmupBound.Slack)

	for name, c := range map[string]struct {
		method warmupMethod
		pass   bool
	}{
		"the first by hash":     {byHash, true},
		"shares by count":       {byCount, false},
		"free slots by reports": {byReport, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(1, 42, 5, c.method)
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

// TestWarmupView checks until when a server counts as warming up, given a sequence of entries
// and health check answers 1 s apart.
func TestWarmupView(t *testing.T) {
	const none = -1

	for name, c := range map[string]struct {
		// entries and answers have the seconds of warm-up left by each, or none.
		entries, answers []int
		want             int
	}{
		"a start":                         {[]int{3}, []int{none}, 3},
		"warming up without a restart":    {[]int{0, none}, []int{none, 3}, 4},
		"an older entry after the answer": {[]int{0, none, 0}, []int{none, 3, none}, 4},
		"warm by its own report":          {[]int{9, none}, []int{none, 0}, 1},
		"far too long, then the next":     {[]int{30_000_000, 2}, []int{none, none}, 3},
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
					reply := &carobward.Reply{Warmup: time.Duration(c.answers[i]) * time.Second, HasWarmup: true}
					table.byInstance[b.Instance].ApplyReply(reply, ByHealthCheck, now)
				}
			}

			end := start.Add(time.Duration(c.want) * time.Second)
			warm := func(at time.Time) bool { return !table.Views("records", at, usual)[0].Warming }

			if warm(end.Add(-time.Millisecond)) || !warm(end) {
				t.Errorf("not warming up until %d s", c.want)
			}
		})
	}
}

// TestWarmupBudget checks how many requests in a second are divided, given the settings for
// servers that are warming up.
func TestWarmupBudget(t *testing.T) {
	for name, c := range map[string]struct {
		bound WarmupBound
		want  int
	}{
		"no bound":            {WarmupBound{Overshoot: 1.5, Slack: 8}, 0},
		"a typical setting":   {warmupBound, 12},
		"no overshoot, slack": {WarmupBound{Rate: 10}, 8},
		"below one":           {WarmupBound{Rate: 0.2, Overshoot: 1}, 1},
		"many":                {WarmupBound{Rate: 100, Overshoot: 2, Slack: 10}, 168},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.bound.budget(); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// BenchmarkWarmupViews runs Views while all eight near servers are warming up, which ranks the
// entry VMs of the failure domain for each server: 25 µs with 42 entry VMs, 33 µs with 106 (on
// a busy machine).
func BenchmarkWarmupViews(b *testing.B) {
	for _, vms := range []int{6, 42, 106} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			f := newSimFleet(1, vms, subsetNear, byHash)
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
