package cwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// TestChange wants a change to be in force on each entry VM, with few calls to
// the store, also when the history is dropped and watches hear nothing.
func TestChange(t *testing.T) {
	for name, fault := range map[string]func(*cwstand.MetadataStore){
		"calm":             func(*cwstand.MetadataStore) {},
		"history dropped":  (*cwstand.MetadataStore).Compact,
		"watches are deaf": func(m *cwstand.MetadataStore) { m.SetFaults(cwstand.MetadataFaults{NoEvents: true}) },
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

// TestFirstListOnce wants the first list of servers to be one line in the log, and
// each change after it one.
func TestFirstListOnce(t *testing.T) {
	const servers = 40

	f := newFleet(t)
	for i := range servers {
		f.register("records", fmt.Sprint("i-", i), "127.0.0.1:9", "ready")
	}

	f.configure(safe("records"))

	var lists, entries atomic.Int64

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Log = funcr.New(func(_, line string) {
			switch {
			case strings.Contains(line, `"msg"="The first list of servers." "servers"=40`):
				lists.Add(1)
			case strings.Contains(line, `"msg"="A server's entry."`):
				entries.Add(1)
			}
		}, funcr.Options{})
	})
	v.waitReady(t)

	if l, e := lists.Load(), entries.Load(); l != 1 || e != 0 {
		t.Errorf("%d lines for the list, %d for entries of it", l, e)
	}

	f.register("records", "i-new", "127.0.0.1:9", "ready")
	cwtest.Wait(t, "the new server's line", func() bool { return entries.Load() == 1 })
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
		watching = 2
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

// TestHoldCalls wants few calls while removals are held back after an outage: each
// one waits for changes. Without that an entry VM calls as fast as the store answers,
// hundreds of times in two seconds. A server that went in the outage goes in the end.
func TestHoldCalls(t *testing.T) {
	// enough is the number of calls in the time of holding back.
	const enough = 16

	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.upstream(t, "records", "i-2")
	f.configure(safe("records"))

	var held, gone atomic.Bool

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Log = funcr.New(func(_, line string) {
			switch {
			case strings.Contains(line, `"msg"="The store is back."`) && strings.Contains(line, `"hold"=true`):
				held.Store(true)
			case strings.Contains(line, `"msg"="A server is gone." "server"="i-2"`):
				gone.Store(true)

				if !held.Load() {
					t.Error("the removal was not held back")
				}
			}
		}, funcr.Options{})
	})
	v.waitReady(t)

	f.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})
	f.store.Delete("servers/i-2")

	before := f.store.Calls()
	cwtest.Wait(t, "calls that fail for longer than an outage", func() bool { return f.store.Calls() >= before+8 })
	f.store.SetFaults(cwstand.MetadataFaults{})
	cwtest.Wait(t, "the store is back", held.Load)

	before = f.store.Calls()
	cwtest.Wait(t, "the removal", gone.Load)

	if n := f.store.Calls() - before; n > enough {
		t.Errorf("%d calls while removals are held back", n)
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

// TestBulk lets many servers register while only one entry VM, over a slow link,
// is served by the store. All entry VMs must come to know all servers: by those
// that have them already, since the first can't send them to all.
func TestBulk(t *testing.T) {
	const (
		vms     = 8
		servers = 300
	)

	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	other := cwstand.NewMetadataStore()
	other.SetFaults(cwstand.MetadataFaults{Status: http.StatusTooManyRequests})
	refused := cwtest.Serve(t, other.Serve, other.Stop)

	var all []*vm

	for i := range vms {
		all = append(all, f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) {
			o.Link = 300_000

			if i > 0 {
				o.Adapter = platform.Adapter(refused, func() {})
			}
		}))
	}

	for _, v := range all {
		v.waitReady(t)
	}

	for i := range servers {
		f.register("records", fmt.Sprintf("i-more-%03d", i), "127.0.0.1:1", "ready")
	}

	for _, v := range all {
		cwtest.Wait(t, "all servers", func() bool {
			return strings.Contains(get(v.options.Metrics, "/metrics").body, fmt.Sprintf(`"servers": %d`, servers+1))
		})
	}
}

// TestSeedsGone wants a newcomer whose seeds are all gone to find the others by
// the store, and they it.
func TestSeedsGone(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	first := f.start(t, "vm-1")
	first.waitReady(t)
	f.start(t, "vm-2").waitReady(t)

	gone := func(o *cwgateway.Options) { o.Seeds = []carobward.Address{free(t)} }

	cwtest.Wait(t, "the list in the store", func() bool { return f.store.Has(string(carobward.KeyFleet)) })

	late := f.start(t, "vm-3", gone)
	late.waitReady(t)

	for _, v := range []*vm{first, late} {
		cwtest.Wait(t, "all three", func() bool {
			return strings.Count(get(v.options.Lookup, platform.PathLookup+"?zone=a").body, "127.0.0.1") == 3
		})
	}
}

// TestTurnedAway wants an entry VM that the store refuses to learn of a change
// from the others.
func TestTurnedAway(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	fees := f.upstream(t, "fees", "i-2")
	f.configure(safe("records"))

	other := cwstand.NewMetadataStore()
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

// TestSuspended lets an entry VM be suspended while the store tells it nothing, and wants
// its copy to count as older by that time, so that it asks as soon as it can.
func TestSuspended(t *testing.T) {
	const away = time.Hour

	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	var slept atomic.Int64

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Suspended = func() time.Duration { return time.Duration(slept.Swap(0)) }
	})
	v.waitReady(t)

	f.store.SetFaults(cwstand.MetadataFaults{Silent: true})
	slept.Store(int64(away))
	cwtest.Wait(t, "the age", func() bool { return v.gauge(t, "fresh") >= int(away.Milliseconds()) })

	f.store.SetFaults(cwstand.MetadataFaults{})
	cwtest.Wait(t, "a fresh copy", func() bool { return v.gauge(t, "fresh") < int(away.Milliseconds())/2 })
}
