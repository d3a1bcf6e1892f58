package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwbench"
)

const usageBenchWorst = `Replay worst-case loads on the servers of one service: bursts, slow and
unresponsive servers, servers that refuse, the restart of all entry VMs after a
power failure. The decisions are made by the production code; servers, callers
and the network are simulated, so the same seed gives the same table.

Ours is compared with a naive way (any server), requests that each search for a
server themselves, ours with one part removed, and the ceiling: one queue over
all entry VMs that sees each server's true state. In time counts from the
caller's first attempt; fresh are the requests that arrived while entry VMs ran.

  carobward bench worst
  carobward bench worst --pattern dark --way ours --way ceiling --seeds 12 --plot plots/
  carobward bench worst --fleet 472 --pattern shed --way ours --way reserved --seeds 1`

type benchWorstCommand struct {
	Pattern   []string      `long:"pattern" description:"Replay only this pattern; may be given again."`
	Way       []string      `long:"way" description:"Only this way; may be given again."`
	Seed      uint64        `long:"seed" default:"1" description:"The first seed."`
	Seeds     int           `long:"seeds" default:"3" description:"How many seeds, counted up; their results are added up."`
	VMs       int           `long:"vms" description:"Entry VMs, in place of the pattern's."`
	Fleet     int           `long:"fleet" description:"Entry VMs, with servers and requests in proportion to the pattern's."`
	Servers   int           `long:"servers" description:"Servers, in place of the pattern's."`
	Slots     int           `long:"slots" description:"Slots of a server, in place of the pattern's."`
	Rate      float64       `long:"rate" description:"New requests a second without a surge, in place of the pattern's."`
	Work      time.Duration `long:"work" description:"Mean time of a request, in place of the pattern's."`
	Objective time.Duration `long:"objective" description:"Time in which an answer is due, in place of the pattern's."`
	Parallel  int           `long:"parallel" default:"4" description:"Ways that run at once."`
	Plot      string        `long:"plot" description:"Draw what became of the requests by time into this folder."`
}

// Execute replays the patterns and prints the table.
func (c *benchWorstCommand) Execute([]string) error {
	ways, err := c.ways()
	if err != nil {
		return err
	}

	patterns, err := c.patterns()
	if err != nil {
		return err
	}

	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "pattern\tway\trequests\tin time %\tof fresh %\tlate %\trefused %\tfailed %\trefused once %\tp99 ms\t")

	for _, p := range patterns {
		results, err := cwbench.ReplaySeeds(p, ways, c.Seeds, c.Parallel)
		if err != nil {
			return err
		}

		for _, r := range results {
			printWorst(w, r)
		}

		if err := c.plot(results); err != nil {
			return err
		}
	}

	return errors.Annotate(w.Flush(), "bench worst")
}

func printWorst(w *tabwriter.Writer, r *cwbench.ReplayResult) {
	share := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t\n", r.Pattern, r.Way, r.Calls,
		share(r.InTime, r.Calls), share(r.FreshInTime, r.Fresh), share(r.Late, r.Calls), share(r.Refused, r.Calls),
		share(r.Failed, r.Calls), share(r.Retried, r.Calls), r.P99.Milliseconds())
}

// ways returns the ways to assign requests to servers that the flags select, or all if
// they select none.
func (c *benchWorstCommand) ways() ([]cwbench.Way, error) {
	var selected []cwbench.Way

	for _, w := range cwbench.Ways() {
		if len(c.Way) == 0 || slices.Contains(c.Way, w.Name) {
			selected = append(selected, w)
		}
	}

	if len(selected) < len(c.Way) || len(selected) == 0 {
		return nil, errors.Errorf("bench worst: not all of the ways %v are known", c.Way)
	}

	return selected, nil
}

// patterns returns the patterns that the flags select, with the sizes from
// the flags.
func (c *benchWorstCommand) patterns() ([]cwbench.Pattern, error) {
	selected := cwbench.Patterns()

	if len(c.Pattern) > 0 {
		selected = nil
	}

	for _, name := range c.Pattern {
		p, err := cwbench.FindPattern(name)
		if err != nil {
			return nil, err
		}

		selected = append(selected, p)
	}

	for i := range selected {
		c.applySizes(&selected[i])

		if err := selected[i].Validate(); err != nil {
			return nil, err
		}
	}

	return selected, nil
}

func (c *benchWorstCommand) applySizes(p *cwbench.Pattern) {
	p.Seed = c.Seed

	if c.Fleet > 0 {
		p.Grow(c.Fleet)
	}

	override(&p.VMs, c.VMs)
	override(&p.Servers, c.Servers)
	override(&p.Slots, c.Slots)
	override(&p.Rate, c.Rate)
	override(&p.Work, c.Work)
	override(&p.Objective, c.Objective)
}

// override replaces a value with that of a flag if the flag is set.
func override[T int | float64 | time.Duration](to *T, flag T) {
	if flag != 0 {
		*to = flag
	}
}

// plot writes a plot of each result of one pattern to a file.
func (c *benchWorstCommand) plot(results []*cwbench.ReplayResult) error {
	if c.Plot == "" {
		return nil
	}

	for _, r := range results {
		if err := cwbench.PlotReplay(filepath.Join(c.Plot, r.Pattern+"-"+r.Way+".svg"), r); err != nil {
			return err
		}
	}

	return nil
}
