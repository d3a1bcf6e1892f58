package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/lab/cwspend"
)

const usageBenchBudget = `Print what measuring costs the servers of a simulated fleet in the worst second,
if each entry VM measures as often as it may. Two rules are compared: the share
of the budget that an entry VM keeps to, and a token bucket that each fills by
its own view of the fleet. Entry VMs join, leave and pause, and their views lag,
differ and flap. The same seed gives the same figures.

With --live, as many entry VMs as the first --vms probe servers over sockets for
that time, one of them pauses, and the servers count the probes. These figures
differ from run to run.

  carobward bench budget
  carobward bench budget --live 20s --vms 5 --calls 30
  carobward bench budget --vms 19 --vms 200 --calls 2000 --bytes 2097152`

type benchBudgetCommand struct {
	VMs   []int  `long:"vms" default:"19" description:"Entry VMs in the fleet; again for each size."`
	Calls int64  `long:"calls" default:"100" description:"Budget in calls a second."`
	Bytes int64  `long:"bytes" default:"65536" description:"Budget in bytes a second."`
	Seed  uint64 `long:"seed" default:"0" description:"The first seed."`
	Seeds uint64 `long:"seeds" default:"5" description:"How many seeds, counted up."`

	Live    time.Duration `long:"live" description:"Probe over sockets for so long instead."`
	Servers int           `long:"servers" default:"20" description:"Live: servers."`
}

// Execute simulates the fleets and prints the table.
func (c *benchBudgetCommand) Execute([]string) error {
	budget := cwbudget.Cost{Calls: c.Calls, Bytes: c.Bytes}

	if c.Live > 0 {
		return c.live(budget)
	}

	var all []cwspend.Worst

	for _, vms := range c.VMs {
		if vms < 1 {
			return errors.Errorf("bench budget: %d entry VMs, want at least one", vms)
		}

		for seed := range c.Seeds {
			all = append(all, cwspend.Compare(budget, vms, c.Seed+seed))
		}
	}

	return cwspend.WriteTable(os.Stdout, budget, all)
}

// live sends probes over sockets for the configured time and prints what the
// servers counted.
func (c *benchBudgetCommand) live(budget cwbudget.Cost) error {
	if c.VMs[0] < 1 || c.Servers < 1 {
		return errors.New("bench budget: at least one entry VM and one server are needed")
	}

	l, err := cwspend.NewLive(budget, c.VMs[0], c.Servers)
	if err != nil {
		return err
	}

	defer l.Close()

	ctx, stop := context.WithTimeout(context.Background(), c.Live)
	defer stop()

	pause := time.AfterFunc(c.Live/2, func() { l.Pause(0) })
	defer pause.Stop()

	l.Run(ctx)

	worst := l.Worst()
	fmt.Printf("%d entry VMs, %d servers, %d probes; worst second: %d calls and %d bytes of %d and %d\n",
		c.VMs[0], c.Servers, l.Count(), worst.Calls, worst.Bytes, budget.Calls, budget.Bytes)

	return nil
}
