package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwleave"
)

const usageBenchLeave = `Print how soon all entry VMs of a simulated fleet know that a server is leaving.
The first table has the longest time from the first sign, which one entry VM
sees, to the last new request that the server got, with a tenth of all messages
lost, a fifth of all links blocked, and entry VMs that are paused, join late or
can't be called; and the same for a load balancer that only reads the VM list.
The second one has the cost of the gossip for one entry VM, in calls and in
bytes of the messages, without faults. The same seed gives the same figures.

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
