package main

import (
	"fmt"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwtrial"
)

const usageBenchScripts = `Count the faults in what callers get from a server that misbehaves: wrong or
partial bodies given as whole answers, calls that the server saw twice, calls
reported as not-run that began. Each seed draws a list of acts that the stand-in
server works through; the product's link and the HTTP library's client with its
own settings get the same lists, over loopback sockets.

  carobward bench scripts --seeds 40 --calls 16`

type benchScriptsCommand struct {
	Seed  uint64 `long:"seed" default:"1" description:"The first seed."`
	Seeds int    `long:"seeds" default:"40" description:"How many seeds, counted up."`
	Calls int    `long:"calls" default:"16" description:"Calls a seed and way."`
}

// Execute replays the scripts and prints the table.
func (c *benchScriptsCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Calls < 1 {
		return errors.NotValidf("bench scripts: seeds %d, calls %d", c.Seeds, c.Calls)
	}

	scores, err := cwtrial.Compare(c.Seed, c.Seeds, c.Calls)
	if err != nil {
		return errors.Annotate(err, "bench scripts")
	}

	fmt.Printf("%-10s %8s %11s %11s %16s\n", "way", "calls", "wrong body", "sent twice", "not-run but ran")

	for _, s := range scores {
		fmt.Printf("%-10s %8d %11d %11d %16d\n",
			s.Way, s.Calls, s.Faults[cwtrial.FaultBody], s.Faults[cwtrial.FaultTwice], s.Faults[cwtrial.FaultRan])
	}

	return nil
}
