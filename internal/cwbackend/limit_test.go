package cwbackend

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobward.example/carobward"
)

func rate(r carobward.Rate) carobward.Limit {
	return carobward.Limit{Present: true, Readable: true, Rate: r}
}

// TestLimitHistory simulates fleets of 17 to 472 entry VMs that send as much as they may.
// Included are those in the failure domain of the servers and some of another one. No server
// with a limit may get more than allowed. Without faults its mean rate must not exceed the
// limit, counting all entry VMs, and must reach a good part of it.
func TestLimitHistory(t *testing.T) {
	const span = 12 * time.Second

	unreadable := carobward.Limit{Present: true}

	for name, c := range map[string]struct {
		near, far, servers int
		// named is how many servers announce limits, limits has these in turn, each for an
		// equal part of span.
		named  int
		limits []carobward.Limit
		// least is the part of the limit that the mean rate must reach without faults.
		least float64
	}{
		"17 entry VMs":            {6, 11, 12, 1, []carobward.Limit{rate(1.4)}, 0.5},
		"19, all servers":         {7, 12, 11, 11, []carobward.Limit{rate(1)}, 0.4},
		"126":                     {42, 30, 71, 5, []carobward.Limit{rate(1.4)}, 0.5},
		"126, a small service":    {42, 30, 5, 5, []carobward.Limit{rate(2)}, 0.5},
		"472":                     {95, 30, 144, 10, []carobward.Limit{rate(1.4)}, 0.5},
		"472, a single server":    {95, 30, 1, 1, []carobward.Limit{rate(1)}, 0.4},
		"one entry VM is left":    {1, 6, 4, 2, []carobward.Limit{rate(2)}, 0.5},
		"none is near":            {0, 12, 4, 2, []carobward.Limit{rate(2)}, 0},
		"high":                    {7, 12, 11, 2, []carobward.Limit{rate(25)}, 0.5},
		"below one":               {42, 30, 71, 5, []carobward.Limit{rate(0.1)}, 0},
		"nothing":                 {42, 30, 71, 5, []carobward.Limit{rate(0)}, 0},
		"lowered":                 {42, 30, 71, 5, []carobward.Limit{rate(20), rate(5), rate(1), rate(1)}, 0},
		"raised":                  {7, 12, 11, 2, []carobward.Limit{rate(1), rate(5), rate(20), rate(20)}, 0},
		"lifted, announced again": {42, 30, 71, 5, []carobward.Limit{rate(1), {}, rate(1), rate(1)}, 0},
		"unreadable after one":    {7, 12, 11, 2, []carobward.Limit{rate(2), unreadable, unreadable, unreadable}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			for seed, faults := range []bool{false, true} {
				mean := runLimits(t, newLimitFleet(uint64(seed), c.near, c.far, c.servers), c.named, c.limits, span, faults)
				limit := float64(c.limits[0].Rate)

				if steady := len(c.limits) == 1; steady && !faults && (mean > max(limit, 0.3) || mean < c.least*limit) {
					t.Errorf("%.2f requests a second and server, the limit is %.2f", mean, limit)
				}

				t.Logf("faults %v: %.2f requests a second and server", faults, mean)
			}
		})
	}
}

