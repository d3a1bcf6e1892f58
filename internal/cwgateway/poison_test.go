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

// These tests guard against a request that crashes each server that runs it. Its caller sent it
// again and again, under a new ID each time and to any entry VM, and each entry VM retried it at
// a second server after the first had crashed. Within 1.4 s, 20 of 32 servers had crashed under
// an ordinary load. Then no server had capacity, 62 of 130 requests a second were in time, and
// other requests in flight at those servers were cut off. What one entry VM saw of this was
// known neither to the others, nor to itself at the next attempt.

// serverSlot is an address at which one server process runs after another.
type serverSlot struct {
	address carobward.Address
	starts  int
	server  *cwstand.Upstream
}

// instance returns the instance name of the current process.
func (p *serverSlot) instance() string {
	_, port, _ := net.SplitHostPort(string(p.address))

	return fmt.Sprintf("i-%s-%d", port, p.starts)
}

// crashingServers is a group of servers that certain requests crash. Each restarts at once as
// a new instance.
type crashingServers struct {
	fleet   *fleet
	isFatal func(cwstand.Run) bool

	mutex sync.Mutex
	slots []*serverSlot
	// crashes counts the crashed servers.
	crashes int
	closed  bool
}

func newCrashingServers(t *testing.T, f *fleet, servers int, isFatal func(cwstand.Run) bool) *crashingServers {
	t.Helper()

	c := &crashingServers{fleet: f, isFatal: isFatal}
	t.Cleanup(c.close)

	for range servers {
		ln := cwtest.Listen(t)
		p := &serverSlot{address: carobward.Address(ln.Addr().String())}
		c.slots = append(c.slots, p)
		c.start(p, ln)
	}

	return c
}

// start starts the next process of a slot.
func (c *crashingServers) start(p *serverSlot, ln net.Listener) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		_ = ln.Close()

		return
	}

	p.starts++
	u := cwstand.NewUpstream(ln, carobward.Instance(p.instance()))
	u.SetCrash(c.isFatal, func() { c.restart(p) })
	p.server = u
	c.fleet.register("fees", p.instance(), p.address, "ready")
}

// restart starts the next process of a slot after a crash. The entry of the crashed process
// stays in the store until it expires.
func (c *crashingServers) restart(p *serverSlot) {
	const lapse = 300 * time.Millisecond

	c.mutex.Lock()
	c.crashes++
	p.server.Close()

	entry := "servers/" + p.instance()
	time.AfterFunc(lapse, func() { c.fleet.store.Delete(entry) })
	c.mutex.Unlock()

	for {
		if ln, err := net.Listen("tcp", string(p.address)); err == nil {
			c.start(p, ln)

			return
		}
	}
}

func (c *crashingServers) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.crashes
}

func (c *crashingServers) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.closed = true
	for _, p := range c.slots {
		p.server.Close()
	}
}

const poison = "poison"

// isPoison reports whether a request crashes the server that runs it.
func isPoison(r cwstand.Run) bool { return strings.HasSuffix(r.URI, poison) || r.Body == poison }

// sendUntilRefused sends a request to the entry VMs in turn, each of which has received by then
// what the others wrote, until all of them have refused it in a row, but at most maxSends times.
// It reports whether all have refused it.
func (c *crashingServers) sendUntilRefused(t *testing.T, all []*vm, method, path, body string, maxSends int) bool {
	t.Helper()

	for i, refused := 0, 0; i < maxSends; i++ {
		v := all[i%len(all)]
		c.fleet.waitReplica(t, v)

		got := v.send(method, path, fmt.Sprint("first", i), body)
		if !got.isQuarantined() {
			refused = 0

			continue
		}

		if got.header.Get("Retry-After") == "" {
			t.Errorf("a refusal has no Retry-After: %+v", got)
		}

		if refused++; refused == len(all) {
			return true
		}
	}

	return false
}

// TestPoison verifies that all entry VMs refuse a request that crashes each server that runs
// it, and still serve other requests.
func TestPoison(t *testing.T) {
	const (
		// maxRounds is how often the caller sends the request at most until all refuse it.
		maxRounds = 60
		// repeats is how often it sends the request after that, maxCrashes how many servers may
		// crash meanwhile.
		repeats    = 40
		maxCrashes = 3
	)

	for name, c := range map[string]struct{ method, path, body string }{
		"a read":   {http.MethodGet, readPath + poison, ""},
		"a charge": {http.MethodPost, chargePath, poison},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			servers := newCrashingServers(t, f, 12, isPoison)
			f.configure(safeRoute("fees"), unsafeRoute())

			var all []*vm
			for i := range 4 {
				domain := carobward.Domain(fmt.Sprint("domain-", i%2))
				all = append(all, f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) { o.Self.Domain = domain }))
			}

			for _, v := range all {
				v.waitReady(t)
			}

			if !servers.sendUntilRefused(t, all, c.method, c.path, c.body, maxRounds) {
				t.Error("not all entry VMs refuse it")
			}

			before := servers.count()

			for i := range repeats {
				all[i%len(all)].send(c.method, c.path, fmt.Sprint("more", i), c.body)
			}

			t.Logf("%d servers crashed before all entry VMs refused, %d after", before, servers.count()-before)

			if n := servers.count() - before; n > maxCrashes {
				t.Errorf("%d servers crashed before all entry VMs refused, and %d more after", before, n)
			}

			for i, v := range all {
				if got := v.send(c.method, c.path+"x", fmt.Sprint("other", i), c.body+"x"); got.status != http.StatusOK {
					t.Errorf("another request: %+v", got)
				}
			}
		})
	}
}
