// Package crowd tests how entry VMs bear crowds of callers that send large or endless requests, hold them
// open, or don't read their answers. A test checks that the process lives, that its memory and descriptors
// stay within their limits, and that one ordinary request is answered afterwards. The tests of this package
// run apart from other ones.
package crowd

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrelay"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

const (
	host  = "club.example"
	grace = "1s"
	// memory is the memory limit of the smallest entry VM on the users' platform, and descriptors is how many
	// sockets each of them may have.
	memory      = 184 * carobward.Megabyte
	descriptors = 3900
	// maxBody is the limit on the bodies of requests.
	maxBody = 8 << 20
	// callers is the usual number of callers of a crowd. Their bodies have twice the memory of the VM.
	callers = 48
	// requestTimeout is longer than any ordinary request takes.
	requestTimeout = 20 * time.Second
)

// site is a site with one server.
type site struct {
	*cwsite.Site

	server *cwstand.Upstream
}

// start starts n entry VMs of a memory limit, with a limit on bodies, and waits until they are ready.
func start(t *testing.T, n int, limit, body carobward.ByteCount) *site {
	t.Helper()

	g := &site{Site: cwsite.New(t, grace), server: cwstand.NewUpstream(cwtest.Listen(t), "i-1")}
	t.Cleanup(g.server.Close)
	g.Memory = limit
	g.Store.Put("servers/i-1", cwstand.ServerEntry("records", g.server.Address(), "zone-1", "ready"))
	g.configure(1, body)

	for range n {
		v := g.Start(t)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	return g
}

// configure puts a configuration with a limit on bodies in force.
func (g *site) configure(version int, body carobward.ByteCount) {
	config := cwstand.MetadataConfig(version, host, cwstand.MetadataRoute{"prefix": "/", "kind": "safe", "service": "records", "timeout": "20s"})
	g.Store.Put("op/config", cwstand.MetadataConfigWithBody(config, body))
}

// dial opens a connection to an address of an entry VM.
type dial func(g *site, to carobward.Address) (net.Conn, error)

func dialTCP(_ *site, to carobward.Address) (net.Conn, error) { return net.Dial("tcp", string(to)) }

// dialPeer opens a connection that is authenticated as that of another entry VM.
func dialPeer(g *site, to carobward.Address) (net.Conn, error) {
	return g.Key().Dial(context.Background(), &net.Dialer{}, to)
}

// crowd is a number of callers that do the same.
type crowd struct {
	count int
	dial  dial
	// to returns the address to which they connect.
	to   func(v *cwsite.EntryVM) carobward.Address
	path string
	// fields are header lines of all requests.
	fields string
	does   behaviour
}

// run has all callers of the crowd send what they have to send, and then hold their connections. The
// function that it returns closes them.
func (w *crowd) run(t *testing.T, g *site, v *cwsite.EntryVM) func() {
	t.Helper()

	var (
		group sync.WaitGroup
		mutex sync.Mutex
		conns []net.Conn
		ended int
	)

	for n := range w.count {
		group.Go(func() {
			conn, err := w.dial(g, w.to(v))
			if err != nil {
				return // The entry VM refuses connections.
			}

			mutex.Lock()
			conns = append(conns, conn)
			mutex.Unlock()

			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))

			if err := w.does(&caller{Conn: conn, number: n, path: w.path, fields: w.fields}); err != nil {
				mutex.Lock()
				ended++
				mutex.Unlock()
			}
		})
	}

	group.Wait()
	t.Logf("%d callers connected, %d of them could not send all", len(conns), ended)

	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// send sends an ordinary request and returns the status of the answer, or 0 if there is none.
func send(v *cwsite.EntryVM, method string, body []byte) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + string(v.Callers) + "/ordinary")
	req.Header.SetMethod(method)
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.Set("Request-Id", "ordinary")
	req.Header.Set("Deadline-Ms", "10000")
	req.SetBodyRaw(body)

	// On a connection of its own, which no crowd has had closed.
	client := &fasthttp.Client{}
	if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
		return 0
	}

	return resp.StatusCode()
}