// TestLimitMethods compares the method in use with alternatives that exceed the limit: each
// entry VM enforces the limit by itself, or each has a share, however small.
func TestLimitMethods(t *testing.T) {
	const limit = 2

	window := func(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

	for name, c := range map[string]struct {
		other func(f *limitFleet, v View, now time.Time) bool
		pass  bool
	}{
		"the first by hash": {nil, true},
		"each by itself": {func(_ *limitFleet, v View, now time.Time) bool {
			return v.Server.admit(&allowances{{maxRequests: 1, window: window(limit)}}, now)
		}, false},
		"a share for each": {func(f *limitFleet, v View, now time.Time) bool {
			return v.Server.admit(&allowances{{maxRequests: 1, window: window(dividedShare * limit / float64(f.size))}}, now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(1, 42, 0, 5)
			f.admitOther = c.other

			for f.now.Sub(start) < 2*time.Second {
				f.step(false)
			}

			// All entry VMs may send at once, since they have no recent requests at the
			// servers.
			f.announce(5, rate(limit))

			for f.now.Sub(start) < 60*time.Second {
				f.step(false)
			}

			worst, mean := f.worst()
			if pass := worst <= 0; pass != c.pass {
				t.Errorf("%d requests more than allowed", worst)
			}

			t.Logf("%d requests more than allowed, %.2f a second in the mean", worst, mean)
		})
	}
}

// TestLimitLifted checks that all entry VMs of the failure domain use a server without a limit
// again soon after one of them had the reply that lifted it.
func TestLimitLifted(t *testing.T) {
	f := newLimitFleet(1, 42, 20, 10)
	for f.now.Sub(start) < 2*time.Second {
		f.step(false)
	}

	f.announce(1, rate(1))

	for f.now.Sub(start) < 10*time.Second {
		f.step(false)
	}

	limited := f.servers[0].Instance
	f.limits[limited] = carobward.Limit{}

	// One of limitOwners sends a request every few seconds and passes the reply on in two
	// heartbeats.
	for f.now.Sub(start) < 19*time.Second {
		f.step(false)
	}

	for _, v := range f.vms[:42] {
		if list := v.table.Limited(f.now); len(list) > 0 {
			t.Errorf("%s still has limits: %+v", v.id, list)
		}
	}
}

// TestLimitRecheck checks that an entry VM without a share sends one request to a server to
// check its limit after some time without announcements, and uses the server if the limit was
// lifted.
func TestLimitRecheck(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "d1"})
	table.Put([]carobward.Backend{backend(1, "d0")}, nil, start)

	server := table.byInstance[backend(1, "d0").Instance]
	announcement := func(l carobward.Limit, at time.Time) carobward.LimitAnnouncement {
		return carobward.LimitAnnouncement{Server: server.Backend().Instance, Limit: l, At: at}
	}

	server.MergeLimit(announcement(rate(2), start), ByReply)

	sent := 0

	for at := start; at.Before(start.Add(3 * limitRecheck)); at = at.Add(simStep) {
		if table.Admit(server, at) {
			sent++
		}
	}

	if sent != 2 {
		t.Errorf("%d requests in %s, want 2", sent, 3*limitRecheck)
	}

	now := start.Add(3 * limitRecheck)
	server.MergeLimit(announcement(carobward.Limit{}, now), ByReply)

	for range 2 {
		if !table.Admit(server, now) {
			t.Error("not used after its limit was lifted")
		}
	}
}

