package cwfollow

import (
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
	// nextTime is the same for those that come after these, up to nextMost in all.
	// The store's first answer reaches all within some 100 ms, so that some twenty
	// ask, where all of a large fleet did at once. With nextMost the last one asks
	// after 2.2 s, and a change has to be in force there within three.
	nextTime = 5 * time.Millisecond
	nextMost = 600 * time.Millisecond
	// triedMost is how many that the store does not serve make it likely that it
	// serves nobody. The rest of a large fleet would not be answered either; they
	// wait until the word is old and ask restTime apart then, in place of 472 at
	// once. In a small fleet that is no delay to speak of.
	triedMost = 5
	restTime  = 30 * time.Millisecond
	// servedTime is for how long an entry VM that the store answered goes on to
	// ask though others are refused.
	servedTime = 3 * time.Second
	// outagePace is the time between calls of all entry VMs together while the
	// store serves none of them. Calls to a store that is away are paid for,
	// and the first that is served tells the others.
	outagePace = 100 * time.Millisecond
)

// backOff returns the pause after a failed call of an entry VM that the store
// does not serve. Back is its own pause, away has the number of other live entry
// VMs that the store does not serve either, draw is a random number from 0 to 1.
// All lose the store at the same moment, so that pauses of one length would leave
// nobody to notice its return until all of them are over.
func backOff(back time.Duration, away int, draw float64) time.Duration {
	return max(back, spread(outagePace, away+1, draw))
}

// spread returns a pause by which so many are a time apart on average.
func spread(apart time.Duration, count int, draw float64) time.Duration {
	const mean = 0.5

	return time.Duration(draw / mean * float64(count) * float64(apart))
}

// fleet is what the order of who asks the store goes by.
type fleet struct {
	self cwmesh.Node
	// away tells that the store does not serve this entry VM.
	away bool
	// peers are those of its failure domain, domains the other failure domains.
	peers   []cwmesh.Peer
	domains []cwmesh.Summary
}

// countAway returns how many others the store does not serve.
func (f *fleet) countAway() int {
	away := 0

	for i := range f.peers {
		if f.peers[i].Away && f.peers[i].State != cwmesh.Leaving {
			away++
		}
	}

	for i := range f.domains {
		away += f.domains[i].Away
	}

	return away
}

// outside is the place of an entry VM that does not ask before others do.
const outside = -1

// place returns the place of this entry VM in the order of who asks the store: the
// first of each failure domain comes before the second of any. It is outside where
// the store does not serve it.
func (f *fleet) place() int {
	if f.away {
		return outside
	}

	own := cwmesh.Peer{Node: f.self}
	turn := 0

	for i := range f.peers {
		p := &f.peers[i]
		if p.State != cwmesh.Leaving && !p.Away && !p.Heard.IsZero() && p.Rank() < own.Rank() {
			turn++
		}
	}

	count, before := 1, 0

	for i := range f.domains {
		d := &f.domains[i]
		if d.Alive <= d.Away {
			continue
		}

		count++

		if domainRank(d.Domain) < domainRank(f.self.Domain) {
			before++
		}
	}

	return turn*count + before
}

// domainRank returns the rendezvous weight of a failure domain.
func domainRank(d carobward.Domain) uint64 { return cwrank.Weight(string(d), "") }

// alive returns how many others there are.
func (f *fleet) alive() int {
	n := len(f.peers)
	for i := range f.domains {
		n += f.domains[i].Alive
	}

	return n
}

// isOutage tells whether it is likely that the store serves nobody.
func (f *fleet) isOutage() bool { return f.countAway() >= triedMost }

// mustAsk tells whether the entry VM at a place of the order asks the store
// now, by the age of the newest word from it.
func mustAsk(place int, age time.Duration) bool {
	if place != outside && place < watchers {
		return true
	}

	if place == outside {
		place = turnsMost
	}

	turns := time.Duration(min(place, turnsMost)) * turnTime
	next := min(nextMost, time.Duration(max(0, place-turnsMost))*nextTime)

	return age > staleTime+turns+next
}
