package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwlog"
	"carobward.example/carobward/internal/cwnode"
	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/pkg/cwcaller"
)

const usageDemo = `Run the main job in this one process, with nothing to set up: stand-ins for
the platform and the servers, three entry VMs, and a caller that looks up
launch sheets and charges fees. It prints what was served, by whom and how
fast.`

type demoCommand struct {
	Requests int `long:"requests" default:"200" description:"Lookups to make."`
}

// The make-up of the demo.
const (
	demoServers = 3
	demoSlots   = 4
	demoWork    = 2 * time.Millisecond
	demoWait    = 10 * time.Second
	demoPoll    = 20 * time.Millisecond
)

var demoDomains = []carobward.Domain{"Ifrane", "Ouarzazate", "Azilal"}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotate(err, "demo")
	}

	platform := cwstand.NewPlatform(ln)
	defer platform.Close()

	vms, err := demoBackends()
	if err != nil {
		return err
	}

	nodes, err := demoNodes(platform.URL())
	if err != nil {
		return err
	}

	ctx, stop := context.WithCancel(context.Background())

	var group conc.WaitGroup

	for _, n := range nodes {
		self := n.Self()
		vms = append(vms, carobward.VM{Address: self.Peers, ID: self.ID, Service: carobward.EntryService, Domain: self.Domain})

		group.Go(func() { _ = n.Run(ctx) })
	}

	platform.SetVMs(vms)

	err = c.work(ctx, nodes)

	stop()
	group.Wait()

	return err
}

func demoBackends() ([]carobward.VM, error) {
	var vms []carobward.VM

	for _, service := range []carobward.Service{"records", "billing"} {
		for i := range demoServers {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, errors.Annotate(err, "demo")
			}

			s := cwstand.NewServer(ln, cwstand.ServerOptions{Slots: demoSlots, Work: demoWork})
			vms = append(vms, carobward.VM{Address: s.Address(), Service: service, Domain: demoDomains[i%len(demoDomains)]})
		}
	}

	return vms, nil
}

func demoNodes(platform string) ([]*cwnode.Node, error) {
	var nodes []*cwnode.Node

	for i, d := range demoDomains {
		s := cwsettings.Defaults()
		s.VM = carobward.VMID(fmt.Sprintf("demo-%d", i+1))
		s.Domain = d
		s.Listen = cwsettings.Listen{Callers: "127.0.0.1:0", Lookup: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
		s.Store.URL = platform
		s.List.URL = platform + cwstand.ListPath
		s.Keep = carobward.Duration(time.Second)
		s.Log = "error"

		if err := s.Validate(); err != nil {
			return nil, err
		}

		n, err := cwnode.New(s, carobward.SystemClock{}, cwlog.New(os.Stderr, s.Log))
		if err != nil {
			return nil, err
		}

		nodes = append(nodes, n)
	}

	return nodes, nil
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

func (c *demoCommand) work(ctx context.Context, nodes []*cwnode.Node) error {
	if _, err := nodes[0].Apply(ctx, demoTargets()); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, demoWait)
	defer cancel()

	for _, n := range nodes {
		if err := n.Await(ctx, 1, demoServers); err != nil {
			return err
		}
	}

	fmt.Println("Three entry VMs serve, revision 1 is in force on each.")

	var lookup []carobward.Address
	for _, n := range nodes {
		lookup = append(lookup, n.Self().Lookup)
	}

	client := cwcaller.New(cwcaller.Options{Caller: "demo", Domain: demoDomains[0], Lookup: lookup, Timeout: time.Second}, carobward.SystemClock{})

	return c.requests(ctx, client)
}

func (c *demoCommand) requests(ctx context.Context, client *cwcaller.Client) error {
	lookups := newTally("GET /sheets/today")
	for range c.Requests {
		lookups.one(client.Do(ctx, &cwcaller.Request{Method: "GET", URI: "/sheets/today"}))
	}

	fees := newTally("POST /fees")
	for range c.Requests / 10 {
		fees.one(client.Do(ctx, &cwcaller.Request{Method: "POST", URI: "/fees", Body: []byte("launch 17"), Once: true}))
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
