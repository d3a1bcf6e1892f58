package main

import (
	"os"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwspend"
)

const usageBenchBudget = `Print what measuring costs the servers in the worst second, of a model fleet
whose entry VMs measure whenever they may: by the shares that entry VMs keep
to, and by a token bucket filled by each one's own view. Entry VMs join, leave
and freeze, and their views lag, differ and flap. Same seed, same figures.

  carobward bench budget
  carobward bench budget --vms 19 --vms 200 --calls 2000 --bytes 2097152`

type benchBudgetCommand struct {
	VMs   []int  `long:"vms" default:"19" description:"Entry VMs in the fleet; again for each size."`
	Calls int64  `long:"calls" default:"100" description:"Budget in calls a second."`
	Bytes int64  `long:"bytes" default:"65536" description:"Budget in bytes a second."`
	Seed  uint64 `long:"seed" default:"0" description:"The first seed."`
	Seeds uint64 `long:"seeds" default:"5" description:"How many seeds, counted up."`
}

// Execute runs the fleets and prints the table.
func (c *benchBudgetCommand) Execute([]string) error {
	budget := cwbudget.Cost{Calls: c.Calls, Bytes: c.Bytes}

	var all []cwspend.Worst

	for _, vms := range c.VMs {
		if vms < 1 {
			return errors.Errorf("bench budget: %d entry VMs, want at least one", vms)
		}

		for seed := range c.Seeds {
			all = append(all, cwspend.Compare(budget, vms, c.Seed+seed))
		}
	}

	return cwspend.Write(os.Stdout, budget, all)
}