// TestMergeLimit checks the known limit after a sequence of announcements.
func TestMergeLimit(t *testing.T) {
	type announcement struct {
		value carobward.Limit
		from  Source
		// relayed is set if it was relayed by a third entry VM.
		relayed bool
		// at is when it arrived, in seconds.
		at      int
		changed bool
	}

	unreadable := carobward.Limit{Present: true}

	for name, c := range map[string]struct {
		announcements []announcement
		want          carobward.Limit
	}{
		"announced":                    {[]announcement{{rate(2), ByReply, false, 1, true}}, rate(2)},
		"by a health check":            {[]announcement{{rate(2), ByHealthCheck, false, 1, true}}, rate(2)},
		"by a peer":                    {[]announcement{{rate(2), ByPeer, false, 1, true}}, rate(2)},
		"once more":                    {[]announcement{{rate(2), ByReply, false, 1, true}, {rate(2), ByReply, false, 2, false}}, rate(2)},
		"changed":                      {[]announcement{{rate(2), ByReply, false, 1, true}, {rate(3), ByReply, false, 2, true}}, rate(3)},
		"lifted":                       {[]announcement{{rate(2), ByReply, false, 1, true}, {carobward.Limit{}, ByReply, false, 2, true}}, carobward.Limit{}},
		"lifted, by a peer":            {[]announcement{{rate(2), ByReply, false, 1, true}, {carobward.Limit{}, ByPeer, false, 2, true}}, carobward.Limit{}},
		"an older announcement":        {[]announcement{{rate(2), ByReply, false, 2, true}, {rate(3), ByPeer, false, 1, false}}, rate(2)},
		"none in a health check":       {[]announcement{{rate(2), ByReply, false, 1, true}, {carobward.Limit{}, ByHealthCheck, false, 2, false}}, rate(2)},
		"none in a later health check": {[]announcement{{rate(2), ByHealthCheck, false, 1, true}, {carobward.Limit{}, ByHealthCheck, false, 2, true}}, carobward.Limit{}},
		"unreadable, after one":        {[]announcement{{rate(2), ByReply, false, 1, true}, {unreadable, ByReply, false, 2, false}}, rate(2)},
		"unreadable, first":            {[]announcement{{unreadable, ByReply, false, 1, true}}, unreadable},
		"of the previous process":      {[]announcement{{rate(2), ByPeer, false, -1, false}}, carobward.Limit{}},
		"relayed, first":               {[]announcement{{rate(2), ByPeer, true, 1, true}}, rate(2)},
		"relayed, with one known":      {[]announcement{{rate(2), ByReply, false, 1, true}, {rate(3), ByPeer, true, 2, false}}, rate(2)},
		"relayed, after it was lifted": {[]announcement{{carobward.Limit{}, ByReply, false, 1, false}, {rate(3), ByPeer, true, 2, false}}, carobward.Limit{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(backend(1, "a"), newAnnouncers(), start)
			s.replacedAt = start

			for i, w := range c.announcements {
				at := start.Add(time.Duration(w.at) * time.Second)
				if changed := s.MergeLimit(carobward.LimitAnnouncement{Limit: w.value, At: at, Relayed: w.relayed}, w.from); changed != w.changed {
					t.Errorf("announcement %d changed the limit: %v", i, changed)
				}
			}

			if diff := cmp.Diff(c.want, s.limit.Limit); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPassedLimits checks that limits announced or lifted recently are passed on, and neither
// old ones, ones received from peers, nor the absence of a limit. A newcomer gets all limits
// that hold.
func TestPassedLimits(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})

	var list []carobward.Backend
	for i := range 7 {
		list = append(list, backend(i, "a"))
	}

	table.Put(list, nil, start)

	announce := func(i int, l carobward.Limit, from Source, after time.Duration) {
		instance := list[i].Instance
		table.byInstance[instance].MergeLimit(carobward.LimitAnnouncement{Server: instance, Limit: l, At: start.Add(after)}, from)
	}

	announce(0, rate(1), ByReply, 0)
	announce(1, rate(1), ByReply, 9*time.Second)
	announce(2, rate(1), ByReply, 0)
	announce(2, carobward.Limit{}, ByReply, 9*time.Second)
	announce(3, rate(1), ByPeer, 9*time.Second)
	announce(4, carobward.Limit{}, ByReply, 9*time.Second)
	announce(5, carobward.Limit{Present: true}, ByReply, 9*time.Second)

	want := map[carobward.Instance]carobward.Limit{list[1].Instance: rate(1), list[2].Instance: {}}
	got := map[carobward.Instance]carobward.Limit{}

	for _, w := range table.Announcements(start.Add(10*time.Second), false).Limits {
		got[w.Server] = w.Limit
	}

	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	// The lifted one is included since it is recent.
	if n := len(table.Announcements(start.Add(10*time.Second), true).Limits); n != 4 {
		t.Errorf("%d limits for a newcomer", n)
	}

	// After a suspension, during which the clock did not advance, they are old.
	table.Suspended(10 * time.Second)

	if diff := cmp.Diff([]carobward.LimitAnnouncement(nil), table.Announcements(start.Add(10*time.Second), false).Limits, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}

	// No limit is known of the last server, so a relayed announcement counts.
	last := carobward.LimitAnnouncement{Server: list[6].Instance, Limit: rate(1), At: start, Relayed: true}
	if changed := table.MergeLimits([]carobward.LimitAnnouncement{last}); len(changed) != 1 {
		t.Error("the first announcement of a server was ignored")
	}
}

// TestLimitAfterRestart checks that a limit ends with the process that announced it: the next
// process under its instance has none until it announces one, and announcements of the
// previous one are ignored.
func TestLimitAfterRestart(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})
	b := backend(1, "a")
	b.Start = 1
	table.Put([]carobward.Backend{b}, nil, start)

	announcement := func(r carobward.Rate, after time.Duration) []carobward.LimitAnnouncement {
		return []carobward.LimitAnnouncement{{Server: b.Instance, Limit: rate(r), At: start.Add(after)}}
	}

	table.MergeLimits(announcement(1, time.Second))

	b.Start = 2
	table.Put([]carobward.Backend{b}, nil, start.Add(3*time.Second))
	table.MergeLimits(announcement(2, 2*time.Second))

	if list := table.Limited(start.Add(4 * time.Second)); len(list) > 0 {
		t.Errorf("limits of the previous process after a restart: %+v", list)
	}

	table.MergeLimits(announcement(3, 5*time.Second))

	list := table.Limited(start.Add(6 * time.Second))
	if len(list) != 1 || list[0].Limit != rate(3) {
		t.Errorf("limits after an announcement of the new process: %+v", list)
	}
}

