package cwmesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// loadService is a service of the simulated fleet.
const loadService = carobward.Service("records")

// simLoad is the load at each entry VM of a simulated fleet.
func simLoad() carobward.ServiceLoad {
	return carobward.ServiceLoad{Service: loadService, Demand: [carobward.LoadRanks]carobward.Rate{1.5, 0, 5.5}, Completed: 4, Full: 3, Waiting: 1}
}

// newLoadSim returns a fleet in which each entry VM has the load of simLoad.
func newLoadSim(seed uint64, count int) *sim {
	s := newSim(seed, count)
	for _, v := range s.vms {
		v.onStart = func(v *simVM) {
			v.mesh.OwnLoad = func(time.Time) []carobward.ServiceLoad { return []carobward.ServiceLoad{simLoad()} }
		}
	}

	return s
}

// wrongLoad describes the first entry VM that knows a load that differs from that of the
// entry VMs that run, or returns "". A failure domain may be known as cut off.
func (s *sim) wrongLoad() string {
	alive := map[carobward.Domain]int{}

	for _, v := range s.vms {
		if v.alive && !v.suspended {
			alive[v.node.Domain]++
		}
	}

	for _, v := range s.vms {
		if !v.alive || v.suspended {
			continue
		}

		known := v.mesh.Load(loadService, s.now)
		want := len(alive)

		switch {
		case s.cut == v.node.Domain:
			want = 1
		case s.cut != "":
			want--
		}

		if len(known) != want || known[0].Domain != v.node.Domain {
			return fmt.Sprintf("%s knows the load of %d failure domains of %d, or not its own first", v.node.ID, len(known), want)
		}

		for _, d := range known {
			if got, want := float64(d.Total()), 7*float64(alive[d.Domain]); d.VMs != alive[d.Domain] || got < want-0.5 || got > want+0.5 {
				return fmt.Sprintf("%s knows a load of %.1f at %d entry VMs of %s, not %.1f at %d", v.node.ID, got, d.VMs, d.Domain, want, alive[d.Domain])
			}
		}
	}

	return ""
}

// TestFleetLoad checks that each entry VM knows the load of services in all failure domains,
// also with losses, cuts and restarts, and that nothing old is used.
func TestFleetLoad(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		vms  int
		loss float64
		play func(*sim)
		// within is the time until all entry VMs have to know the load.
		within time.Duration
	}{
		"a fleet of 17":    {17, 0, nil, simFormTime},
		"a fleet of 139":   {139, 0, nil, simFormTime},
		"a fleet of 472":   {472, 0, nil, simFormTime},
		"a fleet of 1,000": {1000, 0, nil, 2 * simFormTime},
		"packet loss":      {60, 0.03, nil, 2 * simFormTime},
		"half die":         {60, 0, func(s *sim) { s.stopSome(func(i int) bool { return i%2 == 0 }) }, simDeathTime},
		"all restart":      {60, 0, func(s *sim) { s.stopSome(func(int) bool { return true }); s.run(time.Second, nil); s.startAll() }, 2 * simFormTime},
		"one is suspended": {60, 0, func(s *sim) { s.vms[7].suspended = true }, simDeathTime},
		"a domain is cut":  {60, 0, func(s *sim) { s.cut = "hall-1" }, loadTimeout + heartbeatInterval},
		"a domain returns": {60, 0, func(s *sim) { s.cut = "hall-1"; s.run(2*loadTimeout, nil); s.cut = "" }, 4 * heartbeatInterval},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s := newLoadSim(8, c.vms)
			s.loss = c.loss

			if c.play != nil {
				s.run(2*simFormTime, nil)
				c.play(s)
			}

			wrong := s.wrongLoad()
			for until := s.now.Add(c.within); wrong != "" && s.now.Before(until); wrong = s.wrongLoad() {
				s.run(simCheckInterval, nil)
			}

			if wrong != "" {
				t.Error(wrong)
			}
		})
	}
}

