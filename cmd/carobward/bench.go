package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwbench"
)

const usageBench = `Compare ways to choose servers under load and faults. A suite runs scenarios
through several variants, all with the same arrivals and the same servers, in
a queueing model: entry VMs each with only their own knowledge, modelled
servers, a clock of its own. Same seed, same table.

Without --suite it lists the suites. Times are in milliseconds from the
intended start of a request; one that was not answered counts as its timeout.

  carobward bench --suite carriers
  carobward bench --suite goals --seeds 3 --json goals.json --plot plots/`

type benchCommand struct {
	Suite    string        `long:"suite" description:"The suite to run."`
	Variants []string      `long:"variant" description:"Run only variants whose name starts so; may be given again."`
	Seed     uint64        `long:"seed" default:"1" description:"The first seed."`
	Seeds    int           `long:"seeds" default:"1" description:"How many seeds, counted up; their results are added up."`
	Length   time.Duration `long:"length" default:"20s" description:"Length of each run after the warm-up, in the model's time."`
	Parallel int           `long:"parallel" default:"4" description:"Variants that run at once."`
	JSON     string        `long:"json" description:"Write all results to this file."`
	Plot     string        `long:"plot" description:"Draw a plot of each scenario's tails and goodput into this folder."`
}

// Execute runs the suite and prints the table.
func (c *benchCommand) Execute([]string) error {
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

	for i := range s.Scenarios {
		s.Scenarios[i].Seed = c.Seed
		s.Scenarios[i].Length = c.Length
	}

	s.Variants = slices.DeleteFunc(s.Variants, c.leftOut)

	results, err := cwbench.RunSuite(s, c.Seeds, c.Parallel)
	if err != nil {
		return err
	}

	fmt.Printf("suite %s, seeds %d to %d, %s a run\n", s.Name, c.Seed, c.Seed+uint64(max(c.Seeds, 1))-1, c.Length)

	if err := cwbench.WriteTable(os.Stdout, results); err != nil {
		return err
	}

	if err := cwbench.WriteTrouble(os.Stdout, results); err != nil {
		return err
	}

	return c.files(s, results)
}

func (c *benchCommand) leftOut(v cwbench.Variant) bool {
	return len(c.Variants) > 0 && !slices.ContainsFunc(c.Variants, func(n string) bool { return strings.HasPrefix(v.Name, n) })
}

// files writes the files that were asked for.
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
