package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwleave"
)

const usageBenchLeave = `Print how the news that a server leaves spread in a model fleet. The first table
has the longest time from the first sign, which one entry VM sees, to the last
new work that the server got, with a tenth of all messages lost, a fifth of all
ways cut, and entry VMs that are frozen, join late or can't be called; and the
same of a balancer that reads the VM list only. The second one has what the
news cost one entry VM, in calls and in bytes of the messages, without faults.
Same seed, same figures.

  carobward bench leave
  carobward bench leave --vms 19 --seeds 300`

type benchLeaveCommand struct {
	VMs   []int         `long:"vms" default:"19" default:"50" default:"100" default:"200" description:"Entry VMs in the fleet; again for each size."`
	Seed  uint64        `long:"seed" default:"1" description:"The first seed."`
	Seeds uint64        `long:"seeds" default:"6" description:"How many seeds with faults, counted up."`
	Lag   time.Duration `long:"lag" default:"10s" description:"How late the VM list shows a leaving server."`
}

// Execute simulates the fleets and prints both tables.
func (c *benchLeaveCommand) Execute([]string) error {
	var (
		last []cwleave.Last
		cost []cwleave.Cost
	)

	for _, vms := range c.VMs {
		if vms < 1 {
			return errors.Errorf("bench leave: %d entry VMs, want at least one", vms)
		}

		last = append(last, cwleave.Worst(c.Seed, c.Seeds, vms, c.Lag)...)
		cost = append(cost, cwleave.Measure(c.Seed, vms))
	}

	if err := cwleave.WriteLast(os.Stdout, last); err != nil {
		return err
	}

	fmt.Println()

	return cwleave.WriteCost(os.Stdout, cost)
}
