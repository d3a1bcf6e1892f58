package cwfollow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// The figures of beginning without a copy of the store.
const (
	// firstTime is how long the first start of the whole fleet leaves to one entry
	// VM to ask the store for all. Callers come seconds later.
	firstTime = 1200 * time.Millisecond
	// fleetSmall is the number of entry VMs up to which each one lists all keys by
	// itself when it starts again: that is the quickest way, and all of them read
	// less than a megabyte. More would fill the store's link for a second; then a
	// few list, and the others get the copy from them in the same time.
	fleetSmall = 64
	// againTime is how long the others wait at least before they ask by themselves.
	// The first ones take 0.3 s to list 800 servers over 20 Mbit/s, and all have it
	// after three or four steps of as many peers each. They wait up to twice as
	// long, so that not all ask at once where none of the first is left.
	againTime = time.Second
)

// begin learns from the store how large the fleet is and some entry VMs in it, by
// one short read, and decides how long to wait for the copy of a peer.
func (f *Follower) begin(ctx context.Context) {
	if f.First {
		if !f.Seed {
			f.patience = firstTime
		}

		return
	}

	it, err := f.Feed.Read(ctx, carobward.KeyFleet)
	if err != nil {
		f.Log.Info("The list of entry VMs can't be had.", "cause", err.Error())

		return
	}

	list, err := cwmesh.DecodeFleet(it.Value)
	if err != nil {
		f.Log.Error(err, "The list of entry VMs can't be read.")

		return
	}

	f.Table.Told(list, f.Clock.Now())
	f.Mesh.Tell()
	f.patience = patience(f.Table.Self(), f.Seed, list, rand.Float64())
	f.Log.Info("The fleet as the store has it.", "domains", len(list), "wait", f.patience.String())
}

// patience returns how long an entry VM that starts again waits for the copy of a
// peer. Draw is a random number from 0 to 1. Seeds and those that are named do not
// wait: the others find one of them that has it.
func patience(self cwmesh.Node, seed bool, list []cwmesh.Summary, draw float64) time.Duration {
	size, named := 0, seed

	for i := range list {
		size += list[i].Size
		named = named || slices.ContainsFunc(list[i].Nodes, func(n cwmesh.Node) bool { return n.ID == self.ID })
	}

	if named || size <= fleetSmall {
		return 0
	}

	return againTime + time.Duration(draw*float64(againTime))
}
