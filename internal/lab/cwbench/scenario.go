package cwbench

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwstand"
)

// Scenario has the conditions that all variants of a run share.
type Scenario struct {
	// Name says what the scenario is for.
	Name string
	// Seed determines arrivals, work, schedules and random choices.
	Seed uint64
	// VMs is the number of entry VMs, Domains the number of failure domains. VMs and
	// servers are assigned to the domains round-robin.
	VMs, Domains int
	// Servers is the number of servers, Slots the number of calls that each runs at
	// once.
	Servers, Slots int
	// Conns is the number of connections that a server accepts, Open the time to open
	// one.
	Conns int
	Open  time.Duration
	// Queue is the number of calls that wait at a server before it sheds load.
	Queue int
	// Between, Within and Client are one-way network delays: between failure domains,
	// inside one, and between caller and entry VM.
	Between, Within, Client time.Duration
	// Work is the mean time of a call in a slot, Spread the sigma of its lognormal
	// distribution.
	Work   time.Duration
	Spread float64
	// Load is the arrival rate as a share of the capacity of all slots at full speed.
	Load float64
	// Surges override the load for a time.
	Surges []Surge
	// Once is the share of calls that must run at most once.
	Once float64
	// Timeout is the time after which a caller gives up.
	Timeout time.Duration
	// Warm is the length of the warm-up, which the figures leave out. Length is the
	// time after it.
	Warm, Length time.Duration
	// Noise slows down each server on its own schedule.
	Noise cwstand.Noise
	// Faults are injected in addition to the noise.
	Faults []Fault
	// Trouble is the interval for which goodput and the time to recover are reported.
	Trouble Interval
	// ReportLag and ReportLie make the load reports of the first Misleading servers,
	// in the order that the seed draws, stale or wrong.
	ReportLag  time.Duration
	ReportLie  cwstand.Lie
	Misleading int
	// ReportBudget is the budget of the operator for load measurements, in bytes a
	// second. Half of the share of each entry VM is for reports in replies. With
	// zero, every reply carries a report.
	ReportBudget int
}

// Interval is a half-open time interval.
type Interval struct{ From, To time.Duration }

// contains reports whether a time is in the interval.
func (s Interval) contains(at time.Duration) bool { return s.From <= at && at < s.To }

// Surge sets another load for a time.
type Surge struct {
	Interval
	Load float64
}

// loadOf returns the load of the first surge that is active at a time, or the usual
// one.
func loadOf(surges []Surge, at time.Duration, usual float64) float64 {
	for _, s := range surges {
		if s.contains(at) {
			return s.Load
		}
	}

	return usual
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultStall stops all work.
	FaultStall FaultKind = "stall"
	// FaultSlow slows a server down, as for a straggler or during warm-up.
	FaultSlow FaultKind = "slow"
	// FaultFail answers each call at once with a failure.
	FaultFail FaultKind = "fail"
	// FaultDrain sheds all new calls and reports that the server is draining.
	FaultDrain FaultKind = "drain"
)

// Fault affects some of the servers: Servers of them, starting with number First in
// the order that the seed draws.
type Fault struct {
	Interval

	Kind    FaultKind
	First   int
	Servers int
	// Factor is how many times slower a slow server is.
	Factor float64
}

// affects reports whether the fault affects the server at an index of the order.
func (f *Fault) affects(index int) bool { return f.First <= index && index < f.First+f.Servers }

// Defaults that both deployments share.
const (
	defaultConns   = 250
	defaultQueue   = 64
	defaultOpen    = time.Millisecond
	defaultWithin  = 100 * time.Microsecond
	defaultWork    = 5 * time.Millisecond
	defaultSpread  = 0.5
	defaultLoad    = 0.7
	defaultTimeout = 500 * time.Millisecond
	defaultWarm    = 2 * time.Second
	defaultLength  = 20 * time.Second
	defaultVMs     = 19
)

// Noisy returns the usual slowdown of servers by other load on their machines.
func Noisy() cwstand.Noise {
	return cwstand.Noise{Every: 600 * time.Millisecond, For: 60 * time.Millisecond, Factor: 5}
}

// Atlas returns the scenario of the flight record service of Atlas.
func Atlas() Scenario {
	s := base("atlas")
	s.Servers, s.Slots = 30, 4
	s.Between, s.Client = time.Millisecond, time.Millisecond

	return s
}

// Pase returns the scenario of the pass record service of Pase Ciudad.
func Pase() Scenario {
	s := base("pase")
	s.Servers, s.Slots = 25, 6
	s.Between, s.Client = 1500*time.Microsecond, 3*time.Millisecond

	return s
}

func base(name string) Scenario {
	return Scenario{
		Name: name, Seed: 1, VMs: defaultVMs, Domains: 3,
		Conns: defaultConns, Open: defaultOpen, Queue: defaultQueue, Within: defaultWithin,
		Work: defaultWork, Spread: defaultSpread, Load: defaultLoad, Timeout: defaultTimeout,
		Warm: defaultWarm, Length: defaultLength, Noise: Noisy(),
	}
}

const atLeastOne = "at least 1"

// Validate returns an error that names the first invalid field.
func (s *Scenario) Validate() error {
	for _, f := range []struct {
		name string
		ok   bool
		want string
	}{
		{"VMs", s.VMs > 0, atLeastOne},
		{"domains", s.Domains > 0, atLeastOne},
		{"servers", s.Servers > 0, atLeastOne},
		{"slots", s.Slots > 0, atLeastOne},
		{"conns", s.Conns > 0, atLeastOne},
		{"work", s.Work > 0, "a time above 0"},
		{"load", s.Load > 0, "a share above 0"},
		{"timeout", s.Timeout > 2*s.Client, "more than the callers' round trip"},
		{"length", s.Length > 0, "a time above 0"},
		{"once", s.Once >= 0 && s.Once <= 1, "a share between 0 and 1"},
	} {
		if !f.ok {
			return errors.Errorf("bench: %s: want %s", f.name, f.want)
		}
	}

	return nil
}

// capacity returns the number of calls a second that all slots run at full speed.
func (s *Scenario) capacity() float64 {
	return float64(s.Servers*s.Slots) / s.Work.Seconds()
}

// reportBytes is the size of a load report including the request for it.
const reportBytes = 256

// reportEvery returns the minimum age of a report at which an entry VM requests the
// next one, see cwbudget.Reports.
func (s *Scenario) reportEvery() time.Duration {
	const share = 2

	if s.ReportBudget == 0 {
		return 0
	}

	return time.Duration(s.Servers*s.VMs*reportBytes*share) * time.Second / time.Duration(s.ReportBudget)
}

// end returns the time at which arrivals end.
func (s *Scenario) end() time.Duration { return s.Warm + s.Length }

// loadAt returns the load at a time.
func (s *Scenario) loadAt(at time.Duration) float64 { return loadOf(s.Surges, at, s.Load) }