// settle waits until the server gets no more requests.
func (g *site) settle(t *testing.T) {
	t.Helper()

	const quiet = 500 * time.Millisecond

	var (
		runs  = -1
		since time.Time
	)

	cwtest.Wait(t, "the server to have answered", func() bool {
		if n := len(g.server.Arrivals()); n != runs {
			runs, since = n, time.Now()
		}

		return time.Since(since) > quiet
	})
}

// check checks that an entry VM has kept its limits and serves an ordinary request.
func check(t *testing.T, v *cwsite.EntryVM, limit carobward.ByteCount) {
	t.Helper()

	p := v.Process()
	if !p.Running() {
		t.Fatalf("%s has ended", v.ID)
	}

	peak, open := p.PeakMemory(), p.Descriptors(t)
	if peak == 0 || peak >= limit {
		t.Errorf("%s: %d MB of memory, its limit is %d MB", v.ID, peak/carobward.Megabyte, limit/carobward.Megabyte)
	}

	if open >= descriptors {
		t.Errorf("%s: %d descriptors", v.ID, open)
	}

	// It may be refused while requests of the crowd are served.
	cwtest.Wait(t, "the answer of an ordinary request", func() bool { return send(v, http.MethodGet, nil) == http.StatusOK })

	t.Logf("%s: %d MB of memory at most, %d descriptors", v.ID, peak/carobward.Megabyte, open)
}

func callersOf(v *cwsite.EntryVM) carobward.Address { return v.Callers }

// bodies are the bodies of the callers' listener.
var bodies = map[string]behaviour{
	"all but a byte":           allBut(maxBody, 1),
	"nothing of a body":        allBut(maxBody, maxBody),
	"whole bodies again":       wholeAgain(maxBody, 3),
	"after 100-continue":       sends(func(c *caller) error { return first(c.await(), c.fill(maxBody-1)) }, length(maxBody), "Expect: 100-continue"),
	"large chunks, no end":     openChunks(maxBody-pieceBytes, pieceBytes-16),
	"chunks of a byte, no end": openChunks(maxBody/4, 1),
	"chunks without end":       openChunks(endless, pieceBytes-16),
	"one chunk without end":    text("7fffffff\r\n", "x", endless),
	"an extension without end": text("1;", "x", endless),
	"trailers without end":     text("1\r\nx\r\n0\r\n", "A: x\r\n", endless),
	"a size of 400 digits":     text(strings.Repeat("0", 400), "0", pieceBytes),
	"announced over the limit": sends(func(c *caller) error { return c.fill(endless) }, length(endless)),
	"a length of 20 digits":    sends(func(c *caller) error { return c.fill(endless) }, "Content-Length: 99999999999999999999"),
	"more than announced":      sends(func(c *caller) error { return c.fill(endless) }, length(10)),
}

// TestCrowdBodies guards against bodies of requests that take the entry VM's memory.
func TestCrowdBodies(t *testing.T) {
	for name, does := range bodies {
		t.Run(name, func(t *testing.T) {
			g := start(t, 1, memory, maxBody)
			w := &crowd{count: callers, dial: dialTCP, to: callersOf, path: "/a", does: does}

			end := w.run(t, g, g.VMs[0])
			defer end()

			check(t, g.VMs[0], memory)
		})
	}
}

