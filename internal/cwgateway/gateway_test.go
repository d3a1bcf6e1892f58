package cwgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// TestServes sends one request of each kind and wants it to reach its server
// unchanged.
func TestServes(t *testing.T) {
	f := newFleet(t)
	records, fees := f.upstream(t, "records", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(safe("records"), unsafe())

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
			got := v.ask(c.method, c.path, "id-"+c.method, c.body)
			if got.err != nil || got.status != http.StatusOK || got.body != "done" {
				t.Fatalf("%+v", got)
			}

			if got.header.Get("Response-Seal") != "s.id-"+c.method || got.header.Get("Request-Id") != "id-"+c.method {
				t.Errorf("header %v", got.header)
			}

			runs := c.server.Runs()
			runs[0].Left = ""

			want := []cwstand.Run{{ID: "id-" + c.method, Method: c.method, URI: c.path, Body: c.body}}
			if diff := cmp.Diff(want, runs); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestChunked sends a body in chunks.
func TestChunked(t *testing.T) {
	f := newFleet(t)
	fees := f.upstream(t, "fees", "i-1")
	f.configure(unsafe())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	body := strings.Repeat("launch ", 10_000)

	req, err := http.NewRequest(http.MethodPut, "http://"+string(v.options.Self.Callers)+charging, struct{ *strings.Reader }{strings.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}

	req.Host, req.ContentLength = host, -1
	req.Header.Set("Request-Id", "one")

	if got := do(req); got.status != http.StatusOK || fees.Runs()[0].Body != body {
		t.Errorf("%+v, %d bytes", got, len(fees.Runs()[0].Body))
	}
}

// TestEnds has a way in which servers treat all requests against what the
// caller of each kind gets, and how often its request ran.
func TestEnds(t *testing.T) {
	const two = 2

	for name, c := range map[string]struct {
		way          cwstand.UpstreamWay
		read, charge int
		// readRuns and chargeRuns are how often the request ran at most.
		readRuns, chargeRuns int
	}{
		"serves":                {cwstand.UpstreamServes, 200, 200, 1, 1},
		"sheds":                 {cwstand.UpstreamSheds, 503, 503, 0, 0},
		"resets":                {cwstand.UpstreamResets, 502, 502, two, 1},
		"is silent":             {cwstand.UpstreamSilent, 504, 504, two, 1},
		"fails":                 {cwstand.UpstreamFails, 500, 500, two, 1},
		"refuses, having run":   {cwstand.UpstreamRefuses, 502, 502, two, 1},
		"cuts its answer":       {cwstand.UpstreamCuts, 502, 502, two, 1},
		"does not sign":         {cwstand.UpstreamUnsigned, 502, 502, two, 1},
		"answers twice":         {cwstand.UpstreamRepeats, 200, 200, 1, 1},
		"ends by its connexion": {cwstand.UpstreamUnframed, 200, 200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			servers := []*cwstand.Upstream{f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2"), f.upstream(t, "fees", "i-3")}
			f.configure(safe("fees"), unsafe())

			for _, s := range servers {
				s.Set(c.way, 0)
			}

			v := f.start(t, "vm-1")
			v.waitReady(t)

			for i := range 3 {
				read, charge := fmt.Sprintf("read-%d", i), fmt.Sprintf("charge-%d", i)
				a, b := v.askWithin(http.MethodGet, reading, read, "", 400), v.askWithin(http.MethodPost, charging, charge, "", 400)

				if diff := cmp.Diff([]int{c.read, c.charge}, []int{a.status, b.status}); diff != "" {
					t.Errorf("%s %v %v", diff, a.err, b.err)
				}

				if n := runs(servers, read); n > c.readRuns {
					t.Errorf("the read ran %d times", n)
				}

				if n := runs(servers, charge); n > c.chargeRuns {
					t.Errorf("the charge ran %d times", n)
				}

				if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
					t.Error("a refusal does not say when to come back")
				}

				if a.status != http.StatusOK && a.status != http.StatusInternalServerError && a.header.Get("Response-Seal") != "" {
					t.Error("a failure of ours has a server's signature")
				}
			}
		})
	}
}

// runs returns how often a request ran.
func runs(servers []*cwstand.Upstream, id string) int {
	n := 0

	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				n++
			}
		}
	}

	return n
}

