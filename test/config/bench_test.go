package config

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwkv"
	"carobward.example/carobward/internal/cwlog"
	"carobward.example/carobward/internal/cwnode"
	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// newNodes runs so many entry VMs in this process over loopback.
func newNodes(b *testing.B, n int) (*cwstand.Platform, []*cwnode.Node) {
	b.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}

	p := cwstand.NewPlatform(ln)
	ctx, stop := context.WithCancel(context.Background())

	var (
		nodes []*cwnode.Node
		vms   []carobward.VM
	)

	for i := range n {
		s := cwsettings.Defaults()
		s.VM = carobward.VMID(fmt.Sprint("vm-", i))
		s.Domain = carobward.Domain([]string{"Ifrane", "Ouarzazate", "Azilal"}[i%3])
		s.Listen = cwsettings.Listen{Callers: "127.0.0.1:0", Lookup: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
		s.Store.URL = p.URL()
		s.List.URL = p.URL() + cwstand.ListPath
		s.Keep = carobward.Duration(time.Second)

		node, err := cwnode.New(s, carobward.SystemClock{}, cwlog.New(io.Discard, "error"))
		if err != nil {
			b.Fatal(err)
		}

		nodes = append(nodes, node)
		vms = append(vms, carobward.VM{Address: node.Self().Peers, ID: s.VM, Service: carobward.EntryService, Domain: s.Domain})

		go func() { _ = node.Run(ctx) }()
	}

	p.SetVMs(vms)
	b.Cleanup(func() {
		stop()

		for _, node := range nodes {
			<-node.Done()
		}

		p.Close()
	})

	return p, nodes
}

// awaitAll waits until a revision is in force on each of the entry VMs and
// returns how long it took.
func awaitAll(b *testing.B, nodes []*cwnode.Node, r carobward.Revision, live int) time.Duration {
	b.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), cwtest.WaitMost)
	defer cancel()

	began := time.Now()

	var group sync.WaitGroup

	for _, node := range nodes {
		group.Go(func() {
			if err := node.Await(ctx, r, live); err != nil {
				b.Error(err)
			}
		})
	}

	group.Wait()

	return time.Since(began)
}

// BenchmarkInForce is the time until a change is in force on the last of 19
// entry VMs over loopback, by way of one of them, and by a writer that tells
// nobody but the store. In the outage the store is gone once it has accepted.
func BenchmarkInForce(b *testing.B) {
	for _, test := range []struct {
		name          string
		quiet, outage bool
	}{{"well", false, false}, {"quiet", true, false}, {"outage", false, true}} {
		b.Run(test.name, func(b *testing.B) {
			const vms = 19

			p, nodes := newNodes(b, vms)
			writer := cwconfig.NewWriter(cwkv.New(p.URL(), "carobward/", time.Second, new(expvar.Map).Init()), cwconfig.NewHolder())

			apply := writer.Apply
			if !test.quiet {
				apply = nodes[0].Apply
			}

			var (
				took []float64
				base carobward.Revision
			)

			awaitAll(b, nodes, 0, vms)

			for b.Loop() {
				change := cwconfig.Change{ID: carobward.ChangeID(fmt.Sprint("c", base)), Base: base, Put: []carobward.Target{{
					Name: "fee", Service: "billing", Promise: carobward.Once, Match: []carobward.Match{{Path: fmt.Sprint("/fees", base)}},
					Within: carobward.Duration(time.Second), Body: carobward.Kilobyte,
				}}}

				revision, err := apply(context.Background(), change)
				if err != nil {
					b.Fatal(err)
				}

				p.SetFaults(cwstand.Faults{Down: test.outage})

				took = append(took, awaitAll(b, nodes, revision, 1).Seconds())
				base = revision

				p.SetFaults(cwstand.Faults{})
				<-time.After(300 * time.Millisecond)
			}

			slices.Sort(took)
			b.ReportMetric(took[len(took)/2], "s-p50")
			b.ReportMetric(took[len(took)*9/10], "s-p90")
			b.ReportMetric(took[len(took)-1], "s-max")
		})
	}
}
