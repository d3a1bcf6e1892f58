package cwgateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// runsAt wants an entry VM to have its lookups run by a server from now on.
func runsAt(t *testing.T, v *vm, u *cwstand.Upstream) {
	t.Helper()

	cwtest.Wait(t, "lookups of "+string(v.options.Self.ID), func() bool {
		before := len(u.Runs())
		got := v.ask(http.MethodGet, reading, fmt.Sprint("id-", before), "")

		return got.status == http.StatusOK && len(u.Runs()) > before
	})
}

// TestIndexGivenOutTwice brings the store back from a copy and wants a change to be in
// force that gets an index which another change had before.
func TestIndexGivenOutTwice(t *testing.T) {
	for name, c := range map[string]struct {
		// lost is how many changes the store loses, since how many it takes after the one
		// that counts and before it serves entry VMs again.
		lost, since int
	}{
		"below the copies":  {5, 0},
		"at the copies":     {1, 0},
		"beyond the copies": {2, 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			records := f.upstream(t, "records", "i-1")
			fees := f.upstream(t, "fees", "i-2")
			f.configure(safe("records"))

			var all []*vm
			for i := range 3 {
				all = append(all, f.start(t, fmt.Sprint("vm-", i)))
				all[i].waitReady(t)
			}

			f.store.Save()

			for range c.lost {
				f.configure(safe("records"))
			}

			for _, v := range all {
				cwtest.Wait(t, "the last change before", func() bool { return v.gauge(t, "version") == f.version })
				runsAt(t, v, records)
			}

			f.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})
			f.store.Restore()

			f.configure(safe("fees"))

			for i := range c.since {
				f.store.Put(fmt.Sprint("other/", i), nil)
			}

			f.store.SetFaults(cwstand.MetadataFaults{})

			for _, v := range all {
				runsAt(t, v, fees)
			}
		})
	}
}

// TestLostChangeStays brings the store back without a change that is in force, and wants
// it to stay in force, on an entry VM that starts later and asks such a store, too.
func TestLostChangeStays(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	fees := f.upstream(t, "fees", "i-2")
	f.configure(safe("records"))

	first := f.start(t, "vm-1")
	first.waitReady(t)
	f.store.Save()
	f.configure(safe("fees"))
	runsAt(t, first, fees)
	f.store.Restore()

	next := f.start(t, "vm-2")
	next.waitReady(t)

	for _, v := range []*vm{first, next} {
		cwtest.Wait(t, "the change of "+string(v.options.Self.ID), func() bool { return v.gauge(t, "version") == f.version })
		runsAt(t, v, fees)
	}
}
