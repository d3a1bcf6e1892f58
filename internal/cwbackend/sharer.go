package cwbackend

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// Some bounds on what one server gets are those of all entry VMs together, and nobody
// counts the requests of all. The entry VMs of the server's failure domain divide such a
// bound by rendezvous hashing: those that come first for the server send their parts in
// each window and the others nothing. An order over entry VMs bounds the sum whoever else
// sends, and without a clock in common; what entry VMs report of each other or see of the
// server's load is too old for a window of a second.

// The figures of dividing a bound.
const (
	// sharePart is the part of a bound that is divided. The rest is for entry VMs that
	// have just joined, of which others do not know yet, and for those that ask a server
	// again whose limit nobody has heard of for a time.
	sharePart = 0.8
	// shareKnown is the part of the entry VMs of the failure domain that one must know to
	// have a part. Those who know fewer err by too much: 19 requests in a second where
	// 15.2 are allowed, none above with this (TestColdHistory).
	shareKnown = 0.75
	// shareSettle is how long an entry VM has no part after its start: ten heartbeats of
	// others may come meanwhile. One that has heard nobody yet takes itself for the only
	// one.
	shareSettle = time.Second
	// shareWindow is the shortest window: the second of the bounds, and a little more,
	// since requests sent later may be on their way for less time.
	shareWindow = 1050 * time.Millisecond
)

// allowance is this entry VM's part of what a server takes: at most so many requests in any
// window. There is no bound where the window is 0.
type allowance struct {
	most   int
	window time.Duration
	// from is before when there is none, until when the bound ends where there is no
	// part; zero: it is not known.
	from, until time.Time
}

// allowances are those by each bound; all of them hold.
type allowances [2]allowance

// most returns how many earlier requests have to be known for all of them.
func (l *allowances) most() int { return max(1, l[0].most, l[1].most) }

// open returns when a server that got requests at some times may get the next one by an
// allowance, the zero time where there is no bound.
func (a *allowance) open(sends []time.Time) time.Time {
	switch {
	case a.window == 0:
		return time.Time{}
	case a.most == 0:
		return a.until
	case len(sends) < a.most:
		return a.from
	}

	next := sends[len(sends)-a.most].Add(a.window)
	if next.Before(a.from) {
		return a.from
	}

	return next
}

// open returns when the server may get the next request of this entry VM; the mutex is
// held.
func (s *Server) open(l *allowances) time.Time {
	open := s.paused

	for i := range l {
		if at := l[i].open(s.sends); at.After(open) {
			open = at
		}
	}

	return open
}

// admit counts a request to the server as sent if it may get one now.
func (s *Server) admit(l *allowances, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if now.Before(s.open(l)) {
		return false
	}

	s.sends = append(s.sends, now)
	if extra := len(s.sends) - l.most(); extra > 0 {
		s.sends = slices.Delete(s.sends, 0, extra)
	}

	return true
}

// Admit tells whether a server that was chosen may get a request now, and counts it as
// sent. It must be asked right before each send.
func (t *Table) Admit(s *Server, now time.Time) bool {
	b := s.Backend()
	if !t.Has(b) {
		return false
	}

	t.mutex.RLock()
	l := t.allowances(s, &b, now)
	t.mutex.RUnlock()

	return s.admit(&l, now)
}

// allowances returns this entry VM's parts of what a server takes; the mutex is held.
func (t *Table) allowances(s *Server, b *carobward.Backend, now time.Time) allowances {
	s.mutex.Lock()
	warm, limit := s.warm, s.limit
	s.mutex.Unlock()

	return allowances{t.coldAllowance(b, warm, now), t.limitAllowance(b, &limit, now)}
}

// part returns this entry VM's part of what a server takes in a window from all, of which
// the first by hash have one; the mutex is held.
func (t *Table) part(b *carobward.Backend, most, first int, now time.Time) int {
	place := t.shares.places[b.Instance]
	if place == nil || b.Domain != t.self.Domain || t.sharers.since.IsZero() || now.Sub(t.sharers.since) < shareSettle {
		return 0
	}

	return t.sharers.part(t.shares.self, place.hash, most, first)
}

// sharers are the entry VMs that divide the bounds.
type sharers struct {
	// hashes has the hash of each other entry VM of the failure domain that was alive
	// lately. One that is out of sight may still send.
	hashes map[carobward.VMID]uint64
	// size is the number of entry VMs of the failure domain lately, by all that is
	// known: more than hashes has where this one has just started or is cut off.
	size int
	// since is when this entry VM began to hear of others.
	since time.Time
}

// SetSharers tells which other entry VMs of the failure domain were alive lately, and how
// many there are with this one. Until shareSettle after the first call this entry VM has
// no part of any bound.
func (t *Table) SetSharers(list []carobward.VMID, size int, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.sharers.since.IsZero() {
		t.sharers.since = now
	}

	t.sharers.size = max(size, 1+len(list))

	if !t.sharers.has(list) {
		t.sharers.hashes = hashesOf(list)
	}
}

// has tells whether a list has just these entry VMs, as it does nearly each time.
func (s *sharers) has(list []carobward.VMID) bool {
	for _, id := range list {
		if _, ok := s.hashes[id]; !ok {
			return false
		}
	}

	return len(list) == len(s.hashes)
}

func hashesOf(list []carobward.VMID) map[carobward.VMID]uint64 {
	hashes := make(map[carobward.VMID]uint64, len(list))
	for _, id := range list {
		hashes[id] = cwrank.Hash(string(id))
	}

	return hashes
}

// Sharers returns the number of entry VMs that divide the bounds, as this one knows them.
func (t *Table) Sharers() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return 1 + len(t.sharers.hashes)
}

// part returns this entry VM's part of the most requests that a server may get in a window,
// which are divided among the first ones by hash. Who knows only a part of the others has
// none, or takes itself for one of fewer in that proportion: without that each of many that
// have just started, or that are cut off alone, would take itself for the first.
func (s *sharers) part(self, server uint64, most, first int) int {
	known := 1 + len(s.hashes)
	if float64(known) < shareKnown*float64(s.size) {
		return 0
	}

	own, before := cwrank.Mix(self, server), 0

	for _, hash := range s.hashes {
		if cwrank.Mix(hash, server) > own {
			before++
		}
	}

	most = most * known / s.size
	first = max(1, min(first, s.size)*known/s.size)

	if before >= first {
		return 0
	}

	part := most / first
	if before < most%first {
		part++
	}

	return part
}
