package cwbackend

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// A cold server bears few requests a second, from all entry VMs together, and ends under
// more. Nobody counts them for all: the entry VMs of its failure domain divide them by
// rendezvous hashing, those that come first for the server sending one each second and
// the others none. It answers the return of many servers at once under a burst, where
// each entry VM by itself would see an idle server. An order over entry VMs bounds the sum
// whoever else sends, and without a clock in common; what entry VMs report of each other
// or see of the server's load is too old for a window of a second.

// The figures of dividing what cold servers bear.
const (
	// coldWindow is the time in which a server may get its most requests, and a little
	// more, since requests sent later may be on their way for less time.
	coldWindow = 1050 * time.Millisecond
	// coldPart is the part of the bound that is divided. The rest is for entry VMs that
	// have just joined, of which others do not know yet.
	coldPart = 0.8
	// coldKnown is the part of the entry VMs of the failure domain that one must know to
	// send to cold servers. Those who know fewer err by too much: 19 requests in a second
	// where 15.2 are allowed, none above with this (TestColdHistory).
	coldKnown = 0.75
	// coldSettle is how long an entry VM sends nothing to cold servers after its start:
	// ten heartbeats of others may come meanwhile. One that has heard nobody yet takes
	// itself for the only one.
	coldSettle = time.Second
)

// ColdBound is what cold servers of a service bear.
type ColdBound struct {
	// Rate is the requests a second that a cold server tolerates, Overshoot the number
	// of times as many that it may get, and Slack further requests in any one second.
	// There is no bound where Rate is 0.
	Rate      float64
	Overshoot float64
	Slack     float64
}

// most returns how many requests a cold server may get in one second by our division, 0
// where there is no bound.
func (b ColdBound) most() int {
	if b.Rate <= 0 {
		return 0
	}

	// Settings that do not name the overshoot mean none, and not that servers bear nothing.
	return max(1, int(coldPart*(b.Rate*max(1, b.Overshoot)+b.Slack)))
}

// sharers are the entry VMs that divide what cold servers bear.
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
// many there are with this one. Until coldSettle after the first call cold servers get
// nothing.
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

// Sharers returns the number of entry VMs that divide what cold servers bear, as this
// one knows them.
func (t *Table) Sharers() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return 1 + len(t.sharers.hashes)
}

// SetColdBounds tells what cold servers of each service bear.
func (t *Table) SetColdBounds(bounds map[carobward.Service]ColdBound) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.cold = bounds
}

// coldShare returns how many requests in one coldWindow this entry VM may send to a
// server while it is cold, and whether there is a bound; the mutex is held.
func (t *Table) coldShare(b *carobward.Backend, now time.Time) (int, bool) {
	bound := t.cold[b.Service]
	if bound.Rate <= 0 {
		return 0, false
	}

	if b.Domain != t.self.Domain || t.sharers.since.IsZero() || now.Sub(t.sharers.since) < coldSettle {
		return 0, true
	}

	return t.sharers.share(t.shares.self, cwrank.Hash(string(b.Instance)), bound.most()), true
}

// share returns this entry VM's part of the most requests that a server may get. Of more
// entry VMs than that the first by hash send one each. Who knows only a part of the
// others sends none, or takes itself for one of fewer in that proportion: without that
// each of many that have just started, or that are cut off alone, would take itself for
// the first.
func (s *sharers) share(self, server uint64, most int) int {
	known := 1 + len(s.hashes)
	if float64(known) < coldKnown*float64(s.size) {
		return 0
	}

	own, before := cwrank.Mix(self, server), 0

	for _, hash := range s.hashes {
		if cwrank.Mix(hash, server) > own {
			before++
		}
	}

	if before >= most*known/s.size {
		return 0
	}

	return max(1, most/s.size)
}

// Admit tells whether a server that was chosen may get a request now, and counts it as
// sent where the server is cold. It must be asked right before each send.
func (t *Table) Admit(s *Server, now time.Time) bool {
	b := s.Backend()
	if !t.Has(b) {
		return false
	}

	t.mutex.RLock()
	most, bounded := t.coldShare(&b, now)
	t.mutex.RUnlock()

	return !bounded || s.admitCold(most, now)
}

// admitCold counts a request to a cold server if it is one of the most in a window. A
// server that is not cold takes any.
func (s *Server) admitCold(most int, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if !now.Before(s.warm) {
		return true
	}

	if !s.hasColdRoom(most, now) {
		return false
	}

	s.coldSends = append(s.coldSends, now)

	return true
}

// hasColdRoom tells whether fewer than the most requests were sent to the cold server in
// the last window; the mutex is held.
func (s *Server) hasColdRoom(most int, now time.Time) bool {
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}

	return len(s.coldSends) < most
}

func (s *Server) isCold(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return now.Before(s.warm)
}

// SetWarmup takes the server's own word on how much longer it is cold: newer than any
// entry of the list.
func (s *Server) SetWarmup(left time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.warm = now.Add(left)
}

// View returns what is known of one server, see Views.
func (t *Table) View(s *Server, now time.Time, usual time.Duration) View {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.view(s, now, usual)
}

// view is View; the mutex is held.
func (t *Table) view(s *Server, now time.Time, usual time.Duration) View {
	v := s.View(now, usual)
	if !v.Warming {
		return v
	}

	b := s.Backend()
	if most, bounded := t.coldShare(&b, now); bounded {
		s.mutex.Lock()
		v.Barred = !s.hasColdRoom(most, now)
		s.mutex.Unlock()
	}

	return v
}
