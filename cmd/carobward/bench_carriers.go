package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwassignment"
)

const usageBenchCarriers = `Print which entry VMs are assigned to which targets. The first table has the
fewest and the most targets of one entry VM, and the share of all assignments
that change when an entry VM is lost, also for a choice by the hash modulo the
number of entry VMs. The second one has the width of a hot target, which is the
number of entry VMs per failure domain, as each of the assigned entry VMs in one
failure domain sees it, while callers follow the lookup replies.

  carobward bench carriers
  carobward bench carriers --vms 200 --targets 1000 --rate 50000`

type benchCarriersCommand struct {
	VMs     []int   `long:"vms" default:"19" default:"50" default:"200" description:"Entry VMs in the fleet; again for each size."`
	Targets int     `long:"targets" default:"220" description:"Targets."`
	Rate    float64 `long:"rate" default:"20000" description:"Requests a second for the hot target in one failure domain."`
	Most    float64 `long:"most" default:"3000" description:"Requests a second of one target that one entry VM should carry."`
	Rounds  int     `long:"rounds" default:"6" description:"Rounds of decisions about the width."`
}

// Execute computes both tables and prints them.
func (c *benchCarriersCommand) Execute([]string) error {
	if c.Targets < 1 || c.Rounds < 0 || c.Rate < 0 || c.Most <= 0 {
		return errors.New("bench carriers: targets and most have to be above zero, rounds and rate not below")
	}

	var all []cwassignment.Distribution

	for _, vms := range c.VMs {
		if vms < 1 {
			return errors.Errorf("bench carriers: %d entry VMs, want at least one", vms)
		}

		all = append(all, cwassignment.MeasureDistribution(vms, c.Targets))
	}

	if err := cwassignment.WriteDistribution(os.Stdout, all); err != nil {
		return err
	}

	fmt.Println()

	for _, vms := range c.VMs {
		rounds := cwassignment.Settle(vms, c.Rounds, c.Rate, c.Most)
		if err := cwassignment.WriteSettle(os.Stdout, vms, rounds); err != nil {
			return err
		}
	}

	return nil
}
