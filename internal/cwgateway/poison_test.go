package cwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// A request ended each server that began to run it. Its caller sent it again and again,
// under a new id each time and to any entry VM, and each entry VM sent it to a second
// server by itself once the first had broken off. Within 1.4 s 20 of 32 servers had
// ended, while the load on them was as usual:
//
//	8.976 front: Sent. server=i-5b3c931f3c running=1 queued=0 slots=4 outcome=broken took=102
//	8.994 front: A look at a server failed. server=i-5b3c931f3c cause="connect: connection refused"
//	9.032 front: Sent. server=i-8ee57cbedf running=0 queued=0 slots=4 outcome=broken took=54
//
// Then no server had room, 62 of 130 requests a second were in time, and innocent
// requests in flight at the servers were cut. Nothing that one entry VM saw of it was
// known to another, or to itself at the next attempt.

// place is an address at which one server after the other runs.
type place struct {
	address carobward.Address
	starts  int
	server  *cwstand.Upstream
}

// instance returns the name of the present run.
func (p *place) instance() string {
	_, port, _ := net.SplitHostPort(string(p.address))

	return fmt.Sprintf("i-%s-%d", port, p.starts)
}

// crashing is a group of servers that certain requests end. Each is back at once, as
// another run.
type crashing struct {
	fleet   *fleet
	isFatal func(cwstand.Run) bool

	mutex  sync.Mutex
	places []*place
	// crashes counts the servers that ended.
	crashes int
	closed  bool
}

func newCrashing(t *testing.T, f *fleet, servers int, isFatal func(cwstand.Run) bool) *crashing {
	t.Helper()

	c := &crashing{fleet: f, isFatal: isFatal}
	t.Cleanup(c.close)

	for range servers {
		ln := cwtest.Listen(t)
		p := &place{address: carobward.Address(ln.Addr().String())}
		c.places = append(c.places, p)
		c.begin(p, ln)
	}

	return c
}

// begin starts the next run of a server.
func (c *crashing) begin(p *place, ln net.Listener) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		_ = ln.Close()

		return
	}

	p.starts++
	u := cwstand.NewUpstream(ln, carobward.Instance(p.instance()))
	u.SetCrash(c.isFatal, func() { c.ended(p) })
	p.server = u
	c.fleet.register("fees", p.instance(), p.address, "ready")
}

// ended starts the next process at a place. One that crashes says nothing, so that its
// entry stays for a while.
func (c *crashing) ended(p *place) {
	const lapse = 300 * time.Millisecond

	c.mutex.Lock()
	c.crashes++
	p.server.Close()

	entry := "servers/" + p.instance()
	time.AfterFunc(lapse, func() { c.fleet.store.Delete(entry) })
	c.mutex.Unlock()

	for {
		if ln, err := net.Listen("tcp", string(p.address)); err == nil {
			c.begin(p, ln)

			return
		}
	}
}

func (c *crashing) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.crashes
}

func (c *crashing) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.closed = true
	for _, p := range c.places {
		p.server.Close()
	}
}

const poison = "poison"

// isPoison tells whether a request ends the server that runs it.
func isPoison(r cwstand.Run) bool { return strings.HasSuffix(r.URI, poison) || r.Body == poison }

// askAll sends a request to one entry VM after the other, each of which knows by then
// what the others wrote, until all have refused it one after the other, or up to a number of
// times. It tells whether all have.
func (c *crashing) askAll(t *testing.T, all []*vm, method, path, body string, most int) bool {
	t.Helper()

	for i, refused := 0, 0; i < most; i++ {
		v := all[i%len(all)]
		c.fleet.waitCopy(t, v)

		got := v.ask(method, path, fmt.Sprint("first", i), body)
		if !got.isQuarantined() {
			refused = 0

			continue
		}

		if got.header.Get("Retry-After") == "" {
			t.Errorf("a refusal does not say when to come back: %+v", got)
		}

		if refused++; refused == len(all) {
			return true
		}
	}

	return false
}

// TestPoison wants a request that ends each server that runs it to be refused by all
// entry VMs, and others beside it to be served.
func TestPoison(t *testing.T) {
	const (
		// rounds is how often the caller comes back at most until all refuse.
		rounds = 60
		// more is how often it comes back then, sendsMost how many of these
		// attempts may reach servers in all.
		more      = 40
		sendsMost = 3
	)

	for name, c := range map[string]struct{ method, path, body string }{
		"a read":   {http.MethodGet, reading + poison, ""},
		"a charge": {http.MethodPost, charging, poison},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			servers := newCrashing(t, f, 12, isPoison)
			f.configure(safe("fees"), unsafe())

			var all []*vm
			for i := range 4 {
				domain := carobward.Domain(fmt.Sprint("domain-", i%2))
				all = append(all, f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) { o.Self.Domain = domain }))
			}

			for _, v := range all {
				v.waitReady(t)
			}

			if !servers.askAll(t, all, c.method, c.path, c.body, rounds) {
				t.Error("not all entry VMs refuse it")
			}

			before := servers.count()

			for i := range more {
				all[i%len(all)].ask(c.method, c.path, fmt.Sprint("more", i), c.body)
			}

			t.Logf("%d servers had ended before all refused, %d after", before, servers.count()-before)

			if n := servers.count() - before; n > sendsMost {
				t.Errorf("%d servers had ended, and the request ended %d more", before, n)
			}

			for i, v := range all {
				if got := v.ask(c.method, c.path+"x", fmt.Sprint("other", i), c.body+"x"); got.status != http.StatusOK {
					t.Errorf("another request: %+v", got)
				}
			}
		})
	}
}
