package cwroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
)

const usual = 10 * time.Millisecond

var (
	start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)
	now   = start.Add(time.Second)
)

// table returns a table with a number of services and a number of servers in
// each. All servers have four slots and have sent one reply and one report.
func table(services, each int) *cwserver.Table {
	var list []carobward.VM

	for i := range services * each {
		list = append(list, carobward.VM{
			Address: carobward.Address(fmt.Sprintf("10.0.%d.%d:80", i/each, i%each)),
			Service: service(i / each),
		})
	}

	t := cwserver.NewTable()
	t.Update(list)

	for i := range services {
		for _, s := range t.Of(service(i)) {
			s.Begin(start).End(start.Add(usual), cwserver.Replied)
			s.SetReport(carobward.Report{At: start, Slots: 4, Running: 1})
		}
	}

	return t
}

func service(i int) carobward.Service { return carobward.Service(fmt.Sprintf("service-%d", i)) }

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// chosen returns how often each server is chosen in a thousand choices.
func chosen(p cwroute.Policy, all, tried []*cwserver.Server) []int {
	rng := source()
	counts := make([]int, len(all))

	for range 1000 {
		s := p.Choose(now, all, tried, rng)
		for i := range all {
			if all[i] == s {
				counts[i]++
			}
		}
	}

	return counts
}