// TestRetry wants a request that a server refused to go to another one, and an
// idempotent one also after a failure.
func TestRetry(t *testing.T) {
	for name, c := range map[string]struct {
		way          cwstand.UpstreamWay
		read, charge bool
	}{
		"sheds":  {cwstand.UpstreamSheds, true, true},
		"resets": {cwstand.UpstreamResets, true, false},
		"fails":  {cwstand.UpstreamFails, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			bad, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
			f.configure(safe("fees"), unsafe())
			bad.Set(c.way, 0)
			good.SetLoad("2,0,4,100") // So that the bad one is preferred.

			v := f.start(t, "vm-1")
			v.waitReady(t)

			a := v.ask(http.MethodGet, reading, "read", "")
			if a.status != http.StatusOK != !c.read {
				t.Errorf("read: %+v", a)
			}

			cwtest.Wait(t, "the end of the block", func() bool {
				n := len(bad.Runs())
				b := v.ask(http.MethodPost, charging, fmt.Sprint("charge-", time.Now()), "")

				return len(bad.Runs()) > n && b.status != http.StatusOK || c.charge && b.status == http.StatusOK
			})
		})
	}
}

// TestClosing wants a server that ends the connection of a health check to get
// the request over another one.
func TestClosing(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	u.SetClosing(true)
	f.configure(safe("fees"), unsafe())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i, path := range []string{reading, charging} {
		if got := v.ask(http.MethodPost, path, fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// TestNoRoute wants a newcomer without a configuration to refuse, and a
// request without a route to get 404.
func TestNoRoute(t *testing.T) {
	f := newFleet(t)
	v := f.start(t, "vm-1")

	var early answer

	cwtest.Wait(t, "an answer", func() bool {
		early = v.ask(http.MethodGet, reading, "one", "")

		return early.err == nil
	})

	if early.status != http.StatusServiceUnavailable || early.header.Get("Retry-After") == "" || v.isReady() {
		t.Errorf("without a configuration: %+v", early)
	}

	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))
	v.waitReady(t)

	if got := v.ask(http.MethodGet, "/elsewhere", "two", ""); got.status != http.StatusNotFound {
		t.Errorf("without a route: %+v", got)
	}
}

// TestTimeout wants a request to end by the route's timeout.
func TestTimeout(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	r := unsafe()
	r["timeout"] = "300ms"
	f.configure(r)
	u.Set(cwstand.UpstreamSilent, 0)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	began := time.Now()
	got := v.ask(http.MethodPost, charging, "one", "")

	if got.status != http.StatusGatewayTimeout || time.Since(began) < 300*time.Millisecond {
		t.Errorf("%+v after %s", got, time.Since(began))
	}

	if left := u.Runs()[0].Left; len(left) != 3 || left > "300" {
		t.Errorf("the server was given %s ms of 300", left)
	}
}

// TestCallerGone wants the server to learn that the caller of idempotent work
// has gone, and other work to go on.
func TestCallerGone(t *testing.T) {
	for name, broken := range map[string]int{reading: 1, charging: 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			u := f.upstream(t, "fees", "i-1")
			f.configure(safe("fees"), unsafe())
			u.Set(cwstand.UpstreamServes, time.Second)

			v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Grace = 3 * time.Second })
			v.waitReady(t)

			ctx, cancel := context.WithCancel(context.Background())

			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(v.options.Self.Callers)+name, nil)
			if err != nil {
				t.Fatal(err)
			}

			req.Host = host
			req.Header.Set("Request-Id", "one")

			left := make(chan answer)
			go func() { left <- do(req) }()

			cwtest.Wait(t, "the run", func() bool { return len(u.Runs()) == 1 })
			cancel()
			<-left
			v.end() // It waits for what is in flight.

			if got := u.Broken(); got != broken {
				t.Errorf("%d requests were broken off, want %d", got, broken)
			}
		})
	}
}

