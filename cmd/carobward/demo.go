package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/lab/cwfleet"
	"carobward.example/carobward/pkg/cwcaller"
)

const usageDemo = `Run a demo in this one process, with nothing to set up: stand-ins for
the platform and the servers, three entry VMs, and a caller that looks up
launch sheets and charges fees. It prints what was served, by whom and how
fast.`

type demoCommand struct {
	Requests int `long:"requests" default:"200" description:"Lookups to make."`
}

// The sizes and times of the demo.
const (
	demoServers = 3
	demoSlots   = 4
	demoWork    = 2 * time.Millisecond
	demoWait    = 10 * time.Second
)

var demoDomains = []carobward.Domain{"Ifrane", "Ouarzazate", "Azilal"}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	f, err := cwfleet.New(cwfleet.Options{
		Name: "demo", Domains: demoDomains, VMs: len(demoDomains), Keep: time.Second,
		Services: []cwfleet.Service{
			{Name: "records", Count: demoServers, Options: demoServer},
			{Name: "billing", Count: demoServers, Options: demoServer},
		},
	})
	if err != nil {
		return err
	}

	defer f.Close()

	ctx, cancel := context.WithTimeout(context.Background(), demoWait)
	defer cancel()

	if err := f.Apply(ctx, demoTargets()); err != nil {
		return err
	}

	fmt.Println("Three entry VMs serve, revision 1 is in force on each.")

	client := cwcaller.New(cwcaller.Options{Caller: "demo", Domain: demoDomains[0], Lookup: f.Lookup(), Timeout: time.Second}, carobward.SystemClock{})

	return c.requests(ctx, client)
}

func demoServer(int) cwstand.ServerOptions {
	return cwstand.ServerOptions{Slots: demoSlots, Work: demoWork}
}

func demoTargets() cwconfig.Change {
	return cwconfig.Change{ID: "demo", Put: []carobward.Target{
		{
			Name: "sheet-lookup", Service: "records", Promise: carobward.Quick,
			Match:  []carobward.Match{{Method: "GET", Path: "/sheets/"}},
			Within: carobward.Duration(time.Second), Body: carobward.Megabyte,
		},
		{
			Name: "launch-fee", Service: "billing", Promise: carobward.Once,
			Match:  []carobward.Match{{Method: "POST", Path: "/fees"}},
			Within: carobward.Duration(time.Second), Body: carobward.Megabyte,
		},
	}, Measure: &cwtarget.Measure{Calls: 10, Bytes: carobward.Kilobyte}}
}

func (c *demoCommand) requests(ctx context.Context, client *cwcaller.Client) error {
	lookups := newTally("GET /sheets/today")
	for range c.Requests {
		lookups.record(client.Do(ctx, &cwcaller.Request{Method: "GET", URI: "/sheets/today"}))
	}

	fees := newTally("POST /fees")
	for range c.Requests / 10 {
		fees.record(client.Do(ctx, &cwcaller.Request{Method: "POST", URI: "/fees", Body: []byte("launch 17"), Once: true}))
	}

	return errors.Trace(firstError(lookups.print(), fees.print()))
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}

	return nil
}
