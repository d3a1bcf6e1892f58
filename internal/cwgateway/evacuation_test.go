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
	sent      int
}

const evacuationKey = "op/evacuate/a"

func newEvacuation(t *testing.T) *evacuation {
	t.Helper()

	e := &evacuation{fleet: newFleet(t)}
	e.near, e.far = e.upstream(t, "fees", "i-1"), e.upstream(t, "fees", "i-2")
	e.store.Put("servers/i-2", cwstand.ServerEntry("fees", e.far.Address(), "b", "ready"))
	e.configure(safeRoute("fees"), unsafeRoute())

	for i := range 2 {
		e.vms = append(e.vms, e.start(t, fmt.Sprint("vm-", i)))
		e.vms[i].waitReady(t)
	}

	return e
}

// sendEachKind sends some requests of each kind to an entry VM. It returns how many the near
// server got, and how many were answered by either.
func (e *evacuation) sendEachKind(v *vm) (int, int) {
	const requests = 6

	before, answered := len(e.near.Runs()), 0

	for range requests {
		for method, path := range map[string]string{http.MethodGet: readPath, http.MethodPost: chargePath} {
			e.sent++

			if v.send(method, path, fmt.Sprint("id-", e.sent), "").status == http.StatusOK {
				answered++
			}
		}
	}

	return len(e.near.Runs()) - before, answered
}

// waitEvacuated waits until an entry VM sends no requests to the near server.
func (e *evacuation) waitEvacuated(t *testing.T, v *vm) {
	t.Helper()

	cwtest.Wait(t, "the evacuation", func() bool {
		near, answered := e.sendEachKind(v)

		return near == 0 && answered > 0
	})
}

// waitNearUsed waits until an entry VM sends requests to the near server.
func (e *evacuation) waitNearUsed(t *testing.T, v *vm) {
	t.Helper()

	cwtest.Wait(t, "use of the near server", func() bool {
		near, _ := e.sendEachKind(v)

		return near > 0
	})
}

// TestEvacuate verifies that an evacuated failure domain gets neither requests nor health
// checks until operators end the evacuation, whatever the value of the key.
func TestEvacuate(t *testing.T) {
	e := newEvacuation(t)

	for name, value := range map[string]string{"an object": "{}", "invalid JSON": "\x00{"} {
		t.Run(name, func(t *testing.T) {
			for _, v := range e.vms {
				e.waitNearUsed(t, v)
			}

			e.store.Put(evacuationKey, []byte(value))

			for _, v := range e.vms {
				e.waitEvacuated(t, v)
			}

			checks := e.near.HealthChecks()

			for _, v := range e.vms {
				if near, answered := e.sendEachKind(v); near > 0 || answered < 12 {
					t.Errorf("%d requests at the evacuated server, %d answered", near, answered)
				}

				if got := get(v.options.Metrics, "/status"); !strings.Contains(got.body, `"domain":"a"`) {
					t.Errorf("operators see %s", got.body)
				}
			}

			if e.near.HealthChecks() > checks {
				t.Errorf("%d health checks of the evacuated server", e.near.HealthChecks()-checks)
			}

			e.store.Delete(evacuationKey)

			for _, v := range e.vms {
				e.waitNearUsed(t, v)
			}
		})
	}
}

// TestEvacuateKept verifies that an evacuation holds while the store is unreachable, after its
// history was dropped, and on an entry VM that joins meanwhile.
func TestEvacuateKept(t *testing.T) {
	e := newEvacuation(t)
	e.store.Put(evacuationKey, []byte("{}"))
	e.waitEvacuated(t, e.vms[0])
	e.waitEvacuated(t, e.vms[1])

	e.store.SetFaults(cwstand.MetadataFaults{Reset: true})
	e.store.Compact()

	joined := e.start(t, "vm-2")
	joined.waitReady(t)

	for _, v := range append(e.vms, joined) {
		if near, answered := e.sendEachKind(v); near > 0 || answered == 0 {
			t.Errorf("%s: %d requests at the evacuated server, %d answered", v.options.Self.ID, near, answered)
		}
	}

	e.store.Delete(evacuationKey)
	e.store.SetFaults(cwstand.MetadataFaults{})

	for _, v := range append(e.vms, joined) {
		e.waitNearUsed(t, v)
	}
}

// TestEvacuateAll verifies that requests are refused at once, with a Retry-After and without
// having run, if all servers are in evacuated failure domains.
func TestEvacuateAll(t *testing.T) {
	e := newEvacuation(t)
	e.store.Put(evacuationKey, []byte("{}"))
	e.store.Put("op/evacuate/b", []byte("{}"))

	cwtest.Wait(t, "refusals", func() bool {
		e.sent++

		return e.vms[0].send(http.MethodPost, chargePath, fmt.Sprint("id-", e.sent), "").status == http.StatusServiceUnavailable
	})

	for _, path := range []string{readPath, chargePath} {
		got := e.vms[0].send(http.MethodPost, path, "refused"+path, "")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "evacuated") {
			t.Errorf("want a refusal because of the evacuation, got %+v", got)
		}

		if n := runs([]*cwstand.Upstream{e.near, e.far}, "refused"+path); n > 0 {
			t.Errorf("a refused request ran %d times", n)
		}
	}
}

// TestEvacuateRestart verifies that an entry VM that starts during an evacuation sends nothing
// to the evacuated failure domain from its first request on.
func TestEvacuateRestart(t *testing.T) {
	e := newEvacuation(t)
	e.store.Put(evacuationKey, []byte("{}"))
	e.waitEvacuated(t, e.vms[0])

	before := len(e.near.Runs())

	for i := range 3 {
		v := e.start(t, fmt.Sprint("new-", i), func(o *cwgateway.Options) { o.Self.Domain = carobward.Domain("ab"[i%2 : i%2+1]) })
		v.waitReady(t)
		e.sendEachKind(v)
		v.end()
	}

	if n := len(e.near.Runs()); n > before {
		t.Errorf("%d requests at the evacuated server", n-before)
	}
}
