package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwonce"
)

const usageBenchOnce = `Charge fees that must not repeat, under faults, and count how often each ran.

  ways       three strategies in simulated time, with crashes of entry VMs and
             an outage of the store: tickets, claims in the store, and a retry
             after any error
  faults     a fleet of owners of tickets in this process, and servers that
             shed and lose requests and replies: tickets, and a retry after any
             error
  histories  the same fleet with many callers at once, lost and late messages,
             crashes, pauses and handovers; tickets only
  hand-over  the time to hand outcomes over, by their number, without a network,
             and the memory that so many records take

Unknown is also given as a share of the answers. Wrong are answers that do not
agree with what ran. Ways and faults give the same figures for the same seed;
histories depend on the machine's timing too.

  carobward bench once --seed 1 --seeds 3`

type benchOnceCommand struct {
	Seed      uint64 `long:"seed" default:"1" description:"The first seed."`
	Seeds     int    `long:"seeds" default:"3" description:"How many seeds, counted up."`
	Weighed   int    `long:"weighed" default:"20000" description:"Fees of each run of the ways."`
	Fees      int    `long:"fees" default:"2000" description:"Fees of each run of the faults."`
	Histories int    `long:"histories" default:"50" description:"Histories of each seed, of 20 fees each."`
	Outcomes  []int  `long:"outcomes" default:"1000" default:"10000" default:"100000" description:"How many outcomes to keep and hand over; may be given again."`
}

// Execute runs the experiments and prints their tables.
func (c *benchOnceCommand) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "experiment\tseed\tway\tanswers\truns\tran twice\twrong\tnot-run\tunknown\tstore writes\t")

	for n := range uint64(max(c.Seeds, 1)) {
		if err := c.seed(w, c.Seed+n); err != nil {
			return err
		}
	}

	if err := w.Flush(); err != nil {
		return err
	}

	for _, n := range c.Outcomes {
		if n <= 0 {
			return errors.Errorf("bench once: %d outcomes, want more than none", n)
		}

		took, err := cwonce.HandOver(n)
		if err != nil {
			return err
		}

		heap, accounted, err := cwonce.RecordCost(n)
		if err != nil {
			return err
		}

		fmt.Printf("%d outcomes: handed over in %s, heap %d B a record, accounted %d B\n",
			n, took.Round(time.Millisecond), heap/int64(n), accounted/int64(n))
	}

	return nil
}

// seed runs all experiments with one seed.
func (c *benchOnceCommand) seed(w *tabwriter.Writer, seed uint64) error {
	for _, s := range cwonce.Strategies() {
		count, writes := s.Run(seed, c.Weighed)
		printCount(w, "ways", seed, s.Name, &count, writes)
	}

	for _, method := range []struct {
		name string
		send cwonce.Sender
	}{{"tickets", cwonce.Ticketed}, {"retry on any error", cwonce.Naive}} {
		count, err := cwonce.Compare(seed, c.Fees, method.send)
		if err != nil {
			return err
		}

		printCount(w, "faults", seed, method.name, &count, 0)
	}

	var all cwonce.Count

	rng := rand.New(rand.NewPCG(seed, seed))

	for range c.Histories {
		operations, err := cwonce.Simulate(cwonce.RandomScript(rng))
		if err != nil {
			return err
		}

		tally := cwonce.Tally(operations)
		all.Add(&tally)
	}

	printCount(w, "histories", seed, "tickets", &all, 0)

	return nil
}

func printCount(w *tabwriter.Writer, experiment string, seed uint64, way string, c *cwonce.Count, writes int) {
	answers := 0
	for _, n := range c.Verdicts {
		answers += n
	}

	unknown := c.Verdicts[carobward.Unknown]
	_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d (%.2f %%)\t%d\t\n",
		experiment, seed, way, answers, c.Runs, c.Twice, c.Wrong, c.Verdicts[carobward.NotRun],
		unknown, 100*float64(unknown)/float64(max(answers, 1)), writes)
}
