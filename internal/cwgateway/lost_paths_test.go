package cwgateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// pathFleet is a fleet in which the paths of each entry VM to the servers can be cut.
type pathFleet struct {
	*fleet

	servers []*cwstand.Upstream
	vms     []*vm
	paths   []*cwstand.Paths
	sent    int
}

// newPathFleet starts entry VMs in the given failure domains of one region, before servers of two
// services.
func newPathFleet(t *testing.T, domains ...carobward.Domain) *pathFleet {
	t.Helper()

	regions := map[carobward.Domain]carobward.Region{}
	for _, d := range domains {
		regions[d] = "r"
	}

	return newPathFleetIn(t, regions, domains...)
}

// newPathFleetIn is newPathFleet with the regions of the failure domains.
func newPathFleetIn(t *testing.T, regions map[carobward.Domain]carobward.Region, domains ...carobward.Domain) *pathFleet {
	t.Helper()

	return newPathFleetWith(t, func(o *cwgateway.Options) { o.Regions = regions }, domains...)
}

// newPathFleetWith is newPathFleet with a change of the options of each entry VM.
func newPathFleetWith(t *testing.T, change func(*cwgateway.Options), domains ...carobward.Domain) *pathFleet {
	t.Helper()

	const serversPerService = 3

	p := &pathFleet{fleet: newFleet(t)}

	for _, service := range []string{"records", "fees"} {
		for i := range serversPerService {
			p.servers = append(p.servers, p.upstream(t, service, fmt.Sprint(service, "-", i)))
		}
	}

	p.configure(safeRoute("records"), unsafeRoute())

	for i, d := range domains {
		paths := cwstand.NewPaths(func() net.Listener { return cwtest.Listen(t) })
		t.Cleanup(paths.Close)

		p.paths = append(p.paths, paths)
		p.vms = append(p.vms, p.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) {
			o.Self.Domain = d
			change(o)

			overPaths(o, paths)
		}))
		p.vms[i].waitReady(t)
	}

	for _, v := range p.vms { // Each of them knows all others.
		cwtest.Wait(t, "the fleet", func() bool { return p.status(v).Fleet == len(domains) })
	}

	return p
}

// overPaths lets an entry VM reach servers over paths that can be cut.
func overPaths(o *cwgateway.Options, paths *cwstand.Paths) {
	read := o.Adapter.Backend
	o.Adapter.Backend = func(k carobward.Key, raw []byte) (carobward.Backend, error) {
		b, err := read(k, raw)
		if err == nil {
			b.Address = paths.To(b.Address)
		}

		return b, err
	}
}

// sendTo sends requests of both kinds to an entry VM, each on a connection of its own choice,
// and returns how many were served.
func (p *pathFleet) sendTo(t *testing.T, v *vm, each int) int {
	t.Helper()

	served := 0

	for range each {
		for method, path := range map[string]string{http.MethodGet: readPath, http.MethodPost: chargePath} {
			p.sent++

			switch got := v.send(method, path, fmt.Sprint("id-", p.sent), ""); {
			case got.err != nil:
				t.Errorf("%s: %v", v.options.Self.ID, got.err)
			case got.status == http.StatusOK:
				served++
			case got.status != http.StatusServiceUnavailable:
				t.Errorf("%s: status %d, %s", v.options.Self.ID, got.status, got.body)
			case got.header.Get("Retry-After") == "":
				t.Errorf("%s: refused without a time to come back: %s", v.options.Self.ID, got.body)
			}
		}
	}

	return served
}

// pathStatus is what operators see of an entry VM.
type pathStatus struct {
	Fleet int `json:"fleet"`
	Lost  []struct {
		Service carobward.Service `json:"service"`
		For     string            `json:"for"`
		Servers int               `json:"servers"`
	} `json:"lost"`
}

func (p *pathFleet) status(v *vm) pathStatus {
	var s pathStatus
	if err := json.Unmarshal([]byte(get(v.options.Metrics, "/status").body), &s); err != nil {
		return pathStatus{}
	}

	return s
}

