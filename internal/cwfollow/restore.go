package cwfollow

import (
	"context"
	"strings"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// Parameters of rewriting keys that the store lost.
const (
	// restoreInterval is the minimum time between such writes. The changes of the last one arrive
	// in the replica meanwhile.
	restoreInterval = time.Second
	// maxRestoreBatch is how many keys one call of the store changes.
	maxRestoreBatch = 32
)

// restoreLost sets the keys that entry VMs own back to their values from before the store was
// restored from a backup. The first entry VM in the order does so for all.
func (f *Follower) restoreLost(ctx context.Context, now time.Time) {
	b := lostBatch(f.Mirror.Kept(now))
	keys := len(b.Writes) + len(b.Deletes)

	if keys == 0 || now.Sub(f.lastRestore) < restoreInterval || f.fleet(now).place() != 0 {
		return
	}

	f.lastRestore = now

	if err := f.Feed.Write(ctx, b); err != nil {
		f.Log.Info("The entry VMs' keys that the store lost could not be restored.", "keys", keys, "cause", err.Error())

		return
	}

	f.Log.Info("Restored the entry VMs' keys that the store lost.", "writes", len(b.Writes), "deletes", len(b.Deletes))
}

// lostBatch returns the writes and deletes that restore kept items of entry VMs in the store.
func lostBatch(list []carobward.RetainedItem) carobward.Batch {
	var b carobward.Batch

	for i := range list {
		it := list[i].Item

		switch {
		case !strings.HasPrefix(string(it.Key), carobward.PrefixOwn) || len(b.Writes)+len(b.Deletes) == maxRestoreBatch:
		case it.Deleted:
			b.Deletes = append(b.Deletes, it.Key)
		default:
			b.Writes = append(b.Writes, it)
		}
	}

	return b
}

// writeFleet writes the list of entry VMs to the store if the stored list lacks a live one. A new
// entry VM finds the others by this list if none of its seeds is left.
func (f *Follower) writeFleet(ctx context.Context, now time.Time) {
	if f.fleet(now).place() != 0 || now.Sub(f.fleetWritten) < fleetWriteInterval || now.Sub(f.started) < fleetWriteInterval {
		return
	}

	known, err := cwmesh.DecodeFleet(f.Mirror.Get(carobward.KeyFleet))
	if err != nil {
		f.Log.Error(err, "The list of entry VMs could not be decoded, writing a new one.")
	}

	list := f.Table.Fleet(now, f.Mesh.State())
	if !cwmesh.IsOutdated(known, list) {
		return
	}

	f.fleetWritten = now
	raw, err := cwmesh.EncodeFleet(list)

	if err == nil {
		err = f.Feed.Write(ctx, carobward.Batch{Writes: []carobward.Item{{Key: carobward.KeyFleet, Value: raw}}})
	}

	if err != nil {
		f.Log.Info("The list of entry VMs could not be written.", "cause", err.Error())

		return
	}

	f.Log.Info("Wrote the list of entry VMs.", "domains", len(list), "bytes", len(raw))
}
