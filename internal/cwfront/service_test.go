package cwfront

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwretry"
)

// newFront returns a front that has a part of all requests, with ten servers.
func newFront(part float64) *Front {
	const servers = 10

	table := cwbackend.New(cwbackend.VM{ID: "vm-1", Domain: "a"})

	var list []carobward.Backend
	for i := range servers {
		list = append(list, carobward.Backend{Instance: carobward.Instance(fmt.Sprint(i)), Service: "records", Domain: "a", Slots: 4})
	}

	table.Put(list, nil, time.Now())

	return New(Options{
		Servers: table, Clock: carobward.SystemClock{}, Metrics: cwmetric.New(), Log: logr.Discard(),
		Limits: Limits{ExtraShare: 0.2, ExtraWindow: 10 * time.Second, ExtraLeast: 64, Looks: 60},
		Fleet:  func() int { return 4 }, Part: func() float64 { return part },
	})
}

// TestLooksBound asks for looks as fast as it can for a minute, and wants them
// within this entry VM's part of the bound, with few once the savings are
// spent.
func TestLooksBound(t *testing.T) {
	const (
		minute = 60
		bound  = 60.0 * 10
	)

	for name, part := range map[string]float64{"an equal part": 0.25, "a small one": 0.01, "all": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFront(part)
			r := &request{front: f, kept: f.service("records")}
			start := time.Now()
			looks := 0

			for ms := range minute * 1000 {
				looks += r.width(start.Add(time.Duration(ms) * time.Millisecond))
			}

			most := bound*part*minute + cwpick.Width
			if float64(looks) > most || float64(looks) < 0.8*most {
				t.Errorf("%d looks in a minute of at most %.0f", looks, most)
			}
		})
	}
}

// TestLearn wants the usual time to be that of a machine at its usual speed
// with free slots, each objective to have its own, and crowding to be learned.
func TestLearn(t *testing.T) {
	const (
		fast  = 500 * time.Millisecond
		slow  = time.Second
		usual = 100 * time.Millisecond
	)

	s := newFront(1).service("records")

	for range 400 {
		s.learn(fast, usual, 1, false, false)
		s.learn(fast, 5*usual, 5, false, false)
		s.learn(fast, 2*usual, 1, true, false)
		s.learn(slow, 3*usual, 0, false, false)
	}

	near := func(a, b time.Duration) bool { return math.Abs(float64(a-b)) < 0.02*float64(b) }

	if got := s.time(fast); !near(got, usual) {
		t.Errorf("usual time %s", got)
	}

	if got := s.time(slow); !near(got, 3*usual) {
		t.Errorf("usual time of the other objective %s", got)
	}

	if got := s.crowding(); math.Abs(got-2) > 0.05 {
		t.Errorf("crowding %.2f", got)
	}

	if got := s.time(2 * time.Second); got != 800*time.Millisecond {
		t.Errorf("usual time where none is known: %s", got)
	}
}

// TestSlack wants all entry VMs together to stay within the free extra calls.
func TestSlack(t *testing.T) {
	f := newFront(1)
	if all := f.slack() * float64(f.Fleet()); all > float64(f.Limits.ExtraLeast) || all < 0.8*float64(f.Limits.ExtraLeast) {
		t.Errorf("%.1f free extra calls over the fleet, %d are allowed", all, f.Limits.ExtraLeast)
	}
}

// TestSetLimits puts new limits in force for services that are known and for
// new ones; what has been counted stays counted.
func TestSetLimits(t *testing.T) {
	f := newFront(1)
	now := time.Now()
	take := func(name carobward.Service) bool { return f.service(name).window.Take(now, 0, cwretry.Needed) }

	for range 100 {
		f.service("records").window.Request(now)
	}

	f.SetLimits(Limits{ExtraShare: 0.02, ExtraLeast: 8, Looks: 10, ExtraWindow: time.Minute})

	if !take("records") || take("records") {
		t.Error("not one extra call of a hundred requests")
	}

	if got := f.limits.Load().ExtraWindow; got != 10*time.Second {
		t.Errorf("the window changed to %s", got)
	}

	if limit, _ := f.pace("records"); math.Round(float64(limit)) != 90 {
		t.Errorf("%v looks a second at ten servers", limit)
	}
}

// TestLookTime has how long a health check is awaited by what the last ones took.
func TestLookTime(t *testing.T) {
	const objective = time.Second

	for name, c := range map[string]struct {
		took []time.Duration
		want time.Duration
	}{
		"nothing known":        {nil, lookTime},
		"at once":              {[]time.Duration{time.Millisecond}, lookTime},
		"slow":                 {[]time.Duration{80 * time.Millisecond}, 160 * time.Millisecond},
		"slower than is borne": {[]time.Duration{400 * time.Millisecond}, 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service{}
			for _, took := range c.took {
				s.learnLook(took)
			}

			if diff := cmp.Diff(c.want, s.lookTime(objective)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
