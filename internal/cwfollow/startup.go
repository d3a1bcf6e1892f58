package cwfollow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// Parameters of a start without a replica of the store.
const (
	// firstStartWait is how long, at the first start of the whole fleet, entry VMs that are no
	// seeds wait for a seed to list all keys. Callers come seconds later.
	firstStartWait = 1200 * time.Millisecond
	// smallFleet is the number of entry VMs up to which each one lists all keys itself after a
	// restart. That is the quickest way, and together they read less than a megabyte. A larger
	// fleet would fill the store's link for a second; there a few entry VMs list, and the others
	// fetch the replica from them in the same time.
	smallFleet = 64
	// restartWait is the least time that the other entry VMs of a large fleet wait before they
	// query the store themselves. The first ones take 0.3 s to list 800 servers over 20 Mbit/s, and
	// all have the replica after three or four rounds, in each of which an entry VM passes it to
	// three or four peers. They wait up to twice as long, so that they don't all query at once if
	// none of the first ones is left.
	restartWait = time.Second
)

// start reads from the store, in one short call, how large the fleet is and some of its entry VMs,
// and decides how long to wait for the replica of a peer.
func (f *Follower) start(ctx context.Context) {
	if f.First {
		if !f.Seed {
			f.peerWait = firstStartWait
		}

		return
	}

	it, err := f.Feed.Read(ctx, carobward.KeyFleet)
	if err != nil {
		f.Log.Info("The list of entry VMs could not be read from the store.", "cause", err.Error())

		return
	}

	list, err := cwmesh.DecodeFleet(it.Value)
	if err != nil {
		f.Log.Error(err, "The list of entry VMs could not be decoded.")

		return
	}

	f.Table.AddListed(list, f.Clock.Now())
	f.Mesh.HeartbeatDomain()
	f.peerWait = peerWait(f.Table.Self(), f.Seed, list, rand.Float64())
	f.Log.Info("Read the list of entry VMs from the store.", "domains", len(list), "wait", f.peerWait.String())
}

// peerWait returns how long an entry VM that restarts waits for the replica of a peer. The argument
// draw is a random number from 0 to 1. Seeds and entry VMs that the list names don't wait: the
// others fetch the replica from one of them.
func peerWait(self cwmesh.Node, seed bool, list []cwmesh.Summary, draw float64) time.Duration {
	size, named := 0, seed

	for i := range list {
		size += list[i].Size
		named = named || slices.ContainsFunc(list[i].Nodes, func(n cwmesh.Node) bool { return n.ID == self.ID })
	}

	if named || size <= smallFleet {
		return 0
	}

	return restartWait + time.Duration(draw*float64(restartWait))
}
