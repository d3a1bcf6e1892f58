package cwfollow

import (
	"cmp"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwrank"
)

// The rule by which a few entry VMs ask the store for all.
const (
	// watchers is the number of entry VMs that watch the store. The others
	// notice the loss of one by staleTime, which leaves time enough; a second
	// one would double the calls and the heartbeats, which are paid for.
	watchers = 1
	// staleTime is the age of the newest word from the store, from whomever,
	// at which an entry VM asks by itself: watchers have one each watchTime,
	// and a change has to be in force within two seconds.
	staleTime = 950 * time.Millisecond
	// turnTime is the time by which each further entry VM in the order waits
	// longer than the one before, up to turnsMost turns, so that one asks and
	// the others hear of it.
	turnTime  = 80 * time.Millisecond
	turnsMost = 8
	// outagePace is the time between calls of all entry VMs together while the
	// store serves none of them. Calls to a store that is away are paid for,
	// and the first that is served tells the others.
	outagePace = 100 * time.Millisecond
)

// backOff returns the pause after a failed call of an entry VM that the store
// does not serve. Back is its own pause, away has the number of its live peers
// that the store does not serve either, draw is a random number from 0 to 1. All
// lose the store at the same moment, so that pauses of one length would leave
// nobody to notice its return until all of them are over.
func backOff(back time.Duration, away int, draw float64) time.Duration {
	const mean = 0.5

	return max(back, time.Duration(draw/mean*float64(away+1)*float64(outagePace)))
}

// countAway returns how many peers the store does not serve.
func countAway(peers []cwmesh.Peer) int {
	away := 0

	for i := range peers {
		if peers[i].Away && peers[i].State != cwmesh.Leaving {
			away++
		}
	}

	return away
}

// order returns the entry VMs that may watch, the first of each failure
// domain before the second of any.
func order(self cwmesh.Node, away bool, peers []cwmesh.Peer) []carobward.VMID {
	byDomain := map[carobward.Domain][]ranked{}

	if !away {
		own := cwmesh.Peer{Node: self}
		byDomain[self.Domain] = append(byDomain[self.Domain], ranked{self.ID, own.Rank()})
	}

	for i := range peers {
		p := &peers[i]
		if p.State != cwmesh.Leaving && !p.Away && !p.Heard.IsZero() {
			byDomain[p.Domain] = append(byDomain[p.Domain], ranked{p.ID, p.Rank()})
		}
	}

	domains := make([]carobward.Domain, 0, len(byDomain))

	for d, list := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	}

	slices.SortFunc(domains, func(a, b carobward.Domain) int {
		return cmp.Compare(cwrank.Weight(string(a), ""), cwrank.Weight(string(b), ""))
	})

	return interleave(domains, byDomain)
}

// ranked is an entry VM with its rank in the order.
type ranked struct {
	id   carobward.VMID
	rank uint64
}

func interleave(domains []carobward.Domain, byDomain map[carobward.Domain][]ranked) []carobward.VMID {
	var out []carobward.VMID

	for turn := 0; ; turn++ {
		before := len(out)

		for _, d := range domains {
			if turn < len(byDomain[d]) {
				out = append(out, byDomain[d][turn].id)
			}
		}

		if len(out) == before {
			return out
		}
	}
}

// mustAsk tells whether the entry VM at a place of the order asks the store
// now, by the age of the newest word from it. A place below zero is not in the
// order.
func mustAsk(place int, age time.Duration) bool {
	if place >= 0 && place < watchers {
		return true
	}

	if place < 0 {
		place = turnsMost
	}

	return age > staleTime+time.Duration(min(place, turnsMost))*turnTime
}
