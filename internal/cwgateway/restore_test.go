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

// waitServedBy waits until a server answers the reads that an entry VM forwards.
func waitServedBy(t *testing.T, v *vm, u *cwstand.Upstream) {
	t.Helper()

	cwtest.Wait(t, "reads of "+string(v.options.Self.ID), func() bool {
		before := len(u.Runs())
		got := v.send(http.MethodGet, readPath, fmt.Sprint("id-", before), "")

		return got.status == http.StatusOK && len(u.Runs()) > before
	})
}

// TestIndexReused restores the store from a backup. A change whose index an earlier, lost
// change had must come into force.
func TestIndexReused(t *testing.T) {
	for name, c := range map[string]struct {
		// lost is how many changes the store loses, later how many it gets after the change that
		// must come into force and before it serves entry VMs again.
		lost, later int
	}{
		"below the replicas' index":  {5, 0},
		"at the replicas' index":     {1, 0},
		"beyond the replicas' index": {2, 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			records := f.upstream(t, "records", "i-1")
			fees := f.upstream(t, "fees", "i-2")
			f.configure(safeRoute("records"))

			var all []*vm
			for i := range 3 {
				all = append(all, f.start(t, fmt.Sprint("vm-", i)))
				all[i].waitReady(t)
			}

			f.store.Save()

			for range c.lost {
				f.configure(safeRoute("records"))
			}

			for _, v := range all {
				cwtest.Wait(t, "the last change before the restore", func() bool { return v.gauge(t, "version") == f.version })
				waitServedBy(t, v, records)
			}

			f.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})
			f.store.Restore()

			f.configure(safeRoute("fees"))

			for i := range c.later {
				f.store.Put(fmt.Sprint("other/", i), nil)
			}

			f.store.SetFaults(cwstand.MetadataFaults{})

			for _, v := range all {
				waitServedBy(t, v, fees)
			}
		})
	}
}

// restoredFleet is a fleet of two entry VMs, with a server in each of two failure domains, whose
// store was restored from a backup.
type restoredFleet struct {
	*evacuation

	writes uint64
}

// newRestoredFleet restores the store from a backup that has the changes of before and lacks
// those of lost. All of them were in force on all entry VMs. It waits until all entry VMs know
// of the restore.
func newRestoredFleet(t *testing.T, before, lost func(r *restoredFleet)) *restoredFleet {
	t.Helper()

	r := &restoredFleet{evacuation: newEvacuation(t)}
	before(r)

	for _, v := range r.vms {
		r.waitReplica(t, v)
	}

	r.store.Save()
	lost(r)

	for _, v := range r.vms {
		r.waitReplica(t, v)
	}

	r.store.Restore()

	for _, v := range r.vms {
		r.waitEra(t, v)
	}

	return r
}

// waitEra waits until an entry VM knows that the store was restored from a backup.
func (r *restoredFleet) waitEra(t *testing.T, v *vm) {
	t.Helper()
	cwtest.Wait(t, "the era", func() bool { return v.gauge(t, "era") == 2 })
}

// write writes the near server's entry with a state, and a higher count each time.
func (r *restoredFleet) write(state string) {
	r.writes++
	r.store.Put("servers/i-1", cwstand.ServerEntryWithSeq(cwstand.ServerEntry("fees", r.near.Address(), "a", state), r.writes))
}

