package cwbackend

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// Some bounds on the requests to a server hold for all entry VMs together, and no component
// counts all of them. The entry VMs of the server's failure domain divide such a bound by
// rendezvous hashing: the first ones for the server send their shares in each window, the
// others nothing. Since each entry VM derives its share from its own rank, the sum is bounded
// whichever of them send, and without a shared clock. Reports, of entry VMs about each other
// or of the server's load, would be too old to divide a window of one second by them.

// The parameters of dividing a bound.
const (
	// dividedShare is the fraction of a bound that is divided. The rest is for entry VMs that
	// have just joined and from which others have not received a heartbeat yet, and for those
	// that check whether a limit still holds.
	dividedShare = 0.8
	// minKnownShare is the fraction of the entry VMs of its failure domain that an entry VM
	// must know to have a share. With fewer its rank is too inaccurate: without this rule servers
	// get up to 19 requests in a second where 15.2 are allowed, with it none gets more than
	// allowed (TestWarmupHistory).
	minKnownShare = 0.75
	// settleTime is how long an entry VM has no share after its start. About ten heartbeats of
	// others may arrive in that time; an entry VM that has received none would assume that it
	// is the only one.
	settleTime = time.Second
	// minWindow is the shortest window: the one second for which bounds are defined, and a
	// margin, since later requests may take less time to arrive.
	minWindow = 1050 * time.Millisecond
)

// allowance is this entry VM's share of what a server takes: at most so many requests in any
// window. A window of 0 means no bound.
type allowance struct {
	maxRequests int
	window      time.Duration
	// from is the time before which no request is allowed. until is when the bound ends, for
	// an entry VM without a share; zero if it is not known.
	from, until time.Time
}

// allowances has one allowance for each kind of bound. All of them apply.
type allowances [2]allowance

// historySize returns how many past requests must be kept to check all allowances.
func (l *allowances) historySize() int { return max(1, l[0].maxRequests, l[1].maxRequests) }

// nextAt returns when the server may get the next request by the allowance, given the times of
// earlier ones. It is the zero time if there is no bound.
func (a *allowance) nextAt(sends []time.Time) time.Time {
	switch {
	case a.window == 0:
		return time.Time{}
	case a.maxRequests == 0:
		return a.until
	case len(sends) < a.maxRequests:
		return a.from
	}

	next := sends[len(sends)-a.maxRequests].Add(a.window)
	if next.Before(a.from) {
		return a.from
	}

	return next
}

// availableAt returns when the server may get the next request from this entry VM. The mutex
// must be held.
func (s *Server) availableAt(l *allowances) time.Time {
	next := s.pausedUntil

	for i := range l {
		if at := l[i].nextAt(s.sends); at.After(next) {
			next = at
		}
	}

	return next
}

// admit records a request as sent if the server may get one now, and reports whether it may.
func (s *Server) admit(l *allowances, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if now.Before(s.availableAt(l)) {
		return false
	}

	s.sends = append(s.sends, now)
	if extra := len(s.sends) - l.historySize(); extra > 0 {
		s.sends = slices.Delete(s.sends, 0, extra)
	}

	return true
}

// Admit reports whether a chosen server may get a request now, and records it as sent. It must
// be called right before each send.
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

// allowances returns this entry VM's shares of what a server takes. The mutex must be held.
func (t *Table) allowances(s *Server, b *carobward.Backend, now time.Time) allowances {
	s.mutex.Lock()
	warm, limit := s.warmedUpAt(), s.limit
	s.mutex.Unlock()

	return allowances{t.warmupAllowance(b, warm, now), t.limitAllowance(b, &limit, now)}
}

// share returns how many of the requests that a server takes in a window are this entry VM's.
// They are divided among the given number of entry VMs that rank first by hash. The mutex must
// be held.
func (t *Table) share(b *carobward.Backend, maxRequests, first int, now time.Time) int {
	place := t.placement.places[b.Instance]
	if place == nil || b.Domain != t.self.Domain || t.sharers.since.IsZero() || now.Sub(t.sharers.since) < settleTime {
		return 0
	}

	return t.sharers.share(t.placement.self, place.hash, maxRequests, first)
}

// sharers are the entry VMs that divide the bounds.
type sharers struct {
	// hashes has the hashes of the other entry VMs of the failure domain that were alive
	// recently. One that is not seen now may still be sending.
	hashes map[carobward.VMID]uint64
	// size is the recent number of entry VMs in the failure domain from all sources. It
	// exceeds the number of hashes where this entry VM has just started or is partitioned.
	size int
	// since is the time of the first call to SetSharers.
	since time.Time
}

// SetSharers sets the other entry VMs of the failure domain that were alive recently, and
// their number including this one. Until settleTime after the first call this entry VM has no
// share of any bound.
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

// has reports whether the list has exactly the known entry VMs, as it nearly always does.
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

// Sharers returns the number of entry VMs that divide the bounds, as far as this one knows
// them.
func (t *Table) Sharers() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return 1 + len(t.sharers.hashes)
}

// share returns this entry VM's share of the requests that a server may get in a window. They
// are divided among the given number of entry VMs that rank first by hash. An entry VM that
// knows too few of the others has none. One that does not know all of them scales the requests
// and the number of shares down in that proportion: otherwise each of many that have just
// started, or that are partitioned, would rank itself first.
func (s *sharers) share(self, server uint64, maxRequests, first int) int {
	known := 1 + len(s.hashes)
	if float64(known) < minKnownShare*float64(s.size) {
		return 0
	}

	own, rank := cwrank.Mix(self, server), 0

	for _, hash := range s.hashes {
		if cwrank.Mix(hash, server) > own {
			rank++
		}
	}

	maxRequests = maxRequests * known / s.size
	first = max(1, min(first, s.size)*known/s.size)

	if rank >= first {
		return 0
	}

	part := maxRequests / first
	if rank < maxRequests%first {
		part++
	}

	return part
}
