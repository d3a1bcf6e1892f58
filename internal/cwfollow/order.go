package cwfollow

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwrank"
)

// Parameters of the order in which entry VMs query the store.
const (
	// watchers is the number of entry VMs that watch the store. If a watcher is lost, the others
	// notice it after staleAge, which is soon enough. A second one would double the calls and the
	// heartbeats, which are billed.
	watchers = 1
	// staleAge is the age of the store's newest answer to any entry VM at which the others start to
	// query the store. Watchers get an answer every watchTimeout, and a change has to take effect
	// within two seconds.
	staleAge = 950 * time.Millisecond
	// turnDelay is how much longer each further entry VM in the order waits than the one before, up
	// to maxTurns turns, so that one queries the store and the others receive the answer from it.
	turnDelay = 80 * time.Millisecond
	maxTurns  = 8
	// lateTurnDelay is the same delay for the entry VMs after these, up to maxLateDelay in all. The
	// store's first answer reaches all entry VMs within some 100 ms; until then some twenty of them
	// query the store. Without the delay all entry VMs of a large fleet would. With maxLateDelay the
	// last one queries after 2.2 s, and a change has to take effect there within three seconds.
	lateTurnDelay = 5 * time.Millisecond
	maxLateDelay  = 600 * time.Millisecond
	// outageThreshold is the number of entry VMs not served by the store from which on it probably
	// serves nobody, so that queries by the rest of the fleet would fail, too. The rest waits until
	// the newest answer is stale and then queries outageTurnDelay apart on average. Otherwise, in a
	// fleet of 472, all would query at once. In a small fleet this delay is negligible.
	outageThreshold = 5
	outageTurnDelay = 30 * time.Millisecond
	// servedPeriod is how long after its last answer from the store an entry VM continues to query
	// the store although others get no answer.
	servedPeriod = 3 * time.Second
	// outageCallInterval is the average time between the calls of all entry VMs together while the
	// store serves none of them. Calls to an unavailable store are billed, and the first entry VM
	// that gets an answer tells the others.
	outageCallInterval = 100 * time.Millisecond
)

// backoffPause returns the pause after a failed call of an entry VM that the store doesn't serve.
// The argument back is the entry VM's own pause, unserved the number of other live entry VMs that the
// store doesn't serve, and draw a random number from 0 to 1. All entry VMs lose the store at the
// same moment: with equal pauses, all would call again at the same time, and none would notice
// earlier that the store is back.
func backoffPause(back time.Duration, unserved int, draw float64) time.Duration {
	return max(back, randomPause(outageCallInterval, unserved+1, draw))
}

// randomPause returns a pause such that the calls of count entry VMs are apart by the given time on
// average.
func randomPause(apart time.Duration, count int, draw float64) time.Duration {
	const mean = 0.5

	return time.Duration(draw / mean * float64(count) * float64(apart))
}

// fleet is the state of the fleet that determines the query order.
type fleet struct {
	self cwmesh.Node
	// storeDown reports whether the store doesn't serve this entry VM.
	storeDown bool
	// peers are the other entry VMs of its failure domain, domains the other failure domains.
	peers   []cwmesh.Peer
	domains []cwmesh.Summary
}

// countUnserved returns the number of other entry VMs that the store doesn't serve.
func (f *fleet) countUnserved() int {
	unserved := 0

	for i := range f.peers {
		if f.peers[i].StoreDown && f.peers[i].State != cwmesh.Leaving {
			unserved++
		}
	}

	for i := range f.domains {
		unserved += f.domains[i].StoreDown
	}

	return unserved
}

// noPlace stands for an entry VM that the store doesn't serve. It is not in the query order and
// queries only after others had their turn.
const noPlace = -1

// place returns the place of this entry VM in the query order, in which the first entry VM of each
// failure domain comes before the second of any. It returns noPlace if the store doesn't serve this
// entry VM.
func (f *fleet) place() int {
	if f.storeDown {
		return noPlace
	}

	own := cwmesh.Peer{Node: f.self}
	turn := 0

	for i := range f.peers {
		p := &f.peers[i]
		if p.State != cwmesh.Leaving && !p.StoreDown && !p.LastSeen.IsZero() && p.Rank() < own.Rank() {
			turn++
		}
	}

	count, before := 1, 0

	for i := range f.domains {
		d := &f.domains[i]
		if d.Alive <= d.StoreDown {
			continue
		}

		count++

		if domainWeight(d.Domain) < domainWeight(f.self.Domain) {
			before++
		}
	}

	return turn*count + before
}

// domainWeight returns the rendezvous weight of a failure domain.
func domainWeight(d carobward.Domain) uint64 { return cwrank.Weight(string(d), "") }

// countAlive returns the number of other entry VMs that are alive.
func (f *fleet) countAlive() int {
	n := len(f.peers)
	for i := range f.domains {
		n += f.domains[i].Alive
	}

	return n
}

// isOutage reports whether the store probably serves nobody.
func (f *fleet) isOutage() bool { return f.countUnserved() >= outageThreshold }

// shouldQuery reports whether the entry VM at a place in the order queries the store now, given the
// age of the store's newest answer.
func shouldQuery(place int, age time.Duration) bool {
	if place != noPlace && place < watchers {
		return true
	}

	if place == noPlace {
		place = maxTurns
	}

	turns := time.Duration(min(place, maxTurns)) * turnDelay
	next := min(maxLateDelay, time.Duration(max(0, place-maxTurns))*lateTurnDelay)

	return age > staleAge+turns+next
}