// TestChange wants a change to be in force on each entry VM, with few calls to
// the store, also when the history is dropped and watches hear nothing.
func TestChange(t *testing.T) {
	for name, fault := range map[string]func(*cwstand.Metadata){
		"calm":             func(*cwstand.Metadata) {},
		"history dropped":  (*cwstand.Metadata).Compact,
		"watches are deaf": func(m *cwstand.Metadata) { m.SetFaults(cwstand.MetadataFaults{Deaf: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.upstream(t, "records", "i-1")
			fees := f.upstream(t, "fees", "i-2")
			f.configure(safe("records"))

			var all []*vm
			for i := range 5 {
				all = append(all, f.start(t, fmt.Sprint("vm-", i)))
				all[0].waitReady(t)
			}

			for _, v := range all {
				v.waitReady(t)
			}

			fault(f.store)
			f.configure(safe("fees"))
			f.store.Compact()
			f.store.SetFaults(cwstand.MetadataFaults{})

			for i, v := range all {
				cwtest.Wait(t, "the change", func() bool {
					before := len(fees.Runs())
					got := v.ask(http.MethodGet, reading, fmt.Sprint("one-", i, before), "")

					return got.status == http.StatusOK && len(fees.Runs()) > before
				})
			}
		})
	}
}

// TestFewCalls wants most entry VMs to leave the store alone.
func TestFewCalls(t *testing.T) {
	const (
		vms = 8
		// enough is the number of calls in which each entry VM would ask several
		// times if each watched.
		enough = 3 * vms
		// watching is the number of entry VMs that watch, and one that takes
		// over where a heartbeat is late.
		watching = 3
	)

	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	var calls [vms]atomic.Int64

	var all []*vm

	for i := range vms {
		v := f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) {
			o.Adapter = platform.Adapter(f.address, func() { calls[i].Add(1) })
		})
		v.waitReady(t)
		all = append(all, v)
	}

	cwtest.Wait(t, "all know each other", func() bool {
		known := 0
		for _, v := range all {
			known += strings.Count(get(v.options.Lookup, platform.PathLookup+"?zone=a").body, "127.0.0.1")
		}

		return known == vms*vms
	})

	for i := range calls {
		calls[i].Store(0)
	}

	before := f.store.Calls()
	cwtest.Wait(t, "calls", func() bool { return f.store.Calls() >= before+enough })

	asking := 0

	for i := range calls {
		if calls[i].Load() > 0 {
			asking++
		}
	}

	if asking > watching {
		t.Errorf("%d of %d entry VMs asked the store", asking, vms)
	}
}

// TestStoreAway wants entry VMs to go on without the store, to take part of
// one that the store does not serve, and a newcomer to start from its peers.
func TestStoreAway(t *testing.T) {
	f := newFleet(t)
	records := f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	first := f.start(t, "vm-1")
	first.waitReady(t)
	f.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})

	next := f.start(t, "vm-2")
	next.waitReady(t)

	for i, v := range []*vm{first, next} {
		if got := v.ask(http.MethodGet, reading, fmt.Sprint("id-", i), ""); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}

	if len(records.Runs()) != 2 {
		t.Error("lost")
	}

	f.store.SetFaults(cwstand.MetadataFaults{})
	f.upstream(t, "fees", "i-2")
	f.configure(safe("fees"))

	for _, v := range []*vm{first, next} {
		cwtest.Wait(t, "the change after the outage", func() bool {
			before := len(records.Runs())
			got := v.ask(http.MethodGet, reading, "late", "")

			return got.status == http.StatusOK && len(records.Runs()) == before
		})
	}
}