// TestCrowdHeads guards against heads of requests and unread answers that take the entry VM's memory.
func TestCrowdHeads(t *testing.T) {
	const legalHead = 16 << 10

	for name, c := range map[string]struct {
		count  int
		answer cwstand.Reply
		does   behaviour
	}{
		"heads without their last byte": {2200, cwstand.Reply{}, openHead(legalHead)},
		"answers of 64 KB":              {600, cwstand.Reply{Length: 64 << 10}, sendAhead},
		"answers of 30 KB":              {2200, cwstand.Reply{Length: 30 << 10}, sendAhead},
		"answers of 10 MB":              {200, cwstand.Reply{Length: 10 << 20}, sendAhead},
		"errors of 1 MB":                {600, cwstand.Reply{Status: "404 Not Found", Length: 1 << 20}, sendAhead},
	} {
		t.Run(name, func(t *testing.T) {
			g := start(t, 1, memory, maxBody)
			g.server.SetReplyOf(func(r cwstand.Run) cwstand.Reply {
				if r.URI == "/ordinary" {
					return cwstand.Reply{Length: 4, Framing: cwstand.FramedByLength}
				}

				answer := c.answer
				answer.Framing = cwstand.FramedByLength

				return answer
			})

			w := &crowd{count: c.count, dial: dialTCP, to: callersOf, path: "/a", does: c.does}

			end := w.run(t, g, g.VMs[0])
			defer end()

			g.settle(t)
			check(t, g.VMs[0], memory)
		})
	}
}

// TestCrowdListeners guards against requests to the other listeners that take the entry VM's memory.
func TestCrowdListeners(t *testing.T) {
	relayed := cwrelay.Request{VM: "vm-2", Version: 1, Service: "records", ID: "c", Left: requestTimeout, Wait: requestTimeout}
	relay := cwrelay.Header + ": " + relayed.Encode() + "\r\n"

	// largest is the largest body that the HTTP library takes by default.
	const largest = 4 << 20

	for name, c := range map[string]crowd{
		"lookups":             {400, dialTCP, func(v *cwsite.EntryVM) carobward.Address { return v.Lookup }, platform.PathLookup, "", allBut(largest, 1)},
		"lookups, chunks":     {400, dialTCP, func(v *cwsite.EntryVM) carobward.Address { return v.Lookup }, platform.PathLookup, "", openChunks(largest-pieceBytes, pieceBytes-16)},
		"readiness":           {200, dialTCP, func(v *cwsite.EntryVM) carobward.Address { return v.Ready }, platform.PathReady, "", allBut(largest, 1)},
		"metrics":             {200, dialTCP, func(v *cwsite.EntryVM) carobward.Address { return v.Metrics }, "/metrics", "", allBut(largest, 1)},
		"peers":               {400, dialTCP, func(v *cwsite.EntryVM) carobward.Address { return v.Peers }, "/", "", allBut(largest, 1)},
		"requests passed on":  {callers, dialPeer, func(v *cwsite.EntryVM) carobward.Address { return v.Relay }, "/a", relay, allBut(maxBody, 1)},
		"chunks passed on":    {callers, dialPeer, func(v *cwsite.EntryVM) carobward.Address { return v.Relay }, "/a", relay, openChunks(endless, pieceBytes-16)},
		"bodies of strangers": {callers, dialTCP, func(v *cwsite.EntryVM) carobward.Address { return v.Relay }, "/a", relay, allBut(maxBody, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			g := start(t, 1, memory, maxBody)

			end := c.run(t, g, g.VMs[0])
			defer end()

			check(t, g.VMs[0], memory)
		})
	}
}

// TestCrowdMeanwhile guards against crowds that meet a change of the entry VM, its configuration, its server or
// the store.
func TestCrowdMeanwhile(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, g *site){
		"SIGHUP":          func(t *testing.T, g *site) { g.VMs[0].Process().Signal(t, syscall.SIGHUP) },
		"a lower limit":   func(_ *testing.T, g *site) { g.configure(2, 1<<20) },
		"a higher limit":  func(_ *testing.T, g *site) { g.configure(2, 2*maxBody) },
		"the store fails": func(_ *testing.T, g *site) { g.StoreProxy.SetFault(cwstand.ProxyResets) },
		"slow servers": func(_ *testing.T, g *site) {
			g.server.SetWorkOf(func(r cwstand.Run) time.Duration {
				if r.URI == "/ordinary" {
					return 0
				}

				return time.Second
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := start(t, 1, memory, maxBody)
			open := &crowd{count: callers, dial: dialTCP, to: callersOf, path: "/a", does: openChunks(maxBody-pieceBytes, pieceBytes-16)}
			whole := &crowd{count: callers, dial: dialTCP, to: callersOf, path: "/a", does: wholeAgain(maxBody, 2)}

			endOpen := open.run(t, g, g.VMs[0])
			defer endOpen()

			change(t, g)

			endWhole := whole.run(t, g, g.VMs[0])
			defer endWhole()

			check(t, g.VMs[0], memory)
		})
	}
}