// TestRestartsRepeatLimit restarts the only entry VM every two seconds, which learns the limit of a
// server right after each start, and sends as much as it may.
func TestRestartsRepeatLimit(t *testing.T) {
	const (
		restarts = 10
		life     = 2 * time.Second
		limit    = 0.5
		step     = 50 * time.Millisecond
	)

	b, sent := backend(1, "a"), 0

	for i := range restarts {
		begin := start.Add(time.Duration(i) * life)
		table := New(VM{ID: "vm-1", Domain: "a"})
		table.Put([]carobward.Backend{b}, nil, begin)
		table.SetSharers(nil, 1, begin)
		table.MergeLimits([]carobward.LimitAnnouncement{{Server: b.Instance, Limit: rate(limit), At: begin}})

		server := table.Views(b.Service, begin, time.Second)[0].Server

		for at := time.Duration(0); at < life; at += step {
			if table.Admit(server, begin.Add(at)) {
				sent++
			}
		}
	}

	if most := limit * restarts * life.Seconds(); float64(sent) > most {
		t.Errorf("%d requests in %s, the limit allows %.0f", sent, restarts*life, most)
	}
}

// TestShare checks that the shares of all entry VMs add up to the whole.
func TestShare(t *testing.T) {
	for _, vms := range []int{1, 2, 5, 17, 95} {
		for _, maxRequests := range []int{1, 4, 12, 100} {
			for _, first := range []int{1, 4, 6, 1 << 40} {
				t.Run(fmt.Sprint(vms, " ", maxRequests, " ", first), func(t *testing.T) {
					var ids []carobward.VMID
					for i := range vms {
						ids = append(ids, carobward.VMID(fmt.Sprint("vm-", i)))
					}

					sum, parts := 0, 0

					for i, id := range ids {
						others := append(append([]carobward.VMID(nil), ids[:i]...), ids[i+1:]...)
						s := sharers{hashes: hashesOf(others), size: vms}
						n := s.share(hashesOf([]carobward.VMID{id})[id], 7, maxRequests, first)
						sum += n

						if n > 0 {
							parts++
						}
					}

					if sum != maxRequests || parts > first {
						t.Errorf("the shares add up to %d of %d requests, in %d shares of at most %d", sum, maxRequests, parts, first)
					}
				})
			}
		}
	}
}
