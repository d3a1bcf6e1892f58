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
	return carobward.Limit{Named: true, Readable: true, Rate: r}
}

// TestLimitHistory plays fleets of 17 to 472 entry VMs, of which those in the failure domain
// of the servers and some of another one are there, as they send as much as they may. No server
// that names a limit may get more than the users allow, and in calm none more than the
// limit in the mean, from those that were told or not, and a good part of it.
func TestLimitHistory(t *testing.T) {
	const span = 12 * time.Second

	few := carobward.Limit{Named: true}

	for name, c := range map[string]struct {
		near, far, servers int
		// named is how many servers name a limit, and says what, one after the other, in parts of span.
		named int
		says  []carobward.Limit
		// least is the part of the limit that a server must get in the mean in calm.
		least float64
	}{
		"17 entry VMs":             {6, 11, 12, 1, []carobward.Limit{rate(1.4)}, 0.5},
		"19, all servers":          {7, 12, 11, 11, []carobward.Limit{rate(1)}, 0.4},
		"126":                      {42, 30, 71, 5, []carobward.Limit{rate(1.4)}, 0.5},
		"126, a small service":     {42, 30, 5, 5, []carobward.Limit{rate(2)}, 0.5},
		"472":                      {95, 30, 144, 10, []carobward.Limit{rate(1.4)}, 0.5},
		"472, a single server":     {95, 30, 1, 1, []carobward.Limit{rate(1)}, 0.4},
		"one entry VM is left":     {1, 6, 4, 2, []carobward.Limit{rate(2)}, 0.5},
		"none is near":             {0, 12, 4, 2, []carobward.Limit{rate(2)}, 0},
		"high":                     {7, 12, 11, 2, []carobward.Limit{rate(25)}, 0.5},
		"hardly any":               {42, 30, 71, 5, []carobward.Limit{rate(0.1)}, 0},
		"nothing":                  {42, 30, 71, 5, []carobward.Limit{rate(0)}, 0},
		"lowered":                  {42, 30, 71, 5, []carobward.Limit{rate(20), rate(5), rate(1), rate(1)}, 0},
		"raised":                   {7, 12, 11, 2, []carobward.Limit{rate(1), rate(5), rate(20), rate(20)}, 0},
		"taken back, named again":  {42, 30, 71, 5, []carobward.Limit{rate(1), {}, rate(1), rate(1)}, 0},
		"can't be read after some": {7, 12, 11, 2, []carobward.Limit{rate(2), few, few, few}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			for seed, trouble := range []bool{false, true} {
				mean := playLimits(t, newLimitFleet(uint64(seed), c.near, c.far, c.servers), c.named, c.says, span, trouble)
				limit := float64(c.says[0].Rate)

				if steady := len(c.says) == 1; steady && !trouble && (mean > max(limit, 0.3) || mean < c.least*limit) {
					t.Errorf("%.2f requests a second and server, the limit is %.2f", mean, limit)
				}

				t.Logf("trouble %v: %.2f requests a second and server", trouble, mean)
			}
		})
	}
}

