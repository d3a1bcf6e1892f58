package cwbench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
)

// Suite is a set of scenarios, each run with the same variants.
type Suite struct {
	// Name and Usage identify and describe the suite.
	Name, Usage string
	// Scenarios run one after the other.
	Scenarios []Scenario
	// Variants are run in each scenario.
	Variants []Variant
}

// Suites returns all suites.
func Suites() []Suite {
	return []Suite{
		{
			Name:  "carriers",
			Usage: "Number of entry VMs that serve a target: 19, 6 and 3, at 70 and 85 % of the capacity.",
			Scenarios: []Scenario{
				Atlas().withLoad(lowLoad), Atlas().withLoad(highLoad),
			},
			Variants: slices.Concat(Baselines(), Products(), withFewCarriers(Products()), withFewCarriers(Baselines()[2:3])),
		},
		{
			Name:  "goals",
			Usage: "Both deployments at 50, 70 and 85 % of the capacity, with stragglers.",
			Scenarios: []Scenario{
				Atlas().withLoad(halfLoad).stragglers(), Atlas().withLoad(lowLoad).stragglers(), Atlas().withLoad(highLoad).stragglers(),
				Pase().withLoad(halfLoad).stragglers(), Pase().withLoad(lowLoad).stragglers(), Pase().withLoad(highLoad).stragglers(),
			},
			Variants: slices.Concat(Baselines(), Products(), withFewCarriers(Products())),
		},
		{
			Name:      "ablation",
			Usage:     "Server selection with one part removed at a time, at 70 % of the capacity with stragglers.",
			Scenarios: []Scenario{Atlas().withLoad(lowLoad).stragglers(), Pase().withLoad(lowLoad).stragglers()},
			Variants:  slices.Concat(Baselines(), Ablations(), withFewCarriers(Ablations())),
		},
		{
			Name:  "measuring",
			Usage: "Load reports with a budget of 64 KB, 16 KB and 1 KB a second, at 70 % of the capacity with stragglers.",
			Scenarios: []Scenario{
				Atlas().withLoad(lowLoad).stragglers(), Atlas().withReportBudget(64), Atlas().withReportBudget(16), Atlas().withReportBudget(1),
				Pase().withLoad(lowLoad).stragglers(), Pase().withReportBudget(64), Pase().withReportBudget(16), Pase().withReportBudget(1),
			},
			Variants: slices.Concat(Baselines(), Products(), withFewCarriers(Products())),
		},
		{
			Name:      "faults",
			Usage:     "One fault in each scenario at 70 % of the capacity: draining, slow warm-up, failing fast, wrong load reports.",
			Scenarios: faults(),
			Variants:  slices.Concat(Baselines(), Products(), withFewCarriers(Products())),
		},
		{
			Name:      "overload",
			Usage:     "120 % of the capacity for five seconds: goodput during and after the overload.",
			Scenarios: []Scenario{overload()},
			Variants:  slices.Concat(RetryStorms(), Products(), withFewCarriers(Products())),
		},
		{
			Name:      "stall",
			Usage:     "All servers stop for one second: time to recover.",
			Scenarios: []Scenario{stall()},
			Variants:  slices.Concat(RetryStorms(), Products(), withFewCarriers(Products())),
		},
	}
}

// FindSuite returns the suite with a name.
func FindSuite(name string) (Suite, error) {
	var names []string

	for _, s := range Suites() {
		if s.Name == name {
			return s, nil
		}

		names = append(names, s.Name)
	}

	return Suite{}, errors.Errorf("bench: unknown suite %q; known suites: %v", name, names)
}

// Loads and fault parameters of the suites.
const (
	halfLoad      = 0.5
	lowLoad       = 0.7
	highLoad      = 0.85
	overLoad      = 1.2
	onceShare     = 0.1
	stragglerSlow = 5
	coldSlow      = 4
	fewServers    = 2
	stragglerTime = 2 * time.Second
)

