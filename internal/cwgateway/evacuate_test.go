package cwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// evacuation is a fleet of two entry VMs and a server in each of two failure domains.
type evacuation struct {
	*fleet

	near, far *cwstand.Upstream
	vms       []*vm
	asked     int
}

const domainKey = "op/evacuate/a"

func newEvacuation(t *testing.T) *evacuation {
	t.Helper()

	e := &evacuation{fleet: newFleet(t)}
	e.near, e.far = e.upstream(t, "fees", "i-1"), e.upstream(t, "fees", "i-2")
	e.store.Put("servers/i-2", cwstand.ServerEntry("fees", e.far.Address(), "b", "ready"))
	e.configure(safe("fees"), unsafe())

	for i := range 2 {
		e.vms = append(e.vms, e.start(t, fmt.Sprint("vm-", i)))
		e.vms[i].waitReady(t)
	}

	return e
}

// shares asks an entry VM for some requests of each kind, and returns how many of
// them the near server got, and how many were answered at all.
func (e *evacuation) shares(v *vm) (int, int) {
	const requests = 6

	before, answered := len(e.near.Runs()), 0

	for range requests {
		for method, path := range map[string]string{http.MethodGet: reading, http.MethodPost: charging} {
			e.asked++

			if v.ask(method, path, fmt.Sprint("id-", e.asked), "").status == http.StatusOK {
				answered++
			}
		}
	}

	return len(e.near.Runs()) - before, answered
}

// emptied waits until an entry VM sends all requests elsewhere.
func (e *evacuation) emptied(t *testing.T, v *vm) {
	t.Helper()

	cwtest.Wait(t, "the evacuation", func() bool {
		near, answered := e.shares(v)

		return near == 0 && answered > 0
	})
}

// used waits until an entry VM uses the near server.
func (e *evacuation) used(t *testing.T, v *vm) {
	t.Helper()

	cwtest.Wait(t, "use of the near server", func() bool {
		near, _ := e.shares(v)

		return near > 0
	})
}

// TestEvacuate wants no request, and no look, to go to a failure domain from when
// operators evacuate it until they take it back, whatever the value of the key says.
func TestEvacuate(t *testing.T) {
	e := newEvacuation(t)

	for name, value := range map[string]string{"an object": "{}", "no object": "\x00{"} {
		t.Run(name, func(t *testing.T) {
			for _, v := range e.vms {
				e.used(t, v)
			}

			e.store.Put(domainKey, []byte(value))

			for _, v := range e.vms {
				e.emptied(t, v)
			}

			looks := e.near.HealthChecks()

			for _, v := range e.vms {
				if near, answered := e.shares(v); near > 0 || answered < 12 {
					t.Errorf("%d requests at the evacuated server, %d answered", near, answered)
				}

				if got := get(v.options.Metrics, "/status"); !strings.Contains(got.body, `"domain":"a"`) {
					t.Errorf("operators see %s", got.body)
				}
			}

			if e.near.HealthChecks() > looks {
				t.Errorf("%d looks at the evacuated server", e.near.HealthChecks()-looks)
			}

			e.store.Delete(domainKey)

			for _, v := range e.vms {
				e.used(t, v)
			}
		})
	}
}

// TestEvacuateKept wants an evacuation to hold while the store is away, on an entry VM
// that joins then, too, and after the history was dropped.
func TestEvacuateKept(t *testing.T) {
	e := newEvacuation(t)
	e.store.Put(domainKey, []byte("{}"))
	e.emptied(t, e.vms[0])
	e.emptied(t, e.vms[1])

	e.store.SetFaults(cwstand.MetadataFaults{Reset: true})
	e.store.Compact()

	joined := e.start(t, "vm-2")
	joined.waitReady(t)

	for _, v := range append(e.vms, joined) {
		if near, answered := e.shares(v); near > 0 || answered == 0 {
			t.Errorf("%s: %d requests at the evacuated server, %d answered", v.options.Self.ID, near, answered)
		}
	}

	e.store.Delete(domainKey)
	e.store.SetFaults(cwstand.MetadataFaults{})

	for _, v := range append(e.vms, joined) {
		e.used(t, v)
	}
}

// TestEvacuateAll wants a request to be refused at once, with a time to come back, and
// truly not run, where all servers are in evacuated failure domains.
func TestEvacuateAll(t *testing.T) {
	e := newEvacuation(t)
	e.store.Put(domainKey, []byte("{}"))
	e.store.Put("op/evacuate/b", []byte("{}"))

	cwtest.Wait(t, "refusals", func() bool {
		e.asked++

		return e.vms[0].ask(http.MethodPost, charging, fmt.Sprint("id-", e.asked), "").status == http.StatusServiceUnavailable
	})

	for _, path := range []string{reading, charging} {
		got := e.vms[0].ask(http.MethodPost, path, "refused"+path, "")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "evacuated") {
			t.Errorf("%+v", got)
		}

		if n := runs([]*cwstand.Upstream{e.near, e.far}, "refused"+path); n > 0 {
			t.Errorf("it ran %d times", n)
		}
	}
}

// TestEvacuateRestart wants an entry VM that starts during an evacuation to send
// nothing there, from its first request on.
func TestEvacuateRestart(t *testing.T) {
	e := newEvacuation(t)
	e.store.Put(domainKey, []byte("{}"))
	e.emptied(t, e.vms[0])

	before := len(e.near.Runs())

	for i := range 3 {
		v := e.start(t, fmt.Sprint("new-", i), func(o *cwgateway.Options) { o.Self.Domain = carobward.Domain("ab"[i%2 : i%2+1]) })
		v.waitReady(t)
		e.shares(v)
		v.end()
	}

	if n := len(e.near.Runs()); n > before {
		t.Errorf("%d requests at the evacuated server", n-before)
	}
}
