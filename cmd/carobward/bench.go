package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwbench"
)

const usageBench = `Compare ways to choose servers under load and faults. A suite runs scenarios
through several variants, all with the same arrivals and the same servers, in
a queueing model with a simulated clock: each entry VM has only its own view of
the simulated servers. The same seed gives the same table.

Without --suite it lists the suites. Times are in milliseconds from the
intended start of a request; one that was not answered counts as its timeout.

  carobward bench --suite carriers
  carobward bench --suite goals --seeds 3 --json goals.json --plot plots/

With --live the suite runs over sockets, on a fleet in this process or, with
--lookup and --server, on separate processes. The variants take turns, slice by
slice. The baselines then send directly to the servers.

  carobward bench --suite goals --scenario atlas-70 --live

Experiments with a single mechanism are separate commands, see below.`

// addExperiments adds a subcommand for each experiment.
func addExperiments(bench *flags.Command) {
	bench.SubcommandsOptional = true

	for _, c := range []command{
		{"budget", "Print what measuring costs the servers.", usageBenchBudget, &benchBudgetCommand{}},
		{"carriers", "Print which entry VMs are assigned to which targets.", usageBenchCarriers, &benchCarriersCommand{}},
		{"config", "Measure how a change of the configuration spreads.", usageBenchConfig, &benchConfigCommand{}},
		{"cost", "Measure what processes use.", usageBenchCost, &benchCostCommand{}},
		{"hop", "Measure what the hop through an entry VM adds.", usageBenchHop, &benchHopCommand{}},
		{"idle", "Count the calls lost when idle connections are closed.", usageBenchIdle, &benchIdleCommand{}},
		{"leave", "Print how soon a leaving server gets no more requests.", usageBenchLeave, &benchLeaveCommand{}},
		{"members", "Measure the membership protocol by the fleet's size.", usageBenchMembers, &benchMembersCommand{}},
		{"once", "Count the runs of requests that must not repeat, under faults.", usageBenchOnce, &benchOnceCommand{}},
		{"poison", "Replay requests that crash servers.", usageBenchPoison, &benchPoisonCommand{}},
		{"worst", "Replay worst-case loads.", usageBenchWorst, &benchWorstCommand{}},
		{"scripts", "Count the faults with servers that misbehave.", usageBenchScripts, &benchScriptsCommand{}},
	} {
		if _, err := bench.AddCommand(c.name, c.short, c.usage, c.data); err != nil {
			panic(err)
		}
	}
}

type benchCommand struct {
	Suite    string        `long:"suite" description:"The suite to run."`
	Scenario []string      `long:"scenario" description:"Run only scenarios whose name starts so; may be given again."`
	Variants []string      `long:"variant" description:"Run only variants whose name starts so; may be given again."`
	Seed     uint64        `long:"seed" default:"1" description:"The first seed."`
	Seeds    int           `long:"seeds" default:"1" description:"How many seeds, counted up; their results are added up."`
	Length   time.Duration `long:"length" default:"20s" description:"Length of each run after the warm-up, in the model's time."`
	Parallel int           `long:"parallel" default:"4" description:"Variants that run at once."`
	JSON     string        `long:"json" description:"Write all results to this file."`
	Live     bool          `long:"live" description:"Drive embedded entry VMs and stand-in servers over sockets."`
	Rounds   int           `long:"rounds" default:"3" description:"Live: rounds of one slice of --length a variant."`
	VMs      int           `long:"vms" default:"6" description:"Live: entry VMs."`
	Work     time.Duration `long:"work" default:"25ms" description:"Live: mean time of a request in a slot; sets the rate."`
	Lookup   []string      `long:"lookup" description:"Live: lookup address of an entry VM that runs apart; again for each."`
	Server   []string      `long:"server" description:"Live: address of a stand-in server that runs apart; again for each."`
	Plot     string        `long:"plot" description:"Draw a plot of each scenario's tails and goodput into this folder."`
}

