package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwcost"
)

const usageBenchCost = `Measure the processor time and memory of processes for a while, such as entry
VMs that run apart: without calls, or beside "carobward bench --live --lookup"
or "cwstand caller --load". Figures are for one process on average.

  carobward bench cost --pid 4711 --pid 4712 --for 5s`

type benchCostCommand struct {
	PIDs []int         `long:"pid" required:"yes" description:"A process to watch; again for each."`
	For  time.Duration `long:"for" default:"5s" description:"How long."`
}

// Execute measures the processes and prints their cost.
func (c *benchCostCommand) Execute([]string) error {
	if c.For <= 0 {
		return errors.NotValidf("bench cost: --for %s", c.For)
	}

	before, err := cwcost.Sum(c.PIDs)
	if err != nil {
		return err
	}

	<-time.After(c.For)

	after, err := cwcost.Sum(c.PIDs)
	if err != nil {
		return err
	}

	const mega = 1 << 20

	each := float64(len(c.PIDs))
	core := float64(after.Processor-before.Processor) / float64(c.For) / each
	fmt.Printf("%d processes, %.2f %% of a core and %.1f MB each\n", len(c.PIDs), percent*core, float64(after.Resident)/mega/each)

	return nil
}
