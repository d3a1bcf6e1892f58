package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwpoison"
)

const usageBenchPoison = `Replay requests that crash the servers which run them, and servers that crash
for other reasons, against the quarantine: ours, ours with one part removed, and
none. The quarantine is the production code; servers, callers and the time until
all entry VMs know of a crash are simulated, so the same seed gives the same
table.

Ended are the servers that such requests crashed. Late are the attempts to send
such requests more than 4 s after the third crash. Innocent are the other
requests: some are cut by the crash of their server, find no server with room, or
are refused because of the quarantine, which they should not be.

  carobward bench poison
  carobward bench poison --vms 472 --servers 720 --seeds 1`

type benchPoisonCommand struct {
	VMs     int    `long:"vms" default:"19" description:"Entry VMs."`
	Servers int    `long:"servers" default:"38" description:"Servers."`
	Seed    uint64 `long:"seed" default:"1" description:"The first seed."`
	Seeds   int    `long:"seeds" default:"3" description:"How many seeds, counted up; their results are added up."`
}

// Execute replays all patterns with all variants and prints the table.
func (c *benchPoisonCommand) Execute([]string) error {
	if c.VMs < 1 || c.Servers < 1 || c.Seeds < 1 {
		return errors.NotValidf("bench poison: %d entry VMs, %d servers, %d seeds", c.VMs, c.Servers, c.Seeds)
	}

	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "pattern\tway\tended\tlate\tinnocent\tcut %\tno room %\trefused %\t")

	for _, p := range cwpoison.Patterns {
		for _, v := range cwpoison.Variants {
			var r cwpoison.Result
			for n := range c.Seeds {
				r.Add(cwpoison.Run(v, p, c.VMs, c.Servers, c.Seed+uint64(n)))
			}

			share := func(n int) float64 { return 100 * float64(n) / float64(max(1, r.Innocent)) }
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n",
				p.Name, v.Name, r.Crashed, r.Late, r.Innocent, share(r.Aborted), share(r.Full), share(r.Refused))
		}
	}

	return errors.Annotate(w.Flush(), "bench poison")
}