// TestFirst wants the first start of a fleet to ask the store once, by its
// seed, and an entry VM that finds no seed to ask all the same.
func TestFirst(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	var asked atomic.Int64

	first := func(o *cwgateway.Options) {
		o.First = true
		o.Adapter = platform.Adapter(f.address, func() { asked.Add(1) })
	}

	seed := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.First, o.Seeds = true, []carobward.Address{o.Self.Peers}
	})
	next := f.start(t, "vm-2", first)

	seed.waitReady(t)
	next.waitReady(t)

	alone := f.start(t, "vm-3", first, func(o *cwgateway.Options) { o.Seeds = []carobward.Address{free(t)} })
	before := asked.Load()
	alone.waitReady(t)

	if asked.Load() == before {
		t.Error("an entry VM without a seed did not ask the store")
	}
}

// TestTurnedAway wants an entry VM that the store refuses to learn of a change
// from the others.
func TestTurnedAway(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	fees := f.upstream(t, "fees", "i-2")
	f.configure(safe("records"))

	other := cwstand.NewMetadata()
	other.SetFaults(cwstand.MetadataFaults{Status: http.StatusTooManyRequests})
	refused := cwtest.Serve(t, other.Serve, other.Stop)

	f.start(t, "vm-1").waitReady(t)

	v := f.start(t, "vm-2", func(o *cwgateway.Options) { o.Adapter = platform.Adapter(refused, func() {}) })
	v.waitReady(t)
	f.configure(safe("fees"))

	cwtest.Wait(t, "the change", func() bool {
		v.ask(http.MethodGet, reading, "one", "")

		return len(fees.Runs()) > 0
	})
}

// TestDrain wants a server that leaves to get no more work, whether it says so
// or its entry goes.
func TestDrain(t *testing.T) {
	for name, leave := range map[string]func(*fleet, carobward.Address){
		"it says so":     func(f *fleet, at carobward.Address) { f.register("records", "i-1", at, "draining") },
		"its entry goes": func(f *fleet, _ carobward.Address) { f.store.Delete("servers/i-1") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			leaving := f.upstream(t, "records", "i-1")
			f.configure(safe("records"))

			v := f.start(t, "vm-1")
			v.waitReady(t)
			v.ask(http.MethodGet, reading, "one", "")
			f.upstream(t, "records", "i-2")
			leave(f, leaving.Address())

			cwtest.Wait(t, "no more work", func() bool {
				before := len(leaving.Runs())
				for range 10 {
					v.ask(http.MethodGet, reading, "two", "")
				}

				return len(leaving.Runs()) == before
			})
		})
	}
}

// TestAddressReused wants a server at the address of another one to get none
// of that one's work.
func TestAddressReused(t *testing.T) {
	f := newFleet(t)
	other := f.upstream(t, "fees", "i-2")
	f.register("records", "i-1", other.Address(), "ready")
	f.configure(safe("records"))

	v := f.start(t, "vm-1")
	v.waitReady(t)

	if got := v.ask(http.MethodGet, reading, "one", ""); got.status != http.StatusServiceUnavailable || len(other.Runs()) != 0 {
		t.Errorf("%+v, %d runs", got, len(other.Runs()))
	}
}

// TestLookup wants the answer which addresses to use to have the entry VMs
// that take callers, near ones first, and a stopping one to be left out.
func TestLookup(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

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
	cwtest.Wait(t, "the end of an address", func() bool { return !has(all[2]) })

	if all[2].isReady() {
		t.Error("a stopping entry VM says that it is ready")
	}

	if got := get(all[0].options.Lookup, "/elsewhere"); got.status != http.StatusNotFound {
		t.Errorf("%+v", got)
	}
}

// TestStop stops an entry VM under load and wants no request to be lost: each
// gets its answer, or was never read.
func TestStop(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.configure(safe("records"))
	u.Set(cwstand.UpstreamServes, 20*time.Millisecond)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	var (
		group sync.WaitGroup
		mutex sync.Mutex
		ended = map[int]int{}
		lost  int
	)

	stop := make(chan struct{})

	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				got := v.ask(http.MethodGet, reading, fmt.Sprint("id-", i, "-", n), "")

				mutex.Lock()
				ended[got.status]++

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

	if lost > 0 || ended[http.StatusOK] < 20 {
		t.Errorf("%d lost, ends %v", lost, ended)
	}
}
