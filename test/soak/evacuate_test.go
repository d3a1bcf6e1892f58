package soak

import (
	"fmt"
	"net/http"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwtest"
)

// domain returns the failure domain of a server.
func domain(i int) carobward.Domain { return carobward.Domain(fmt.Sprintf("zone-%d", i%domains)) }

// evacuationKey returns the store key with which operators evacuate a failure domain.
func evacuationKey(d carobward.Domain) string { return "op/evacuate/" + string(d) }

// checkEvacuation evacuates one failure domain after the other and lifts the evacuation again. It
// checks that no entry VM sends requests to the servers of an evacuated domain.
func (w *world) checkEvacuation(t *testing.T) {
	t.Helper()

	const requests = 12

	for i := range domains {
		d := domain(i)
		w.Store.Put(evacuationKey(d), []byte("{}"))

		sendAndCount := func(v *cwsite.EntryVM) int {
			before := w.runsIn(d)
			for range requests {
				w.history.add(send(v, http.MethodPost, "/charge/a", newID()))
			}

			return w.runsIn(d) - before
		}

		for _, v := range w.VMs {
			cwtest.Wait(t, fmt.Sprintf("%s sends nothing to %s", v.ID, d), func() bool { return sendAndCount(v) == 0 })
		}

		for _, v := range w.VMs {
			if n := sendAndCount(v); n > 0 {
				t.Errorf("%s sent %d requests to the evacuated domain %s", v.ID, n, d)
			}
		}

		w.Store.Delete(evacuationKey(d))
	}
}

// runsIn returns how many requests the servers of a failure domain have run.
func (w *world) runsIn(d carobward.Domain) int {
	n := 0

	for _, s := range w.servers {
		if s.domain == d {
			n += len(s.Runs())
		}
	}

	return n
}