// TestLimitWays has what ways of keeping limits that were not taken let through: each entry
// VM by itself, and a part for each of them, however small.
func TestLimitWays(t *testing.T) {
	const limit = 2

	window := func(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

	for name, c := range map[string]struct {
		other func(f *limitFleet, v View, now time.Time) bool
		pass  bool
	}{
		"the first by hash": {nil, true},
		"each by itself": {func(_ *limitFleet, v View, now time.Time) bool {
			return v.Server.admit(&allowances{{most: 1, window: window(limit)}}, now)
		}, false},
		"a part for each": {func(f *limitFleet, v View, now time.Time) bool {
			return v.Server.admit(&allowances{{most: 1, window: window(sharePart * limit / float64(f.size))}}, now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(1, 42, 0, 5)
			f.other = c.other

			for f.now.Sub(start) < 2*time.Second {
				f.step(false)
			}

			// All turn to the servers at once when their own load has been elsewhere.
			f.name(5, rate(limit))

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

// TestLimitTaken wants all entry VMs of the failure domain to use a server again that has
// taken its limit back, soon after one of them had its reply.
func TestLimitTaken(t *testing.T) {
	f := newLimitFleet(1, 42, 20, 10)
	for f.now.Sub(start) < 2*time.Second {
		f.step(false)
	}

	f.name(1, rate(1))

	for f.now.Sub(start) < 10*time.Second {
		f.step(false)
	}

	limited := f.servers[0].Instance
	f.says[limited] = carobward.Limit{}

	// One of limitOwners comes each few seconds, and its word goes with two heartbeats.
	for f.now.Sub(start) < 19*time.Second {
		f.step(false)
	}

	for _, v := range f.vms[:42] {
		if list := v.table.Limited(f.now); len(list) > 0 {
			t.Errorf("%s: %+v", v.id, list)
		}
	}
}

// TestLimitAsked wants an entry VM without a part to ask a server again, by one request,
// once nobody has said anything of its limit for a time, and to use it if there is none.
func TestLimitAsked(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "d1"})
	table.Put([]carobward.Backend{backend(1, "d0")}, nil, start)

	server := table.byInstance[backend(1, "d0").Instance]
	word := func(l carobward.Limit, at time.Time) carobward.LimitWord {
		return carobward.LimitWord{Server: server.Backend().Instance, Limit: l, At: at}
	}

	server.TakeLimit(word(rate(2), start), ByReply)

	sent := 0

	for at := start; at.Before(start.Add(3 * limitKeep)); at = at.Add(coldStep) {
		if table.Admit(server, at) {
			sent++
		}
	}

	if sent != 2 {
		t.Errorf("asked %d times in %s", sent, 3*limitKeep)
	}

	now := start.Add(3 * limitKeep)
	server.TakeLimit(word(carobward.Limit{}, now), ByReply)

	for range 2 {
		if !table.Admit(server, now) {
			t.Error("not used after its limit is gone")
		}
	}
}

// TestTakeLimit has words on a limit one after the other, and what is believed then.
func TestTakeLimit(t *testing.T) {
	type word struct {
		says carobward.Limit
		from Source
		// passed tells that it went by way of a third entry VM.
		passed bool
		// at is when it came, in seconds.
		at   int
		news bool
	}

	few := carobward.Limit{Named: true}

	for name, c := range map[string]struct {
		words []word
		want  carobward.Limit
	}{
		"named":                       {[]word{{rate(2), ByReply, false, 1, true}}, rate(2)},
		"by a health answer":          {[]word{{rate(2), ByLook, false, 1, true}}, rate(2)},
		"by a peer":                   {[]word{{rate(2), ByPeer, false, 1, true}}, rate(2)},
		"once more":                   {[]word{{rate(2), ByReply, false, 1, true}, {rate(2), ByReply, false, 2, false}}, rate(2)},
		"changed":                     {[]word{{rate(2), ByReply, false, 1, true}, {rate(3), ByReply, false, 2, true}}, rate(3)},
		"taken back":                  {[]word{{rate(2), ByReply, false, 1, true}, {carobward.Limit{}, ByReply, false, 2, true}}, carobward.Limit{}},
		"taken back, by a peer":       {[]word{{rate(2), ByReply, false, 1, true}, {carobward.Limit{}, ByPeer, false, 2, true}}, carobward.Limit{}},
		"an older word":               {[]word{{rate(2), ByReply, false, 2, true}, {rate(3), ByPeer, false, 1, false}}, rate(2)},
		"a health answer is silent":   {[]word{{rate(2), ByReply, false, 1, true}, {carobward.Limit{}, ByLook, false, 2, false}}, rate(2)},
		"one that named it is silent": {[]word{{rate(2), ByLook, false, 1, true}, {carobward.Limit{}, ByLook, false, 2, true}}, carobward.Limit{}},
		"can't be read, after one":    {[]word{{rate(2), ByReply, false, 1, true}, {few, ByReply, false, 2, false}}, rate(2)},
		"can't be read, first":        {[]word{{few, ByReply, false, 1, true}}, few},
		"on the process before":       {[]word{{rate(2), ByPeer, false, -1, false}}, carobward.Limit{}},
		"passed on, the first word":   {[]word{{rate(2), ByPeer, true, 1, true}}, rate(2)},
		"passed on, with one known":   {[]word{{rate(2), ByReply, false, 1, true}, {rate(3), ByPeer, true, 2, false}}, rate(2)},
		"passed on, after it is gone": {[]word{{carobward.Limit{}, ByReply, false, 1, false}, {rate(3), ByPeer, true, 2, false}}, carobward.Limit{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(backend(1, "a"), newSpeakers(), start)
			s.follows = start

			for i, w := range c.words {
				at := start.Add(time.Duration(w.at) * time.Second)
				if news := s.TakeLimit(carobward.LimitWord{Limit: w.says, At: at, Passed: w.passed}, w.from); news != w.news {
					t.Errorf("word %d: news %v", i, news)
				}
			}

			if diff := cmp.Diff(c.want, s.limit.Limit); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLimits wants what a server said lately to be passed on, also that it took a limit
// back, and nothing that is old, that peers said, or that names no limit.
// A newcomer gets all that stand.
func TestLimits(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})

	var list []carobward.Backend
	for i := range 7 {
		list = append(list, backend(i, "a"))
	}

	table.Put(list, nil, start)

	say := func(i int, l carobward.Limit, from Source, after time.Duration) {
		instance := list[i].Instance
		table.byInstance[instance].TakeLimit(carobward.LimitWord{Server: instance, Limit: l, At: start.Add(after)}, from)
	}

	say(0, rate(1), ByReply, 0)
	say(1, rate(1), ByReply, 9*time.Second)
	say(2, rate(1), ByReply, 0)
	say(2, carobward.Limit{}, ByReply, 9*time.Second)
	say(3, rate(1), ByPeer, 9*time.Second)
	say(4, carobward.Limit{}, ByReply, 9*time.Second)
	say(5, carobward.Limit{Named: true}, ByReply, 9*time.Second)

	want := map[carobward.Instance]carobward.Limit{list[1].Instance: rate(1), list[2].Instance: {}}
	got := map[carobward.Instance]carobward.Limit{}

	for _, w := range table.Words(start.Add(10*time.Second), false).Limits {
		got[w.Server] = w.Limit
	}

	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	// The one that is taken back goes along, since it is news.
	if n := len(table.Words(start.Add(10*time.Second), true).Limits); n != 4 {
		t.Errorf("%d words for a newcomer", n)
	}

	// After a time that the clock did not count they are old.
	table.Suspended(10 * time.Second)

	if diff := cmp.Diff([]carobward.LimitWord(nil), table.Words(start.Add(10*time.Second), false).Limits, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}

	// Of a server that has never said anything it still knows nothing.
	last := carobward.LimitWord{Server: list[6].Instance, Limit: rate(1), At: start, Passed: true}
	if news := table.TakeLimits([]carobward.LimitWord{last}); len(news) != 1 {
		t.Error("the first word on a server was passed over")
	}
}

// TestLimitStartedAgain wants a limit to go with the process that named it: the next one under
// its instance has none until it names one, and words on the one before are passed over.
func TestLimitStartedAgain(t *testing.T) {
	table := New(VM{ID: "vm-1", Domain: "a"})
	b := backend(1, "a")
	b.Start = 1
	table.Put([]carobward.Backend{b}, nil, start)

	word := func(r carobward.Rate, after time.Duration) []carobward.LimitWord {
		return []carobward.LimitWord{{Server: b.Instance, Limit: rate(r), At: start.Add(after)}}
	}

	table.TakeLimits(word(1, time.Second))

	b.Start = 2
	table.Put([]carobward.Backend{b}, nil, start.Add(3*time.Second))
	table.TakeLimits(word(2, 2*time.Second))

	if list := table.Limited(start.Add(4 * time.Second)); len(list) > 0 {
		t.Errorf("%+v", list)
	}

	table.TakeLimits(word(3, 5*time.Second))

	list := table.Limited(start.Add(6 * time.Second))
	if len(list) != 1 || list[0].Limit != rate(3) {
		t.Errorf("%+v", list)
	}
}

// TestPart wants the parts of all entry VMs to be the whole, whatever it is.
func TestPart(t *testing.T) {
	for _, vms := range []int{1, 2, 5, 17, 95} {
		for _, most := range []int{1, 4, 12, 100} {
			for _, first := range []int{1, 4, 6, 1 << 40} {
				t.Run(fmt.Sprint(vms, " ", most, " ", first), func(t *testing.T) {
					var ids []carobward.VMID
					for i := range vms {
						ids = append(ids, carobward.VMID(fmt.Sprint("vm-", i)))
					}

					sum, parts := 0, 0

					for i, id := range ids {
						others := append(append([]carobward.VMID(nil), ids[:i]...), ids[i+1:]...)
						s := sharers{hashes: hashesOf(others), size: vms}
						n := s.part(hashesOf([]carobward.VMID{id})[id], 7, most, first)
						sum += n

						if n > 0 {
							parts++
						}
					}

					if sum != most || parts > first {
						t.Errorf("%d of %d, in %d parts of %d", sum, most, parts, first)
					}
				})
			}
		}
	}
}