// TestCrowdStop guards against a process that doesn't stop, or grows, because callers hold requests open.
func TestCrowdStop(t *testing.T) {
	g := start(t, 1, memory, maxBody)
	w := &crowd{count: callers, dial: dialTCP, to: callersOf, path: "/a", does: allBut(maxBody, 1)}

	end := w.run(t, g, g.VMs[0])
	defer end()

	check(t, g.VMs[0], memory)

	p := g.VMs[0].Process()
	p.Signal(t, syscall.SIGTERM)

	if err := p.Wait(t); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// TestCrowdSizes guards against a limit that a caller inside the limits meets in calm, on the smallest VM and
// without a memory limit, and against one that depends on there being a memory limit.
func TestCrowdSizes(t *testing.T) {
	// without is the bound for an entry VM whose settings have no memory limit.
	const without = 536 * carobward.Megabyte

	t.Run("one of 64 MB", func(t *testing.T) {
		const largest = 64 << 20

		g := start(t, 1, memory, largest)
		if status := send(g.VMs[0], http.MethodPost, make([]byte, largest)); status != http.StatusOK {
			t.Errorf("status %d", status)
		}

		check(t, g.VMs[0], memory)
	})

	t.Run("no memory limit", func(t *testing.T) {
		const many = 160

		g := start(t, 1, 0, maxBody)
		w := &crowd{count: many, dial: dialTCP, to: callersOf, path: "/a", does: allBut(maxBody, 1)}

		end := w.run(t, g, g.VMs[0])
		defer end()

		check(t, g.VMs[0], without)
	})

	t.Run("one of the limit beside the crowd", func(t *testing.T) {
		g := start(t, 1, memory, maxBody)
		w := &crowd{count: callers, dial: dialTCP, to: callersOf, path: "/a", does: allBut(maxBody, 1)}

		end := w.run(t, g, g.VMs[0])
		end()

		cwtest.Wait(t, "a request with a body", func() bool { return send(g.VMs[0], http.MethodPost, make([]byte, maxBody)) == http.StatusOK })
		check(t, g.VMs[0], memory)
	})
}

// TestCrowdPassedOn guards against bodies that take the memory of two entry VMs, one of which passes them on.
func TestCrowdPassedOn(t *testing.T) {
	g := start(t, 2, memory, maxBody)
	w := &crowd{count: callers, dial: dialTCP, to: callersOf, path: "/a", does: wholeAgain(maxBody, 2)}
	paths := cwsite.NewPaths()

	proxy := cwstand.NewProxy(cwtest.Listen(t), g.server.Address())
	t.Cleanup(proxy.Close)

	for _, v := range g.VMs {
		paths.Add(v)
	}

	proxy.SetSources(paths)
	g.Store.Put("servers/i-1", cwstand.ServerEntry("records", proxy.Address(), "zone-1", "ready"))
	cwtest.Wait(t, "requests by way of the proxy", func() bool { return send(g.VMs[0], http.MethodGet, nil) == http.StatusOK })
	paths.Cut(g.VMs[0], cwstand.ProxyResets)

	end := w.run(t, g, g.VMs[0])
	defer end()

	check(t, g.VMs[1], memory)
	check(t, g.VMs[0], memory)
}
