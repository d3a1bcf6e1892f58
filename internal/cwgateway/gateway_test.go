package cwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// TestForward verifies that a request of each kind reaches its server unchanged.
func TestForward(t *testing.T) {
	f := newFleet(t)
	records, fees := f.upstream(t, "records", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(safeRoute("records"), unsafeRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for name, c := range map[string]struct {
		method, path, body string
		server             *cwstand.Upstream
	}{
		"a read":   {http.MethodGet, "/sheets/a%2Fb?x=1&y=/fees/", "", records},
		"a charge": {http.MethodPost, "/fees/17", "launch 17", fees},
	} {
		t.Run(name, func(t *testing.T) {
			got := v.send(c.method, c.path, "id-"+c.method, c.body)
			if got.err != nil || got.status != http.StatusOK || got.body != "done" {
				t.Fatalf("%+v", got)
			}

			if got.header.Get("Response-Seal") != "s.id-"+c.method || got.header.Get("Request-Id") != "id-"+c.method {
				t.Errorf("header %v", got.header)
			}

			runs := c.server.Runs()
			runs[0].TimeLeft = ""

			want := []cwstand.Run{{ID: "id-" + c.method, Method: c.method, URI: c.path, Body: c.body}}
			if diff := cmp.Diff(want, runs); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestChunked verifies that a body sent in chunks reaches the server whole.
func TestChunked(t *testing.T) {
	f := newFleet(t)
	fees := f.upstream(t, "fees", "i-1")
	f.configure(unsafeRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	body := strings.Repeat("launch ", 10_000)

	req, err := http.NewRequest(http.MethodPut, "http://"+string(v.options.Self.Callers)+chargePath, struct{ *strings.Reader }{strings.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}

	req.Host, req.ContentLength = host, -1
	req.Header.Set("Request-Id", "one")

	if got := do(req); got.status != http.StatusOK || fees.Runs()[0].Body != body {
		t.Errorf("answer %+v, the server got %d bytes", got, len(fees.Runs()[0].Body))
	}
}

// TestLargeBody verifies that a body above the operators' limit is refused.
func TestLargeBody(t *testing.T) {
	const limit = 1 << 20 // The limit of the stand-in's configuration.

	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	f.configure(unsafeRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for size, want := range map[int]int{limit: http.StatusOK, limit + 1: http.StatusRequestEntityTooLarge} {
		if got := v.send(http.MethodPost, chargePath, fmt.Sprint("id-", size), strings.Repeat("a", size)); got.status != want {
			t.Errorf("%d bytes: status %d, %v", size, got.status, got.err)
		}
	}

	if n := len(u.Runs()); n != 1 {
		t.Errorf("%d requests ran, want only the one within the limit", n)
	}
}

// TestHealthCheckCloses verifies that a server that closes the connection after a health check
// gets the request over another connection.
func TestHealthCheckCloses(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	u.SetCloseOnHealth(true)
	f.configure(safeRoute("fees"), unsafeRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i, path := range []string{readPath, chargePath} {
		if got := v.send(http.MethodPost, path, fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// TestSlowHealthChecks verifies that healthy servers with slow health checks are used.
func TestSlowHealthChecks(t *testing.T) {
	const (
		slow      = 80 * time.Millisecond
		requests  = 20
		minServed = 15
	)

	f := newFleet(t)
	for i := range 3 {
		f.upstream(t, "records", fmt.Sprint("i-", i)).SetHealthDelay(slow)
	}

	f.configure(safeRoute("records"))

	v := f.start(t, "vm-1")
	v.waitReady(t)

	served := 0

	for i := range requests {
		if v.send(http.MethodGet, readPath, fmt.Sprint("one-", i), "").status == http.StatusOK {
			served++
		}
	}

	if served < minServed {
		t.Errorf("%d of %d requests served", served, requests)
	}
}

// TestNoRoute verifies that an entry VM refuses requests before it has a configuration, and
// answers a request without a route with 404.
func TestNoRoute(t *testing.T) {
	f := newFleet(t)
	v := f.start(t, "vm-1")

	var early answer

	cwtest.Wait(t, "an answer", func() bool {
		early = v.send(http.MethodGet, readPath, "one", "")

		return early.err == nil
	})

	if early.status != http.StatusServiceUnavailable || early.header.Get("Retry-After") == "" || v.isReady() {
		t.Errorf("without a configuration: %+v", early)
	}

	f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))
	v.waitReady(t)

	if got := v.send(http.MethodGet, "/elsewhere", "two", ""); got.status != http.StatusNotFound {
		t.Errorf("without a route: %+v", got)
	}
}

// TestLookup verifies that lookup replies list the entry VMs that take callers, and leave out
// a stopping one.
func TestLookup(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))

	var all []*vm
	for i := range 3 {
		all = append(all, f.start(t, fmt.Sprint("vm-", i)))
		all[i].waitReady(t)
	}

	has := func(v *vm) bool {
		return strings.Contains(get(all[0].options.Lookup, platform.PathLookup+"?zone=a").body, string(v.options.Self.Callers))
	}

	cwtest.Wait(t, "all addresses", func() bool { return has(all[0]) && has(all[1]) && has(all[2]) })
	all[2].once.Do(func() { close(all[2].stop) })
	cwtest.Wait(t, "the stopping entry VM to be left out", func() bool { return !has(all[2]) })

	if all[2].isReady() {
		t.Error("a stopping entry VM reports that it is ready")
	}

	if got := get(all[0].options.Lookup, "/elsewhere"); got.status != http.StatusNotFound {
		t.Errorf("lookup at an unknown path: %+v", got)
	}
}

// TestStop stops an entry VM under load and verifies that no request is lost: each gets its
// answer, or never reached a server.
func TestStop(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))
	u.SetMode(cwstand.UpstreamServes, 20*time.Millisecond)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	var (
		group    sync.WaitGroup
		mutex    sync.Mutex
		statuses = map[int]int{}
		lost     int
	)

	stop := make(chan struct{})

	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				got := v.send(http.MethodGet, readPath, fmt.Sprint("id-", i, "-", n), "")

				mutex.Lock()
				statuses[got.status]++

				if got.err != nil && !strings.Contains(got.err.Error(), "refused") && runs([]*cwstand.Upstream{u}, fmt.Sprint("id-", i, "-", n)) > 0 {
					lost++
				}
				mutex.Unlock()

				select {
				case <-stop:
					return
				default:
				}

				if got.err != nil {
					return
				}
			}
		})
	}

	cwtest.Wait(t, "load", func() bool { return len(u.Runs()) > 20 })
	v.end()
	close(stop)
	group.Wait()

	if lost > 0 || statuses[http.StatusOK] < 20 {
		t.Errorf("%d lost, statuses %v", lost, statuses)
	}
}

// TestBusyAddress verifies that an entry VM whose address is in use returns an error instead
// of running on without serving anybody.
func TestBusyAddress(t *testing.T) {
	for name, busy := range map[string]func(*cwgateway.Options) carobward.Address{
		"callers": func(o *cwgateway.Options) carobward.Address { return o.Self.Callers },
		"lookup":  func(o *cwgateway.Options) carobward.Address { return o.Lookup },
		"peers":   func(o *cwgateway.Options) carobward.Address { return o.Self.Peers },
	} {
		t.Run(name, func(t *testing.T) {
			o := newFleet(t).options(t, "vm-1")

			ln, err := net.Listen("tcp", string(busy(&o)))
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = ln.Close() }()

			g, err := cwgateway.New(o)
			if err != nil {
				t.Fatal(err)
			}

			ended := make(chan error, 1)

			go func() { ended <- g.Run(nil) }()

			select {
			case err := <-ended:
				if err == nil || !strings.Contains(err.Error(), name) {
					t.Errorf("got the error %v, want one that names the listener", err)
				}
			case <-time.After(cwtest.MaxWait):
				t.Error("Run does not return")
			}
		})
	}
}