// TestLostItemsKept restores a store that has lost what keeps requests from a server. All entry
// VMs must keep it in force for longer than servers take to write their entries again, and must
// follow what is acknowledged after that.
func TestLostItemsKept(t *testing.T) {
	nothing := func(*restoredFleet) {}

	for name, c := range map[string]struct {
		before, lost, after func(r *restoredFleet)
	}{
		"a leaving server": {
			func(r *restoredFleet) { r.write("ready") }, func(r *restoredFleet) { r.write("draining") }, func(r *restoredFleet) { r.write("ready") },
		},
		"a removed server": {
			func(r *restoredFleet) { r.write("ready") }, func(r *restoredFleet) { r.store.Delete("servers/i-1") }, func(r *restoredFleet) { r.write("ready") },
		},
		"an evacuation that ends": {
			nothing, func(r *restoredFleet) { r.store.Put(evacuationKey, nil) }, func(r *restoredFleet) { r.store.Delete(evacuationKey) },
		},
		"an evacuation, written again": {
			nothing, func(r *restoredFleet) { r.store.Put(evacuationKey, nil) },
			func(r *restoredFleet) { r.store.Put(evacuationKey, nil); r.store.Delete(evacuationKey) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestoredFleet(t, c.before, c.lost)

			next := r.start(t, "vm-9")
			next.waitReady(t)
			r.waitEra(t, next)
			cwtest.Wait(t, "the items that the store lost", func() bool { return next.gauge(t, "kept") == r.vms[0].gauge(t, "kept") })

			all := slices.Concat(r.vms, []*vm{next})

			for end := time.Now().Add(2 * cwmirror.ReregisterTime); time.Now().Before(end); {
				for _, v := range all {
					if near, answered := r.sendEachKind(v); near > 0 || answered == 0 {
						t.Fatalf("%d requests at the server, %d answered", near, answered)
					}
				}
			}

			c.after(r)

			for _, v := range all {
				r.waitNearUsed(t, v)
			}
		})
	}
}

// TestEndedEvacuationKept restores a store with an evacuation that had ended. It must not come
// into force again until operators evacuate anew.
func TestEndedEvacuationKept(t *testing.T) {
	r := newRestoredFleet(t, func(r *restoredFleet) { r.store.Put(evacuationKey, nil) }, func(r *restoredFleet) { r.store.Delete(evacuationKey) })

	for _, v := range r.vms {
		r.waitNearUsed(t, v)
	}

	r.store.Put(evacuationKey, []byte("again"))

	for _, v := range r.vms {
		r.waitEvacuated(t, v)
	}
}

// TestOwnKeysRestored restores a store that lacks keys written by entry VMs and has keys that
// they had removed. They must write the former and remove the latter again.
func TestOwnKeysRestored(t *testing.T) {
	f := newFleet(t)
	servers := newCrashingServers(t, f, 8, isPoison)
	f.configure(unsafeRoute())
	f.store.Put("carobward/crash/spoiled", nil)

	all := startAll(t, f, "vm-", carobward.SystemClock{})
	cwtest.Wait(t, "the list of entry VMs", func() bool { return f.store.Has(string(carobward.KeyFleet)) })

	for _, v := range all {
		f.waitReplica(t, v)
	}

	f.store.Save()
	f.store.Delete("carobward/crash/spoiled")

	for i := range 3 {
		all[0].sendPoison(fmt.Sprint("id-", i))
	}

	waitQuarantined(t, all)
	cwtest.Wait(t, "records", func() bool { return len(f.store.Keys("carobward/crash/")) == 3 })

	for _, v := range all {
		f.waitReplica(t, v)
	}

	f.store.Restore()
	cwtest.Wait(t, "records again", func() bool {
		return len(f.store.Keys("carobward/crash/")) == 3 && !f.store.Has("carobward/crash/spoiled")
	})

	before := servers.count()

	for i, v := range append(all, f.start(t, "vm-9")) {
		v.waitReady(t)
		cwtest.Wait(t, "the quarantine", func() bool { return len(v.quarantined()) > 0 })

		if got := v.sendPoison(fmt.Sprint("known-", i)); !got.isQuarantined() {
			t.Errorf("want a refusal because of the quarantine, got %+v", got)
		}
	}

	if n := servers.count() - before; n > 0 {
		t.Errorf("%d more servers crashed", n)
	}
}

// TestLostConfigKept restores a store without a configuration that is in force. It must stay in
// force, also on an entry VM that starts later and asks the restored store.
func TestLostConfigKept(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	fees := f.upstream(t, "fees", "i-2")
	f.configure(safeRoute("records"))

	first := f.start(t, "vm-1")
	first.waitReady(t)
	f.store.Save()
	f.configure(safeRoute("fees"))
	waitServedBy(t, first, fees)
	f.store.Restore()

	next := f.start(t, "vm-2")
	next.waitReady(t)

	for _, v := range []*vm{first, next} {
		cwtest.Wait(t, "the change of "+string(v.options.Self.ID), func() bool { return v.gauge(t, "version") == f.version })
		waitServedBy(t, v, fees)
	}
}
