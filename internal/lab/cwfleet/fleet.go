// Package cwfleet runs a small stand-in platform, servers and entry VMs in one
// process on loopback, for the demo and for experiments over sockets.
package cwfleet

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
)

// Service is a group of stand-in servers.
type Service struct {
	// Name is the name of the service.
	Name carobward.Service
	// Count is the number of servers.
	Count int
	// Options returns the options of one server.
	Options func(number int) cwstand.ServerOptions
}

// stopGrace is the time for a graceful stop in addition to Keep. It is short
// because the whole fleet stops at once, so that there is no successor for a
// handover.
const stopGrace = 2 * time.Second

// Options describe a fleet.
type Options struct {
	// Name is the prefix of the entry VMs' names.
	Name string
	// Domains are the failure domains, to which entry VMs and servers are
	// assigned in turn.
	Domains []carobward.Domain
	// VMs is the number of entry VMs.
	VMs int
	// Services are the stand-in servers.
	Services []Service
	// Keep is how long callers cache a lookup reply.
	Keep time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	// Platform is the stand-in platform.
	Platform *cwstand.Platform
	// Nodes are the entry VMs.
	Nodes []*cwnode.Node
	// Servers are the stand-in servers by service.
	Servers map[carobward.Service][]*cwstand.Server

	group conc.WaitGroup
	stop  context.CancelFunc
	vms   []carobward.VM
}

// anyPort is a loopback address with a port that the kernel chooses.
const anyPort = "127.0.0.1:0"

// New starts a fleet. Close stops it.
func New(o Options) (*Fleet, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, errors.Annotate(err, "fleet")
	}

	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{Platform: cwstand.NewPlatform(ln), Servers: map[carobward.Service][]*cwstand.Server{}, stop: stop}

	for _, s := range o.Services {
		if err := f.startServers(&o, s); err != nil {
			f.Close()

			return nil, err
		}
	}

	for i := range o.VMs {
		if err := f.startNode(ctx, &o, i); err != nil {
			f.Close()

			return nil, err
		}
	}

	f.Platform.SetVMs(f.vms)

	return f, nil
}

// Close stops the entry VMs, the servers and the platform.
func (f *Fleet) Close() {
	f.stop()
	f.group.Wait()

	for _, list := range f.Servers {
		for _, s := range list {
			s.Close()
		}
	}

	f.Platform.Close()
}

func (f *Fleet) startServers(o *Options, s Service) error {
	for i := range s.Count {
		ln, err := net.Listen("tcp", anyPort)
		if err != nil {
			return errors.Annotate(err, "fleet")
		}

		server := cwstand.NewServer(ln, s.Options(i))
		f.Servers[s.Name] = append(f.Servers[s.Name], server)
		f.vms = append(f.vms, carobward.VM{Address: server.Address(), Service: s.Name, Domain: o.domain(i)})
	}

	return nil
}

func (o *Options) domain(number int) carobward.Domain { return o.Domains[number%len(o.Domains)] }

func (f *Fleet) startNode(ctx context.Context, o *Options, number int) error {
	s := cwsettings.Defaults()
	s.VM = carobward.VMID(fmt.Sprintf("%s-%d", o.Name, number+1))
	s.Domain = o.domain(number)
	s.Listen = cwsettings.Listen{Callers: anyPort, Lookup: anyPort, Peers: anyPort, Operators: anyPort}
	s.Store.URL = f.Platform.URL()
	s.List.URL = f.Platform.URL() + cwstand.ListPath
	s.Keep = carobward.Duration(o.Keep)
	s.Stop = carobward.Duration(o.Keep + stopGrace)
	s.Log = "error"

	if err := s.Validate(); err != nil {
		return err
	}

	n, err := cwnode.New(s, carobward.SystemClock{}, cwlog.New(os.Stderr, s.Log))
	if err != nil {
		return err
	}

	self := n.Self()
	f.Nodes = append(f.Nodes, n)
	f.vms = append(f.vms, carobward.VM{Address: self.Peers, ID: self.ID, Service: carobward.EntryService, Domain: self.Domain})
	f.group.Go(func() { _ = n.Run(ctx) })

	return nil
}

// Lookup returns the lookup addresses of all entry VMs.
func (f *Fleet) Lookup() []carobward.Address {
	var list []carobward.Address
	for _, n := range f.Nodes {
		list = append(list, n.Self().Lookup)
	}

	return list
}

// Apply makes a change and waits until it is effective on each entry VM and all
// of them see each other.
func (f *Fleet) Apply(ctx context.Context, change cwconfig.Change) error {
	r, err := f.Nodes[0].Apply(ctx, change)
	if err != nil {
		return err
	}

	for _, n := range f.Nodes {
		if err := n.Await(ctx, r, len(f.Nodes)); err != nil {
			return err
		}
	}

	return nil
}
