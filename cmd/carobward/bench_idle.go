package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwtrial"
)

const usageBenchIdle = `Count the calls whose outcome is unknown because the server closed the idle
connection while the call was under way. The stand-in server closes each
connection at a random time within twice the caller's pause. Idle connections
that are checked before use are compared with a new connection for each call,
over loopback sockets with an added one-way delay.

  carobward bench idle --calls 2000`

type benchIdleCommand struct {
	Calls  int           `long:"calls" default:"2000" description:"Calls a way."`
	OneWay time.Duration `long:"one-way" default:"1ms" description:"Time of the network one way."`
	Pause  time.Duration `long:"pause" default:"4ms" description:"Pause of the caller before each call."`
	Seed   uint64        `long:"seed" default:"1" description:"Seed of the server's closes."`
}

// Execute runs the experiment and prints the table.
func (c *benchIdleCommand) Execute([]string) error {
	if c.Calls < 1 || c.Pause <= 0 || c.OneWay < 0 {
		return errors.NotValidf("bench idle: calls %d, pause %s, one-way %s", c.Calls, c.Pause, c.OneWay)
	}

	results, err := cwtrial.Idle{OneWay: c.OneWay, Pause: c.Pause, Calls: c.Calls, Seed: c.Seed}.Run()
	if err != nil {
		return errors.Annotate(err, "bench idle")
	}

	fmt.Printf("%-18s %8s %13s %13s %13s\n", "way", "calls", "unknown/1000", "not-run/1000", "connects/1000")

	for _, r := range results {
		share := func(n int64) float64 { return 1000 * float64(n) / float64(r.Calls) }
		fmt.Printf("%-18s %8d %13.1f %13.1f %13.0f\n",
			r.Way, r.Calls, share(int64(r.Unknown)), share(int64(r.NotRun)), share(r.Conns))
	}

	return nil
}
