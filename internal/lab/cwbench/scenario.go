package cwbench

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwstand"
)

// Scenario is what all variants of one run have in common.
type Scenario struct {
	// Name tells what it is for.
	Name string
	// Seed fixes arrivals, work, schedules and choices.
	Seed uint64
	// VMs is the number of entry VMs, Domains that of failure domains. VMs
	// and servers are spread over the domains in turn.
	VMs, Domains int
	// Servers is the number of servers, Slots how many calls each runs.
	Servers, Slots int
	// Conns is how many connections a server takes, Open what one costs.
	Conns int
	Open  time.Duration
	// Queue is how many calls wait at a server before it sheds.
	Queue int
	// Between, Within and Client are one-way delays: between failure
	// domains, inside one, and between caller and entry VM.
	Between, Within, Client time.Duration
	// Work is the mean time of a call in a slot, Spread the sigma of its
	// lognormal distribution.
	Work   time.Duration
	Spread float64
	// Load is the arrival rate as a share of all slots at full speed.
	Load float64
	// Surges change the load for a while.
	Surges []Surge
	// Once is the share of calls that run at most once.
	Once float64
	// Timeout is when a caller's request is given up.
	Timeout time.Duration
	// Warm is left out of the figures; Length follows it.
	Warm, Length time.Duration
	// Noise slows each server down on its own schedule.
	Noise cwstand.Noise
	// Faults happen besides.
	Faults []Fault
	// Trouble is the stretch whose goodput and aftermath are of interest.
	Trouble Stretch
	// ReportLag and ReportLie spoil the reports of as many servers as
	// Misleading says.
	ReportLag  time.Duration
	ReportLie  cwstand.Lie
	Misleading int
	// Measure is the operator's budget for measuring in bytes a second. Half
	// of each entry VM's share is for reports on replies. Zero: each reply
	// has one.
	Measure int
}

// Stretch is a stretch of time.
type Stretch struct{ From, To time.Duration }

// holds tells whether a time is in the stretch.
func (s Stretch) holds(at time.Duration) bool { return s.From <= at && at < s.To }

// Surge sets another load for a while.
type Surge struct {
	Stretch
	Load float64
}

// loadOf returns the load of the first surge that holds at a time, or the usual one.
func loadOf(surges []Surge, at time.Duration, usual float64) float64 {
	for _, s := range surges {
		if s.holds(at) {
			return s.Load
		}
	}

	return usual
}

// FaultKind is what goes wrong.
type FaultKind string

// The faults.
const (
	// FaultStall stops all work.
	FaultStall FaultKind = "stall"
	// FaultSlow makes a straggler, or a server that starts cold.
	FaultSlow FaultKind = "slow"
	// FaultFail answers each call at once with a failure.
	FaultFail FaultKind = "fail"
	// FaultDrain sheds all new work and says so in reports.
	FaultDrain FaultKind = "drain"
)

// Fault happens to some servers: in an order that the seed draws, as many as
// Servers says from First on.
type Fault struct {
	Stretch

	Kind    FaultKind
	First   int
	Servers int
	// Factor is how many times slower a slow server is.
	Factor float64
}

// hits tells whether the fault happens to the server at a place in the order.
func (f *Fault) hits(place int) bool { return f.First <= place && place < f.First+f.Servers }

// The sizes that both deployments share.
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

// Noisy is the slow-down by neighbours that the runs use.
func Noisy() cwstand.Noise {
	return cwstand.Noise{Every: 600 * time.Millisecond, For: 60 * time.Millisecond, Factor: 5}
}

// Atlas returns the flight records of Atlas.
func Atlas() Scenario {
	s := base("atlas")
	s.Servers, s.Slots = 30, 4
	s.Between, s.Client = time.Millisecond, time.Millisecond

	return s
}

// Pase returns the pass records of Pase Ciudad.
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

// Validate names what is wrong.
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

// capacity is the calls a second that all slots carry at full speed.
func (s *Scenario) capacity() float64 {
	return float64(s.Servers*s.Slots) / s.Work.Seconds()
}

// reportBytes is what a report costs with the question for it.
const reportBytes = 256

// reportEvery is the least age of a report at which an entry VM asks for the
// next one, see cwbudget.Reports.
func (s *Scenario) reportEvery() time.Duration {
	const share = 2

	if s.Measure == 0 {
		return 0
	}

	return time.Duration(s.Servers*s.VMs*reportBytes*share) * time.Second / time.Duration(s.Measure)
}

// end is when the last arrival comes.
func (s *Scenario) end() time.Duration { return s.Warm + s.Length }

// loadAt is the load at a time.
func (s *Scenario) loadAt(at time.Duration) float64 { return loadOf(s.Surges, at, s.Load) }