// TestLoadAge checks that the load of another failure domain has the age at which it was
// measured there, and is left out once it is old.
func TestLoadAge(t *testing.T) {
	t.Parallel()

	// transit is how much younger a summary looks that has passed two entry VMs of each failure
	// domain: the age in a message leaves out its time on the way.
	const transit = 2 * simDomains * simStep

	s := newLoadSim(9, 60)
	s.run(2*simFormTime, nil)

	v := s.vms[0]
	s.cut = v.node.Domain
	s.run(loadTimeout/2+transit, nil)

	for i, d := range v.mesh.Load(loadService, s.now) {
		age := s.now.Sub(d.At)
		if i == 0 && age > 2*heartbeatInterval || i > 0 && (age < loadTimeout/2 || age >= loadTimeout) {
			t.Errorf("%s has an age of %s", d.Domain, age)
		}
	}

	s.run(loadTimeout, nil)

	if got := len(v.mesh.Load(loadService, s.now)); got != 1 {
		t.Errorf("%d failure domains are known, all but one are old", got)
	}
}

// TestLoadAlone checks that nothing is known at an entry VM that hears from nobody, and that
// one to whose heartbeats no load was added has none.
func TestLoadAlone(t *testing.T) {
	s := newLoadSim(10, 10)
	s.run(2*simFormTime, nil)

	if got := s.vms[0].mesh.Load("fees", s.now); len(got) != simDomains || got[0].Total() != 0 || got[0].VMs != 2 {
		t.Errorf("a service without requests has the load %+v", got)
	}

	s.stopSome(func(i int) bool { return i > 0 })
	s.run(2*domainTimeout, nil)

	if got := s.vms[0].mesh.Load(loadService, s.now); got != nil {
		t.Errorf("an entry VM on its own knows %+v", got)
	}
}

// TestLoadWire checks that the load of services passes unchanged, that what a peer can send is
// bounded, and how many bytes it takes.
func TestLoadWire(t *testing.T) {
	list := []carobward.ServiceLoad{simLoad(), {Service: "fees", Full: 0.3}}
	if diff := cmp.Diff(list, decodeLoads(encodeLoads(list))); diff != "" {
		t.Error(diff)
	}

	raw, err := proto.Marshal(&cwwire.Beat{Loads: encodeLoads([]carobward.ServiceLoad{simLoad()})})
	if err != nil {
		t.Fatal(err)
	}

	if len(raw) > 32 {
		t.Errorf("the load of a service takes %d bytes", len(raw))
	}

	many := make([]*cwwire.Load, 1000)
	for i := range many {
		many[i] = &cwwire.Load{Service: fmt.Sprint(i), Demand: []uint32{1, 1, 1, 1, 1, 1}}
	}

	got := decodeLoads(many)
	if len(got) != maxLoads || got[0].Demand[carobward.LoadRanks-1] < 0.29 {
		t.Errorf("%d services are taken from a message, with the demand %v", len(got), got[0].Demand)
	}
}

// TestMaxLoads checks that a message has the services with the most requests.
func TestMaxLoads(t *testing.T) {
	var list []carobward.ServiceLoad
	for i := range 2 * maxLoads {
		list = append(list, carobward.ServiceLoad{Service: carobward.Service(fmt.Sprint(i)), Demand: [carobward.LoadRanks]carobward.Rate{carobward.Rate(i)}})
	}

	got := busiest(list)
	if len(got) != maxLoads || got[0].Service != "31" || got[maxLoads-1].Service != "16" {
		t.Errorf("got %d services, %v first", len(got), got[0].Service)
	}
}

// TestMaxLoadBytes verifies that a message carries the loads of the busiest services only, as
// many as fit, if the services have long names.
func TestMaxLoadBytes(t *testing.T) {
	var list []carobward.ServiceLoad

	for i := range maxLoads {
		name := carobward.Service(fmt.Sprint(i, strings.Repeat("x", 100)))
		list = append(list, carobward.ServiceLoad{Service: name, Demand: [carobward.LoadRanks]carobward.Rate{carobward.Rate(i)}})
	}

	beat := &cwwire.Beat{Loads: encodeLoads(busiest(list))}

	if n := len(beat.GetLoads()); n < 4 || n == maxLoads || !strings.HasPrefix(beat.GetLoads()[0].GetService(), "15") {
		t.Errorf("%d services, %.4s first", n, beat.GetLoads()[0].GetService())
	}

	if size := proto.Size(beat); size > maxLoadBytes+8*maxLoads {
		t.Errorf("%d bytes", size)
	}
}
