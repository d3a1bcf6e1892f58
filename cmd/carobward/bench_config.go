package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwspread"
)

const usageBenchConfig = `Measure how a change of the configuration spreads over a fleet of entry VMs,
against its size. The entry VMs' writers and syncers run here on the machine's
clock, over a store in memory and calls without a network.

For each size it prints the seconds until a change is in force on the last
entry VM, the bytes of the exchanges and the calls of the store, when
  well    the change is made through an entry VM,
  quiet   it is written to the store only, without an announcement to peers,
  frozen  the same with all watchers of the store paused,
  idle    nothing is changed.
Each change follows as soon as the one before is in force.

  carobward bench config --vms 19 --vms 200 --case well
  carobward bench config --loopback       whole entry VMs over sockets, also
                                          with an outage of the store after
                                          it accepted the change
  carobward bench config --services 220   what one change costs where each of
                                          so many services has one target
  carobward bench config --naive          what a naive version gets wrong
  carobward bench config --operators 6    what concurrent operators are told
                                          while replies are lost, six seeds`

type benchConfigCommand struct {
	VMs       []int           `long:"vms" description:"Entry VMs; may be given again. 3, 19, 50, 100 and 200 unless given, 19 with --loopback."`
	Cases     []cwspread.Case `long:"case" description:"A case to run; may be given again. All unless given."`
	Changes   int             `long:"changes" default:"20" description:"Changes in each case."`
	Idle      time.Duration   `long:"idle" default:"8s" description:"Length of the case idle."`
	Loopback  bool            `long:"loopback" description:"Run whole entry VMs over loopback, with a stand-in platform."`
	Operators int             `long:"operators" description:"Let concurrent operators change targets under faults, with so many seeds."`
	Seed      uint64          `long:"seed" default:"0" description:"The first seed of --operators."`
	Services  []int           `long:"services" description:"Measure the cost of one change with so many services; may be given again."`
	Naive     bool            `long:"naive" description:"Take a naive version and the product through the same faults."`
}

// The limits of the flags, so that one process can run the cases. A valid
// configuration has room for at most maxServices targets.
const (
	maxVMs      = 1000
	maxChanges  = 100000
	maxServices = 2000
)

// Execute runs the cases and prints the table.
func (c *benchConfigCommand) Execute([]string) error {
	switch {
	case c.Naive:
		return cwspread.WriteScenarios(os.Stdout)
	case c.Operators > 0:
		return cwspread.WriteOperators(os.Stdout, c.Seed, c.Operators)
	}

	if err := c.prepare(); err != nil {
		return err
	}

	if len(c.Services) > 0 {
		return cwspread.WriteCosts(os.Stdout, c.Services, c.Changes)
	}

	var results []cwspread.Result

	for _, k := range c.Cases {
		for _, n := range c.VMs {
			r, err := c.measure(k, n)
			if err != nil {
				return errors.Annotatef(err, "bench config: case %s, %d entry VMs", k, n)
			}

			results = append(results, r)
		}
	}

	return cwspread.WriteTable(os.Stdout, results)
}

// prepare sets the defaults of the flags and validates them.
func (c *benchConfigCommand) prepare() error {
	sizes, cases := []int{3, 19, 50, 100, 200}, []cwspread.Case{cwspread.ViaEntryVM, cwspread.StoreOnly, cwspread.PausedWatchers, cwspread.Idle}
	if c.Loopback {
		sizes, cases = []int{19}, []cwspread.Case{cwspread.ViaEntryVM, cwspread.StoreOnly, cwspread.Outage}
	}

	if len(c.VMs) == 0 {
		c.VMs = sizes
	}

	if len(c.Cases) == 0 {
		c.Cases = cases
	}

	for _, f := range []struct {
		flag   string
		values []int
		limit  int
	}{{"vms", c.VMs, maxVMs}, {"services", c.Services, maxServices}, {"changes", []int{c.Changes}, maxChanges}} {
		if err := checkRange(f.flag, f.values, f.limit); err != nil {
			return err
		}
	}

	if c.Idle <= 0 {
		return errors.Errorf("bench config: --idle: want more than 0s, got %s", c.Idle)
	}

	return c.checkCases(cases)
}

// checkRange returns an error if a value of a flag is not in the range from 1
// to limit.
func checkRange(flag string, values []int, limit int) error {
	for _, n := range values {
		if n < 1 || n > limit {
			return errors.Errorf("bench config: --%s: want from 1 to %d, got %d", flag, limit, n)
		}
	}

	return nil
}

// checkCases returns an error for a case that is not supported with, or
// without, --loopback.
func (c *benchConfigCommand) checkCases(cases []cwspread.Case) error {
	supported := map[cwspread.Case]bool{}
	for _, k := range cases {
		supported[k] = true
	}

	for _, k := range c.Cases {
		if !supported[k] {
			return errors.Errorf("bench config: --case: want one of %s, got %s", fmt.Sprint(cases), k)
		}
	}

	return nil
}

func (c *benchConfigCommand) measure(k cwspread.Case, vms int) (cwspread.Result, error) {
	switch {
	case c.Loopback:
		return cwspread.MeasureLoopback(k, vms, c.Changes)
	case k == cwspread.Idle:
		return cwspread.MeasureIdle(context.Background(), vms, c.Idle)
	default:
		return cwspread.MeasurePropagation(k, vms, c.Changes)
	}
}