// Execute runs the suite and prints the table.
func (c *benchCommand) Execute(args []string) error {
	if len(args) > 0 {
		return errors.NotFoundf("bench: experiment %q", args[0])
	}

	if c.Suite == "" {
		for _, s := range cwbench.Suites() {
			fmt.Printf("%-10s %s\n", s.Name, s.Usage)
		}

		return nil
	}

	s, err := cwbench.FindSuite(c.Suite)
	if err != nil {
		return err
	}

	c.adjust(&s)

	results, err := c.run(&s)
	if err != nil {
		return err
	}

	if err := cwbench.WriteTable(os.Stdout, results); err != nil {
		return err
	}

	if err := cwbench.WriteTrouble(os.Stdout, results); err != nil {
		return err
	}

	return c.files(s, results)
}

// adjust applies the flags to the suite.
func (c *benchCommand) adjust(s *cwbench.Suite) {
	s.Scenarios = slices.DeleteFunc(s.Scenarios, func(s cwbench.Scenario) bool { return excluded(c.Scenario, s.Name) })

	switch {
	case c.Live && len(c.Lookup) > 0:
		s.Variants = cwbench.AttachedVariants()
	case c.Live:
		s.Variants = cwbench.LiveVariants()
	}

	s.Variants = slices.DeleteFunc(s.Variants, func(v cwbench.Variant) bool { return excluded(c.Variants, v.Name) })

	for i := range s.Scenarios {
		sc := &s.Scenarios[i]
		sc.Seed, sc.Length = c.Seed, c.Length

		if c.Live {
			sc.VMs, sc.Work, sc.Warm = c.VMs, c.Work, liveWarmup
		}
	}
}

// excluded reports whether a filter is set and the name starts with none of
// its prefixes.
func excluded(prefixes []string, name string) bool {
	return len(prefixes) > 0 && !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) })
}

// run runs the suite in the model or, with --live, over sockets.
func (c *benchCommand) run(s *cwbench.Suite) ([]*cwbench.Result, error) {
	if !c.Live {
		fmt.Printf("suite %s, seeds %d to %d, %s a run\n", s.Name, c.Seed, c.Seed+uint64(max(c.Seeds, 1))-1, c.Length)

		return cwbench.RunSuite(*s, c.Seeds, c.Parallel)
	}

	fmt.Printf("suite %s over sockets, seeds %d to %d, %d rounds of %s a variant, work %s, %d entry VMs\n",
		s.Name, c.Seed, c.Seed+uint64(c.Rounds)-1, c.Rounds, c.Length, c.Work, c.VMs)

	var all []*cwbench.Result

	for _, sc := range s.Scenarios {
		results, err := c.live(sc, s.Variants)
		if err != nil {
			return nil, err
		}

		all = append(all, results...)
	}

	return all, cwbench.WriteMeasuring(os.Stdout, all)
}

// live runs one scenario on an embedded fleet or, with --lookup, on separate
// processes.
func (c *benchCommand) live(s cwbench.Scenario, variants []cwbench.Variant) ([]*cwbench.Result, error) {
	if len(c.Lookup) == 0 {
		return cwbench.Live(context.Background(), s, variants, c.Rounds)
	}

	p := cwbench.Processes{Lookup: addresses(c.Lookup), Servers: addresses(c.Server)}

	return cwbench.Attached(context.Background(), s, p, variants, c.Rounds)
}

func addresses(list []string) []carobward.Address {
	converted := make([]carobward.Address, len(list))
	for i, a := range list {
		converted[i] = carobward.Address(a)
	}

	return converted
}

// liveWarmup is the time at the start of each slice that is excluded from the
// results.
const liveWarmup = 500 * time.Millisecond

// files writes the files that the flags request.
func (c *benchCommand) files(s cwbench.Suite, results []*cwbench.Result) error {
	if c.JSON != "" {
		if err := writeResults(c.JSON, results); err != nil {
			return err
		}
	}

	if c.Plot == "" {
		return nil
	}

	for _, sc := range s.Scenarios {
		name := filepath.Join(c.Plot, strings.ReplaceAll(sc.Name, "%", ""))

		if err := cwbench.Plot(name+"-tail.svg", sc.Name, results); err != nil {
			return err
		}

		if err := cwbench.PlotSeries(name+"-goodput.svg", sc.Name, results); err != nil {
			return err
		}
	}

	return nil
}

func writeResults(name string, results []*cwbench.Result) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return errors.Annotate(err, "bench")
	}

	defer func() {
		if cerr := f.Close(); err == nil {
			err = errors.Annotate(cerr, "bench")
		}
	}()

	return cwbench.WriteJSON(f, results)
}
