package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/lab/cwfleet"
	"carobward.example/carobward/internal/lab/cwhop"
)

const usageBenchHop = `Measure what the hop through an entry VM adds to a call: pairs of a direct call
and one through the entry VM, open-loop, timed from when each was due.

Without --entry an entry VM and a server are embedded, so all share one
process. With it they are separate processes: an entry VM that has only --server
for the path. Then --pid names processes whose processor time and memory are
measured, "idle" is their share of a core without calls, and "extra" the
processor time per pair of calls without that share.

  carobward bench hop
  carobward bench hop --entry 127.0.0.1:7001 --server 127.0.0.1:8080 --pid 4711`

type benchHopCommand struct {
	Entry  string `long:"entry" description:"Callers' address of an entry VM that runs apart."`
	Server string `long:"server" description:"Address of its only server for the path."`
	Path   string `long:"path" default:"/sheets/today" description:"Path of the calls."`
	Rates  []int  `long:"rate" default:"500" default:"2000" description:"Pairs of calls a second; again for each rate."`
	Pairs  int    `long:"pairs" default:"4000" description:"Pairs of calls at each rate."`
	PIDs   []int  `long:"pid" description:"A process whose cost is measured; again for each."`
}

// Execute makes the calls and prints the table.
func (c *benchHopCommand) Execute([]string) error {
	const maxRate = 1_000_000

	for _, r := range c.Rates {
		if r < 1 || r > maxRate || c.Pairs < 1 {
			return errors.NotValidf("bench hop: rate %d, %d pairs", r, c.Pairs)
		}
	}

	if (c.Entry == "") != (c.Server == "") {
		return errors.New("bench hop: want both --entry and --server, or none")
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()

	o := cwhop.Options{
		Server: carobward.Address(c.Server), Entry: carobward.Address(c.Entry), Path: c.Path, Pairs: c.Pairs, PIDs: c.PIDs,
	}

	if c.Entry == "" {
		f, err := hopFleet(ctx, c.Path)
		if err != nil {
			return err
		}

		defer f.Close()

		o.Entry, o.Server = f.Nodes[0].Self().Callers, f.Servers[hopService][0].Address()
	}

	return c.print(ctx, o)
}

func (c *benchHopCommand) print(ctx context.Context, o cwhop.Options) error {
	fmt.Printf("%6s %10s %10s %10s %10s %9s %9s %7s %10s %10s %7s %6s\n", "rate", "direct p50", "p99 ms", "entry p50", "p99 ms",
		"added p50", "p99 ms", "failed", "µs/pair", "extra", "idle %", "MB")

	for _, o.Rate = range c.Rates {
		r, err := cwhop.Measure(ctx, o)
		if err != nil {
			return err
		}

		d, e := r.Direct, r.Entry
		fmt.Printf("%6d %10.2f %10.2f %10.2f %10.2f %9.2f %9.2f %7d %10d %10d %7.1f %6.1f\n", o.Rate,
			ms(d.P50), ms(d.P99), ms(e.P50), ms(e.P99), ms(e.P50-d.P50), ms(e.P99-d.P99), d.Failed+e.Failed,
			r.Call.Microseconds(), r.Extra.Microseconds(), percent*r.Idle, float64(r.Resident)/float64(carobward.Megabyte))
	}

	return nil
}

// percent converts a fraction to percent.
const percent = 100

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// hopService is the service of the embedded server.
const hopService carobward.Service = "records"

// hopFleet starts one entry VM and one server.
func hopFleet(ctx context.Context, path string) (*cwfleet.Fleet, error) {
	const (
		slots  = 64
		work   = time.Millisecond
		start  = 30 * time.Second
		within = 10 * time.Second
	)

	f, err := cwfleet.New(cwfleet.Options{
		Name: "hop", Domains: []carobward.Domain{"local"}, VMs: 1, Keep: time.Second,
		Services: []cwfleet.Service{{Name: hopService, Count: 1, Options: func(int) cwstand.ServerOptions {
			return cwstand.ServerOptions{Slots: slots, Work: work}
		}}},
	})
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithTimeout(ctx, start)
	defer cancel()

	err = f.Apply(ctx, cwconfig.Change{ID: "hop", Put: []carobward.Target{{
		Name: "hop", Service: hopService, Promise: carobward.Quick, Match: []carobward.Match{{Path: path}},
		Within: carobward.Duration(within), Body: carobward.Megabyte,
	}}})
	if err != nil {
		f.Close()

		return nil, err
	}

	return f, nil
}