func (s Scenario) withLoad(load float64) Scenario {
	s.Load = load
	s.Name = fmt.Sprintf("%s-%.0f%%", s.Name, percent(int(load*100), 100))

	return s
}

// withSuffix appends a suffix to the name.
func (s Scenario) withSuffix(suffix string) Scenario {
	s.Name += "-" + suffix

	return s
}

// stragglers makes two servers at a time five times slower, other ones every two
// seconds, for the whole run.
func (s Scenario) stragglers() Scenario {
	round := 0

	for from := time.Duration(0); from < s.end(); from += stragglerTime {
		first := round * fewServers % s.Servers
		s = s.withFault(Fault{Kind: FaultSlow, First: first, Servers: fewServers, Interval: Interval{From: from, To: from + stragglerTime}, Factor: stragglerSlow})
		round++
	}

	return s.withSuffix("slow")
}

// withReportBudget limits load reports to a budget in kilobytes a second.
func (s Scenario) withReportBudget(kilobytes int) Scenario {
	s = s.withLoad(lowLoad).stragglers().withSuffix(fmt.Sprintf("%dKB", kilobytes))
	s.ReportBudget = kilobytes * int(carobward.Kilobyte)

	return s
}

func (s Scenario) withFault(f Fault) Scenario {
	s.Faults = append(slices.Clone(s.Faults), f)

	return s
}

// faults returns one scenario for each fault.
func faults() []Scenario {
	base := Atlas().withLoad(lowLoad)
	from, to := base.Warm+base.Length/4, base.Warm+base.Length/2
	fault := func(k FaultKind, factor float64) Scenario {
		return base.withFault(Fault{Kind: k, Servers: fewServers, Interval: Interval{From: from, To: to}, Factor: factor}).withSuffix(string(k))
	}

	cold := fault(FaultSlow, coldSlow)
	cold.Faults[0].From, cold.Faults[0].To = from, from+time.Second

	stale := base.withSuffix("stale")
	stale.ReportLag, stale.Misleading = 200*time.Millisecond, base.Servers

	idle := base.withSuffix("lie-idle")
	idle.ReportLie, idle.Misleading = cwstand.LieIdle, fewServers

	full := base.withSuffix("lie-full")
	full.ReportLie, full.Misleading = cwstand.LieFull, fewServers

	return []Scenario{
		base, fault(FaultDrain, 0), fault(FaultFail, 0), cold.withSuffix("cold"), stale, idle, full,
	}
}

// overload returns a scenario with 120 % of the capacity for five seconds. A tenth of
// the calls are run-once calls.
func overload() Scenario {
	s := troubled("overload", 5*time.Second)
	s.Surges = []Surge{{Interval: s.Trouble, Load: overLoad}}

	return s
}

// stall returns a scenario in which all servers stop for one second.
func stall() Scenario {
	s := troubled("stall", time.Second)

	return s.withFault(Fault{Kind: FaultStall, Servers: s.Servers, Interval: s.Trouble, Factor: math.Inf(1)})
}

// troubled returns a scenario with run-once calls and servers that let calls wait
// on all of their connections, as a server without a queue limit does.
func troubled(name string, lasts time.Duration) Scenario {
	const calm = 3 * time.Second

	s := Atlas().withLoad(lowLoad).withSuffix(name)
	s.Once = onceShare
	s.Queue = s.Conns
	s.Trouble = Interval{From: s.Warm + calm, To: s.Warm + calm + lasts}

	return s
}

// withFewCarriers returns each variant with six and with three entry VMs that serve
// the target.
func withFewCarriers(list []Variant) []Variant {
	var out []Variant

	for _, v := range list {
		for _, n := range []int{6, 3} {
			w := v
			w.Carriers = n
			w.Name = fmt.Sprintf("%s/%d", v.Name, n)
			out = append(out, w)
		}
	}

	return out
}
