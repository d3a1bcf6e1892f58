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

// Suite is a set of scenarios that the same variants run through.
type Suite struct {
	// Name and Usage tell what it is for.
	Name, Usage string
	// Scenarios are run one after the other.
	Scenarios []Scenario
	// Variants are run in each scenario.
	Variants []Variant
}

// Suites lists all suites.
func Suites() []Suite {
	return []Suite{
		{
			Name:  "carriers",
			Usage: "How many entry VMs carry a target: 19, 6 and 3, at 70 and 85 % of slots.",
			Scenarios: []Scenario{
				Atlas().at(lowLoad), Atlas().at(highLoad),
			},
			Variants: slices.Concat(Baselines(), Products(), few(Products()), few(Baselines()[2:3])),
		},
		{
			Name:  "goals",
			Usage: "Both deployments at 50, 70 and 85 % of slots, with stragglers.",
			Scenarios: []Scenario{
				Atlas().at(halfLoad).stragglers(), Atlas().at(lowLoad).stragglers(), Atlas().at(highLoad).stragglers(),
				Pase().at(halfLoad).stragglers(), Pase().at(lowLoad).stragglers(), Pase().at(highLoad).stragglers(),
			},
			Variants: slices.Concat(Baselines(), Products(), few(Products())),
		},
		{
			Name:      "ablation",
			Usage:     "The choice of server without one part at a time, at 70 % with stragglers.",
			Scenarios: []Scenario{Atlas().at(lowLoad).stragglers(), Pase().at(lowLoad).stragglers()},
			Variants:  slices.Concat(Baselines(), Ablations(), few(Ablations())),
		},
		{
			Name:  "measuring",
			Usage: "Reports within a budget of 64 KB, 16 KB and 1 KB a second, with stragglers, at 70 %.",
			Scenarios: []Scenario{
				Atlas().at(lowLoad).stragglers(), Atlas().measured(64), Atlas().measured(16), Atlas().measured(1),
				Pase().at(lowLoad).stragglers(), Pase().measured(64), Pase().measured(16), Pase().measured(1),
			},
			Variants: slices.Concat(Baselines(), Products(), few(Products())),
		},
		{
			Name:      "faults",
			Usage:     "One fault a scenario at 70 % of slots: drains, cold starts, failing fast, bad reports.",
			Scenarios: faults(),
			Variants:  slices.Concat(Baselines(), Products(), few(Products())),
		},
		{
			Name:      "overload",
			Usage:     "120 % of all slots for five seconds: goodput during it and after.",
			Scenarios: []Scenario{overload()},
			Variants:  slices.Concat(Storms(), Products(), few(Products())),
		},
		{
			Name:      "stall",
			Usage:     "All servers stand still for one second: time to recover.",
			Scenarios: []Scenario{stall()},
			Variants:  slices.Concat(Storms(), Products(), few(Products())),
		},
	}
}

// FindSuite returns a suite by its name.
func FindSuite(name string) (Suite, error) {
	var names []string

	for _, s := range Suites() {
		if s.Name == name {
			return s, nil
		}

		names = append(names, s.Name)
	}

	return Suite{}, errors.Errorf("bench: no suite %q, there are %v", name, names)
}

// The loads and the faults of the suites.
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

func (s Scenario) at(load float64) Scenario {
	s.Load = load
	s.Name = fmt.Sprintf("%s-%.0f%%", s.Name, percent(int(load*100), 100))

	return s
}

// named adds to the name.
func (s Scenario) named(suffix string) Scenario {
	s.Name += "-" + suffix

	return s
}

// stragglers makes two servers at a time five times slower, others every two
// seconds, for the whole run.
func (s Scenario) stragglers() Scenario {
	turn := 0

	for from := time.Duration(0); from < s.end(); from += stragglerTime {
		first := turn * fewServers % s.Servers
		s = s.fault(Fault{Kind: FaultSlow, First: first, Servers: fewServers, Stretch: Stretch{From: from, To: from + stragglerTime}, Factor: stragglerSlow})
		turn++
	}

	return s.named("slow")
}

// measured has reports within a budget of so many kilobytes a second.
func (s Scenario) measured(kilobytes int) Scenario {
	s = s.at(lowLoad).stragglers().named(fmt.Sprintf("%dKB", kilobytes))
	s.Measure = kilobytes * int(carobward.Kilobyte)

	return s
}

func (s Scenario) fault(f Fault) Scenario {
	s.Faults = append(slices.Clone(s.Faults), f)

	return s
}

// faults lists one scenario a fault.
func faults() []Scenario {
	base := Atlas().at(lowLoad)
	from, to := base.Warm+base.Length/4, base.Warm+base.Length/2
	fault := func(k FaultKind, factor float64) Scenario {
		return base.fault(Fault{Kind: k, Servers: fewServers, Stretch: Stretch{From: from, To: to}, Factor: factor}).named(string(k))
	}

	cold := fault(FaultSlow, coldSlow)
	cold.Faults[0].From, cold.Faults[0].To = from, from+time.Second

	stale := base.named("stale")
	stale.ReportLag, stale.Misleading = 200*time.Millisecond, base.Servers

	idle := base.named("lie-idle")
	idle.ReportLie, idle.Misleading = cwstand.LieIdle, fewServers

	full := base.named("lie-full")
	full.ReportLie, full.Misleading = cwstand.LieFull, fewServers

	return []Scenario{
		base, fault(FaultDrain, 0), fault(FaultFail, 0), cold.named("cold"), stale, idle, full,
	}
}

// overload is 120 % of all slots for five seconds, a tenth of it run-once.
func overload() Scenario {
	s := troubled("overload", 5*time.Second)
	s.Surges = []Surge{{Stretch: s.Trouble, Load: overLoad}}

	return s
}

// stall stops all servers for one second.
func stall() Scenario {
	s := troubled("stall", time.Second)

	return s.fault(Fault{Kind: FaultStall, Servers: s.Servers, Stretch: s.Trouble, Factor: math.Inf(1)})
}

// troubled has run-once work and servers that let calls wait on all of their
// connections, as a server does that has no bound of its own.
func troubled(name string, lasts time.Duration) Scenario {
	const calm = 3 * time.Second

	s := Atlas().at(lowLoad).named(name)
	s.Once = onceShare
	s.Queue = s.Conns
	s.Trouble = Stretch{From: s.Warm + calm, To: s.Warm + calm + lasts}

	return s
}

// few returns the variants with six and with three entry VMs a target.
func few(list []Variant) []Variant {
	var made []Variant

	for _, v := range list {
		for _, n := range []int{6, 3} {
			w := v
			w.Carriers = n
			w.Name = fmt.Sprintf("%s/%d", v.Name, n)
			made = append(made, w)
		}
	}

	return made
}