// runs returns how often servers ran each request.
func (p *pathFleet) runs() map[string]int {
	runs := map[string]int{}

	for _, s := range p.servers {
		for _, r := range s.Runs() {
			runs[r.ID]++
		}
	}

	return runs
}

// checkRunsOnce reports each request that ran more than once.
func (p *pathFleet) checkRunsOnce(t *testing.T) {
	t.Helper()

	for id, n := range p.runs() {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// lossKinds are the ways in which paths are lost.
var lossKinds = map[string]cwstand.ProxyFault{
	"silent": cwstand.ProxyLosesAll, "one way": cwstand.ProxyLosesReplies, "reset": cwstand.ProxyResets, "new ones refused": cwstand.ProxyRefusesNew,
}

// TestLostPathsServed verifies that requests at entry VMs that have lost their paths to all
// servers are served at least two thirds as often as those at the others, which are all served.
func TestLostPathsServed(t *testing.T) {
	const each = 20

	for fleetName, c := range map[string]struct {
		domains []carobward.Domain
		cut     []int
	}{
		"one of a failure domain":  {[]carobward.Domain{"a", "a", "a", "b"}, []int{1}},
		"most of a failure domain": {[]carobward.Domain{"a", "a", "a", "b"}, []int{0, 2}},
		"all of a failure domain":  {[]carobward.Domain{"a", "a", "b", "b"}, []int{0, 1}},
	} {
		for kind, fault := range lossKinds {
			t.Run(fleetName+", "+kind, func(t *testing.T) {
				t.Parallel()

				p := newPathFleet(t, c.domains...)

				for _, v := range p.vms {
					p.sendTo(t, v, 1)
				}

				for _, i := range c.cut {
					p.paths[i].SetFault(fault)
				}

				for _, i := range c.cut {
					cwtest.Wait(t, "one request served", func() bool { return p.sendTo(t, p.vms[i], 1) > 0 })

					if served := p.sendTo(t, p.vms[i], each); 3*served < 2*2*each {
						t.Errorf("%s served %d of %d", p.vms[i].options.Self.ID, served, 2*each)
					}
				}

				p.checkRunsOnce(t)
			})
		}
	}
}

// TestLostPathsUnchecked verifies the same for entry VMs that may make next to no health checks and
// whose new connections are reset while open ones live on.
func TestLostPathsUnchecked(t *testing.T) {
	const each = 20

	p := newPathFleetWith(t, func(o *cwgateway.Options) {
		o.Regions = map[carobward.Domain]carobward.Region{"a": "r"}
		o.Limits.ChecksPerSecond = 1
	}, "a", "a", "a")

	p.sendTo(t, p.vms[1], 1)
	p.paths[1].SetFault(cwstand.ProxyRefusesNew)
	cwtest.Wait(t, "one request served", func() bool { return p.sendTo(t, p.vms[1], 1) > 0 })

	if served := p.sendTo(t, p.vms[1], each); 3*served < 2*2*each {
		t.Errorf("served %d of %d", served, 2*each)
	}

	p.checkRunsOnce(t)
}

// TestAllPathsLost verifies that requests are refused with a time to come back if no entry VM
// reaches a server, that none of them runs, and that they are served once paths are back.
func TestAllPathsLost(t *testing.T) {
	p := newPathFleet(t, "a", "a")

	for i := range p.vms {
		p.paths[i].SetFault(cwstand.ProxyLosesAll)
	}

	for _, v := range p.vms {
		if served := p.sendTo(t, v, 4); served > 0 {
			t.Errorf("%s served %d requests without a path", v.options.Self.ID, served)
		}
	}

	if runs := p.runs(); len(runs) > 0 {
		t.Errorf("requests ran: %v", runs)
	}

	for i, v := range p.vms {
		p.paths[i].SetFault(cwstand.ProxyPasses)
		cwtest.Wait(t, "paths to be used again", func() bool { return p.sendTo(t, v, 4) == 8 })
	}

	p.checkRunsOnce(t)
}
