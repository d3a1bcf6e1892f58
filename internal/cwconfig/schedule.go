package cwconfig

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// The intervals of the Syncer.
const (
	// pollsPerSecond is the rate at which the fleet as a whole reads the
	// store's head: the more entry VMs, the less often each of them polls.
	// Polls find changes that no watcher has announced.
	pollsPerSecond = 4
	// exchangeInterval is the mean time between two exchanges with a peer.
	exchangeInterval = time.Second
	// offerRounds is how often a new revision is offered to peers, offerPeers
	// to how many in each round, offerInterval the time between two rounds.
	offerRounds   = 3
	offerPeers    = 3
	offerInterval = 250 * time.Millisecond
	// minWatchers is the minimum number of entry VMs that watch the store.
	minWatchers = 3
)

// tasks are the tasks of a Syncer that are due.
type tasks struct {
	poll, exchange, offer bool
}

// schedule determines when the tasks of a Syncer are due.
type schedule struct {
	poll, exchange, offer time.Time
	rounds                int
	revision              carobward.Revision
}

// due returns the tasks that are due at the time now. The poll interval depends
// on the number of entry VMs in the fleet; a higher effective revision than
// before starts the offers.
func (s *schedule) due(now time.Time, fleet int, revision carobward.Revision) tasks {
	var d tasks

	if s.poll.IsZero() {
		// The first poll is drawn from the whole interval, from zero on: the
		// entry VMs may all have started at the same time.
		s.poll = now.Add(rand.N(pollInterval(fleet)))
	}

	if d.poll = !now.Before(s.poll); d.poll {
		s.poll = now.Add(jitter(pollInterval(fleet)))
	}

	if d.exchange = !now.Before(s.exchange); d.exchange {
		s.exchange = now.Add(jitter(exchangeInterval))
	}

	if revision > s.revision {
		s.revision = revision
		s.rounds = offerRounds
		s.offer = now
	}

	if d.offer = s.rounds > 0 && !now.Before(s.offer); d.offer {
		s.rounds--
		s.offer = now.Add(offerInterval)
	}

	return d
}

// jitter returns a random duration between d/2 and 3d/2, so that entry VMs
// don't act in lockstep.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// pollInterval returns the mean time between two polls of one entry VM.
func pollInterval(fleet int) time.Duration {
	return time.Duration(max(fleet, 1)) * time.Second / pollsPerSecond
}

// IsWatcher reports whether an entry VM watches the store. The watchers are the
// first entry VM of each failure domain by rendezvous hashing, and further ones
// in that order up to minWatchers. Entry VMs with different views of the fleet
// may disagree; an extra watcher does no harm, and polls make up for a missing
// one.
func IsWatcher(self carobward.Peer, peers []carobward.Peer) bool {
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

	more := min(len(rest), max(0, minWatchers-len(firsts)))

	return slices.ContainsFunc(slices.Concat(firsts, rest[:more]), func(p carobward.Peer) bool { return p.ID == self.ID })
}

func rank(id carobward.VMID) uint64 { return cwrank.Weight(string(id), "") }