func TestLeastTime(t *testing.T) {
	begin := func(s *cwserver.Server, n int) {
		for range n {
			s.Begin(now)
		}
	}
	fail := func(s *cwserver.Server, n int) {
		for range n {
			s.Begin(now).End(now, cwserver.Failed)
		}
	}

	// Each case has in want which of the five servers may be chosen.
	tests := map[string]struct {
		change func(all []*cwserver.Server)
		tried  []int
		want   [5]bool
	}{
		"all equal": {func([]*cwserver.Server) {}, nil, [5]bool{true, true, true, true, true}},
		"own calls count": {func(all []*cwserver.Server) {
			begin(all[0], 2)
			begin(all[1], 5)
		}, nil, [5]bool{false, false, true, true, true}},
		"other entry VMs' calls count": {func(all []*cwserver.Server) {
			all[2].SetReport(carobward.Report{At: now, Slots: 4, Running: 4, Queued: 3})
		}, nil, [5]bool{true, true, false, true, true}},
		"an overdue call counts": {func(all []*cwserver.Server) {
			all[3].Begin(now.Add(-5 * usual))
		}, nil, [5]bool{true, true, true, false, true}},
		"fast failures attract no calls": {func(all []*cwserver.Server) {
			fail(all[4], 1)
		}, nil, [5]bool{true, true, true, true, false}},
		"fast refusals attract no calls": {func(all []*cwserver.Server) {
			all[4].Begin(now).End(now, cwserver.Refused)
		}, nil, [5]bool{true, true, true, true, false}},
		"a leaving server is not chosen": {func(all []*cwserver.Server) {
			all[0].Leaving.Store(true)
		}, nil, [5]bool{false, true, true, true, true}},
		"a server that had the request is not chosen": {func([]*cwserver.Server) {}, []int{1, 2}, [5]bool{true, false, false, true, true}},
		"an ejected server is the last resort": {func(all []*cwserver.Server) {
			fail(all[0], 3)
			for _, s := range all[1:] {
				s.Leaving.Store(true)
			}
		}, nil, [5]bool{true, false, false, false, false}},
		"an ejected server is not chosen though all others are slow": {func(all []*cwserver.Server) {
			fail(all[0], 3)
			for _, s := range all[1:] {
				s.Begin(now.Add(-time.Minute))
			}
		}, nil, [5]bool{false, true, true, true, true}},
		"full servers are not chosen": {func(all []*cwserver.Server) {
			for i := range 4 {
				begin(all[i], 1)
				all[i].SetReport(carobward.Report{At: now, Slots: 4, Running: 4, Queued: 9})
			}

			begin(all[4], 1)
		}, nil, [5]bool{false, false, false, false, true}},
		"one call is allowed on a full server": {func(all []*cwserver.Server) {
			for i := range 5 {
				begin(all[i], min(i, 1))
				all[i].SetReport(carobward.Report{At: now, Slots: 4, Running: 4, Queued: 9})
			}
		}, nil, [5]bool{true, false, false, false, false}},
		"none if all are full": {func(all []*cwserver.Server) {
			for _, s := range all {
				begin(s, 9)
			}
		}, nil, [5]bool{}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := table(1, 5).Of(service(0))
			test.change(all)

			var tried []*cwserver.Server
			for _, i := range test.tried {
				tried = append(tried, all[i])
			}

			var got [5]bool
			for i, n := range chosen(cwroute.LeastTime{MaxPerSlot: 2}, all, tried) {
				got[i] = n > 0
			}

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLeastTimeSpreads verifies that servers with equal costs share the calls,
// so that many entry VMs don't all choose the same one.
func TestLeastTimeSpreads(t *testing.T) {
	const busy = 15

	all := table(1, 30).Of(service(0))
	for _, s := range all[:busy] {
		for range 4 {
			s.Begin(now)
		}
	}

	for i, n := range chosen(cwroute.LeastTime{MaxPerSlot: 2}, all, nil) {
		if i < busy && n > 0 || i >= busy && (n < 35 || n > 110) {
			t.Errorf("server %d was chosen %d times in 1000", i, n)
		}
	}
}

// TestLeastTimePrefersOwnDomain verifies that the servers in the entry VM's own
// failure domain get all calls until their load costs more time than a call to
// another domain.
func TestLeastTimePrefersOwnDomain(t *testing.T) {
	tests := map[string]struct {
		calls int
		far   time.Duration
		near  bool
	}{
		"idle":                      {0, usual / 5, true},
		"one call, longer distance": {1, usual / 2, true},
		"all slots in use":          {4, usual / 5, false},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := table(1, 6).Of(service(0))
			for i, s := range all {
				s.Domain = [...]carobward.Domain{"near", "far"}[i%2]
				for range test.calls * (1 - i%2) {
					s.Begin(now)
				}
			}

			inDomain := 0

			for i, n := range chosen(cwroute.LeastTime{MaxPerSlot: 2, Domain: "near", CrossDomainTime: test.far}, all, nil) {
				inDomain += n * (1 - i%2)
			}

			if want := map[bool]int{true: 1000}[test.near]; inDomain != want {
				t.Errorf("%d calls stayed in the failure domain, want %d", inDomain, want)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for name, p := range map[string]cwroute.Policy{
		"scan": cwroute.LeastTime{MaxPerSlot: 2}, "sample-2": cwroute.LeastTime{MaxPerSlot: 2, Sample: 2},
		"sample-5": cwroute.LeastTime{MaxPerSlot: 2, Sample: 5}, "pair": cwroute.TwoChoices{},
	} {
		for size, services := range map[string]int{"30": 1, "6600-in-220": 220} {
			b.Run(name+"/"+size, func(b *testing.B) {
				t := table(services, 30)
				rng := source()

				var lists [][]*cwserver.Server
				for i := range services {
					lists = append(lists, t.Of(service(i)))
				}

				b.ReportAllocs()
				b.ResetTimer()

				for i := range b.N {
					if p.Choose(now, lists[i%services], nil, rng) == nil {
						b.Fatal("no server was chosen")
					}
				}
			})
		}
	}
}

// TestOldReportsOfFullServersExpire has all servers report for a second that
// they are full. An entry VM that sends nothing because of that gets no new
// reports, so it must try again once the last ones are old.
func TestOldReportsOfFullServersExpire(t *testing.T) {
	all := table(1, 5).Of(service(0))

	for _, s := range all {
		s.Begin(now)
	}

	for i := range 1000 {
		for _, s := range all {
			s.SetReport(carobward.Report{At: now.Add(time.Duration(i) * time.Millisecond), Slots: 4, Running: 4, Queued: 30})
		}
	}

	end := now.Add(time.Second)
	p := cwroute.LeastTime{MaxPerSlot: 2}

	if p.Choose(end, all, nil, source()) != nil {
		t.Error("a full server was chosen right after the last reports")
	}

	if p.Choose(end.Add(5*time.Second), all, nil, source()) == nil {
		t.Error("no server is chosen five seconds after the last reports")
	}
}
