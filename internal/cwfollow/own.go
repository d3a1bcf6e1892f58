package cwfollow

import (
	"context"
	"strings"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// The figures of writing again what the store lost.
const (
	// lostTime is the least time between such writes: their changes come back first.
	lostTime = time.Second
	// lostMost is how many keys one call of the store changes.
	lostMost = 32
)

// writeLost brings keys of entry VMs to what they were before the store came back from a
// copy: for all, by the one that comes first in the order.
func (f *Follower) writeLost(ctx context.Context, now time.Time) {
	b := lostOf(f.Mirror.Kept(now))
	keys := len(b.Writes) + len(b.Deletes)

	if keys == 0 || now.Sub(f.restored) < lostTime || f.fleet(now).place() != 0 {
		return
	}

	f.restored = now

	if err := f.Feed.Write(ctx, b); err != nil {
		f.Log.Info("What the store lost of ours could not be written.", "keys", keys, "cause", err.Error())

		return
	}

	f.Log.Info("Wrote what the store lost of ours.", "writes", len(b.Writes), "deletes", len(b.Deletes))
}

// lostOf returns the change of the store by which kept items of ours are in it again.
func lostOf(list []carobward.Kept) carobward.Batch {
	var b carobward.Batch

	for i := range list {
		it := list[i].Item

		switch {
		case !strings.HasPrefix(string(it.Key), carobward.PrefixOwn) || len(b.Writes)+len(b.Deletes) == lostMost:
		case it.Gone:
			b.Deletes = append(b.Deletes, it.Key)
		default:
			b.Writes = append(b.Writes, it)
		}
	}

	return b
}

// writeFleet writes the list of entry VMs to the store if it lacks one that
// lives. A newcomer whose seeds are all gone finds the others by it.
func (f *Follower) writeFleet(ctx context.Context, now time.Time) {
	if f.fleet(now).place() != 0 || now.Sub(f.wrote) < writeTime || now.Sub(f.began) < writeTime {
		return
	}

	known, err := cwmesh.DecodeFleet(f.Mirror.Get(carobward.KeyFleet))
	if err != nil {
		f.Log.Error(err, "The list of entry VMs can't be read, it is written anew.")
	}

	list := f.Table.Fleet(now, f.Mesh.State())
	if !cwmesh.Lacks(known, list) {
		return
	}

	f.wrote = now
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
