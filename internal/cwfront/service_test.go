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

// newFront returns a front with ten servers and a share of all requests.
func newFront(share float64) *Front {
	const servers = 10

	table := cwbackend.New(cwbackend.VM{ID: "vm-1", Domain: "a"})

	var list []carobward.Backend
	for i := range servers {
		list = append(list, carobward.Backend{Instance: carobward.Instance(fmt.Sprint(i)), Service: "records", Domain: "a", Slots: 4})
	}

	table.Put(list, nil, time.Now())

	return New(Options{
		Servers: table, Clock: carobward.SystemClock{}, Metrics: cwmetric.New(), Log: logr.Discard(),
		Limits:    Limits{ExtraShare: 0.2, ExtraWindow: 10 * time.Second, ExtraMin: 64, ChecksPerSecond: 60},
		FleetSize: func() int { return 4 }, TrafficShare: func() float64 { return share },
	})
}

// TestCheckRate makes health checks as fast as the rate limit allows for a minute. They
// must stay within this entry VM's share of the limit and use most of it.
func TestCheckRate(t *testing.T) {
	const (
		minute = 60
		limit  = 60.0 * 10
	)

	for name, share := range map[string]float64{"an equal share": 0.25, "a small share": 0.01, "all": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFront(share)
			r := &request{front: f, state: f.serviceState("records")}
			start := time.Now()
			checks := 0

			for ms := range minute * 1000 {
				checks += r.checkCount(start.Add(time.Duration(ms) * time.Millisecond))
			}

			most := limit*share*minute + cwpick.SampleSize
			if float64(checks) > most || float64(checks) < 0.8*most {
				t.Errorf("%d health checks in a minute, want at most %.0f and most of them", checks, most)
			}
		})
	}
}

// TestRestartsSaveHealthChecks makes health checks as fast as the rate limit allows while the
// process is restarted every two seconds, and counts those of all processes.
func TestRestartsSaveHealthChecks(t *testing.T) {
	const (
		restarts = 15
		life     = 1600
		period   = 2000 // Both in milliseconds.
		limit    = 60.0 * 10
		share    = 0.25
	)

	checks := 0

	for range restarts {
		f := newFront(share)
		r := &request{front: f, state: f.serviceState("records")}
		start := time.Now()

		for ms := range life {
			checks += r.checkCount(start.Add(time.Duration(ms) * time.Millisecond))
		}
	}

	most := limit * share * restarts * period / 1000
	if float64(checks) > most || float64(checks) < 0.8*most {
		t.Errorf("%d health checks in %d s, want at most %.0f and most of them", checks, restarts*period/1000, most)
	}
}

// TestRecordAnswer checks that the usual response time is that of a machine at its usual
// speed with free slots, that each objective has its own, and that the crowding factor is
// learned.
func TestRecordAnswer(t *testing.T) {
	const (
		fast  = 500 * time.Millisecond
		slow  = time.Second
		usual = 100 * time.Millisecond
	)

	s := newFront(1).serviceState("records")

	for range 400 {
		s.recordAnswer(fast, usual, 1, false, false)
		s.recordAnswer(fast, 5*usual, 5, false, false)
		s.recordAnswer(fast, 2*usual, 1, true, false)
		s.recordAnswer(slow, 3*usual, 0, false, false)
	}

	near := func(a, b time.Duration) bool { return math.Abs(float64(a-b)) < 0.02*float64(b) }

	if got := s.responseTime(fast); !near(got, usual) {
		t.Errorf("usual response time %s", got)
	}

	if got := s.responseTime(slow); !near(got, 3*usual) {
		t.Errorf("usual response time of the other objective %s", got)
	}

	if got := s.crowding(); math.Abs(got-2) > 0.05 {
		t.Errorf("crowding factor %.2f", got)
	}

	if got := s.responseTime(2 * time.Second); got != 800*time.Millisecond {
		t.Errorf("usual response time for an objective without answers: %s", got)
	}
}

// TestMinExtraCalls checks that all entry VMs together stay within ExtraMin.
func TestMinExtraCalls(t *testing.T) {
	f := newFront(1)
	if all := f.fixedExtraCalls(f.FleetSize()) * float64(f.FleetSize()); all > float64(f.Limits.ExtraMin) || all < 0.8*float64(f.Limits.ExtraMin) {
		t.Errorf("%.1f extra calls without requests over the fleet, want at most %d and most of them", all, f.Limits.ExtraMin)
	}
}

// TestSetLimits checks that new limits apply to services that already have a state, and that
// counts and the window stay.
func TestSetLimits(t *testing.T) {
	f := newFront(1)
	now := time.Now()
	take := func(name carobward.Service) bool {
		return f.serviceState(name).window.Take(now, 0, cwretry.Needed).Granted()
	}

	for range 900 {
		f.serviceState("records").window.Request(now)
	}

	f.SetLimits(Limits{ExtraShare: 0.03, ExtraMin: 8, ChecksPerSecond: 10, ExtraWindow: time.Minute})

	// A tenth of the 27 that the window allows can be saved up.
	if got := []bool{take("records"), take("records"), take("records")}; !cmp.Equal([]bool{true, true, false}, got) {
		t.Errorf("want exactly two extra calls at once for nine hundred requests, got %v", got)
	}

	if got := f.limits.Load().ExtraWindow; got != 10*time.Second {
		t.Errorf("window changed to %s", got)
	}

	if limit, _ := f.checkRate("records"); math.Round(float64(limit)) != 90 {
		t.Errorf("%v health checks a second for ten servers", limit)
	}
}

// TestCheckTimeout checks how the timeout of health checks follows the time that recent
// ones took.
func TestCheckTimeout(t *testing.T) {
	const objective = time.Second

	for name, c := range map[string]struct {
		took []time.Duration
		want time.Duration
	}{
		"no checks yet":                    {nil, minCheckTimeout},
		"fast":                             {[]time.Duration{time.Millisecond}, minCheckTimeout},
		"slow":                             {[]time.Duration{80 * time.Millisecond}, 160 * time.Millisecond},
		"slower than the objective allows": {[]time.Duration{400 * time.Millisecond}, 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := &serviceState{}
			for _, took := range c.took {
				s.recordCheckTime(took)
			}

			if diff := cmp.Diff(c.want, s.checkTimeout(objective)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
