package cwgateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
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

// restored is a fleet of two entry VMs, with a server in each of two failure domains, whose
// store came back from a copy.
type restored struct {
	*evacuation

	writes uint64
}

// newRestored has changes acknowledged, waits until they are in force on all, loses them and
// waits until all know. Before is what the copy still has.
func newRestored(t *testing.T, before, lost func(r *restored)) *restored {
	t.Helper()

	r := &restored{evacuation: newEvacuation(t)}
	before(r)

	for _, v := range r.vms {
		r.waitCopy(t, v)
	}

	r.store.Save()
	lost(r)

	for _, v := range r.vms {
		r.waitCopy(t, v)
	}

	r.store.Restore()

	for _, v := range r.vms {
		r.waitEra(t, v)
	}

	return r
}

// waitEra waits until an entry VM knows that the store came back from a copy.
func (r *restored) waitEra(t *testing.T, v *vm) {
	t.Helper()
	cwtest.Wait(t, "the era", func() bool { return v.gauge(t, "era") == 2 })
}

// write registers the near server in a state, with a higher count each time.
func (r *restored) write(state string) {
	r.writes++
	r.store.Put("servers/i-1", cwstand.ServerEntryWithSeq(cwstand.ServerEntry("fees", r.near.Address(), "a", state), r.writes))
}

// TestStays brings the store back without what keeps requests from a server, and wants it
// to stay in force on all entry VMs beyond the time in which servers write their entries
// again, and what is acknowledged after that to be in force.
func TestStays(t *testing.T) {
	nothing := func(*restored) {}

	for name, c := range map[string]struct {
		before, lost, after func(r *restored)
	}{
		"a server that leaves": {
			func(r *restored) { r.write("ready") }, func(r *restored) { r.write("draining") }, func(r *restored) { r.write("ready") },
		},
		"a server that is gone": {
			func(r *restored) { r.write("ready") }, func(r *restored) { r.store.Delete("servers/i-1") }, func(r *restored) { r.write("ready") },
		},
		"an evacuation, taken back": {
			nothing, func(r *restored) { r.store.Put(domainKey, nil) }, func(r *restored) { r.store.Delete(domainKey) },
		},
		"an evacuation": {
			nothing, func(r *restored) { r.store.Put(domainKey, nil) },
			func(r *restored) { r.store.Put(domainKey, nil); r.store.Delete(domainKey) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestored(t, c.before, c.lost)

			next := r.start(t, "vm-9")
			next.waitReady(t)
			r.waitEra(t, next)
			cwtest.Wait(t, "what the store lost", func() bool { return next.gauge(t, "kept") == r.vms[0].gauge(t, "kept") })

			all := slices.Concat(r.vms, []*vm{next})

			for end := time.Now().Add(2 * cwmirror.ReregisterTime); time.Now().Before(end); {
				for _, v := range all {
					if near, answered := r.shares(v); near > 0 || answered == 0 {
						t.Fatalf("%d requests at the server, %d answered", near, answered)
					}
				}
			}

			c.after(r)

			for _, v := range all {
				r.used(t, v)
			}
		})
	}
}

// TestTakenBackStays brings the store back with an evacuation that was taken back, and wants
// it to stay so until operators evacuate anew.
func TestTakenBackStays(t *testing.T) {
	r := newRestored(t, func(r *restored) { r.store.Put(domainKey, nil) }, func(r *restored) { r.store.Delete(domainKey) })

	for _, v := range r.vms {
		r.used(t, v)
	}

	r.store.Put(domainKey, []byte("again"))

	for _, v := range r.vms {
		r.emptied(t, v)
	}
}

// TestOwnWrittenAgain brings the store back without what entry VMs wrote, and with what they
// removed, and wants both to be mended.
func TestOwnWrittenAgain(t *testing.T) {
	f := newFleet(t)
	servers := newCrashing(t, f, 8, isPoison)
	f.configure(unsafe())
	f.store.Put("carobward/crash/spoiled", nil)

	all := startAll(t, f, "vm-", carobward.SystemClock{})
	cwtest.Wait(t, "the list of entry VMs", func() bool { return f.store.Has(string(carobward.KeyFleet)) })

	for _, v := range all {
		f.waitCopy(t, v)
	}

	f.store.Save()
	f.store.Delete("carobward/crash/spoiled")

	for i := range 3 {
		all[0].charge(fmt.Sprint("id-", i))
	}

	waitQuarantined(t, all)
	cwtest.Wait(t, "records", func() bool { return len(f.store.Keys("carobward/crash/")) == 3 })

	for _, v := range all {
		f.waitCopy(t, v)
	}

	f.store.Restore()
	cwtest.Wait(t, "records again", func() bool {
		return len(f.store.Keys("carobward/crash/")) == 3 && !f.store.Has("carobward/crash/spoiled")
	})

	before := servers.count()

	for i, v := range append(all, f.start(t, "vm-9")) {
		v.waitReady(t)
		cwtest.Wait(t, "the quarantine", func() bool { return len(v.quarantined()) > 0 })

		if got := v.charge(fmt.Sprint("known-", i)); !got.isQuarantined() {
			t.Errorf("%+v", got)
		}
	}

	if n := servers.count() - before; n > 0 {
		t.Errorf("%d more servers ended", n)
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
