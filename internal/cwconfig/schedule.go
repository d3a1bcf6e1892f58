package cwconfig

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// The pace of the syncer.
const (
	// pollsPerSecond is how often the store's head is read by the whole
	// fleet: each entry VM's share shrinks as the fleet grows. It finds a
	// change that no watcher has told of.
	pollsPerSecond = 4
	// exchangeEvery is the time between two exchanges with a random peer.
	exchangeEvery = time.Second
	// offerRounds and offerPeers are how often and to how many peers a new
	// revision is offered, offerEvery is the time between two rounds.
	offerRounds = 3
	offerPeers  = 3
	offerEvery  = 250 * time.Millisecond
	// watchersLeast is the least number of entry VMs that watch the store.
	watchersLeast = 3
)

// duties are what a syncer should do now.
type duties struct {
	poll, exchange, offer bool
}

// schedule decides when a syncer does what.
type schedule struct {
	poll, exchange, offer time.Time
	rounds                int
	revision              carobward.Revision
}

// due returns what to do at a time, in a fleet of so many entry VMs with
// this revision in force here.
func (s *schedule) due(now time.Time, fleet int, revision carobward.Revision) duties {
	var d duties

	if s.poll.IsZero() {
		// The first one may come at once: the whole fleet may have started
		// together.
		s.poll = now.Add(rand.N(pollEvery(fleet)))
	}

	if d.poll = !now.Before(s.poll); d.poll {
		s.poll = now.Add(spread(pollEvery(fleet)))
	}

	if d.exchange = !now.Before(s.exchange); d.exchange {
		s.exchange = now.Add(spread(exchangeEvery))
	}

	if revision > s.revision {
		s.revision = revision
		s.rounds = offerRounds
		s.offer = now
	}

	if d.offer = s.rounds > 0 && !now.Before(s.offer); d.offer {
		s.rounds--
		s.offer = now.Add(offerEvery)
	}

	return d
}

// spread draws a time around d, so that entry VMs do not act in step.
func spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// pollEvery is the time between two polls of one entry VM.
func pollEvery(fleet int) time.Duration {
	return time.Duration(max(fleet, 1)) * time.Second / pollsPerSecond
}

// Watches tells whether an entry VM is one that watches the store: the first
// of each failure domain and at least watchersLeast in all, by rendezvous
// hashing. Entry VMs with different views may differ; a watcher too many does
// no harm, and the polls stand in for one too few.
func Watches(self carobward.Peer, peers []carobward.Peer) bool {
	ranked := []carobward.Peer{}

	for _, p := range peers {
		if p.ID == self.ID || p.State == carobward.PeerLive {
			ranked = append(ranked, p)
		}
	}

	slices.SortFunc(ranked, func(a, b carobward.Peer) int {
		return cmp.Or(cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
	})

	seen := map[carobward.Domain]bool{}

	var firsts, rest []carobward.Peer

	for _, p := range ranked {
		if seen[p.Domain] {
			rest = append(rest, p)
		} else {
			firsts = append(firsts, p)
		}

		seen[p.Domain] = true
	}

	more := min(len(rest), max(0, watchersLeast-len(firsts)))

	return slices.ContainsFunc(slices.Concat(firsts, rest[:more]), func(p carobward.Peer) bool { return p.ID == self.ID })
}

func rank(id carobward.VMID) uint64 { return cwrank.Weight(string(id), "") }
