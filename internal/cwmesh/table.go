// Package cwmesh tracks the membership of the fleet of entry VMs and spreads changes of the
// platform's store. Each entry VM sends a small heartbeat to all of its failure domain: it
// shows that the VM lives, whether it takes callers and how far its replica of the store is.
// Of each other failure domain an entry VM knows a summary. An entry VM whose replica is
// behind fetches the changes from a peer that is ahead.
package cwmesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwrank"
)

// Timeouts of peers.
const (
	// liveTimeout is how long after its last heartbeat a peer counts as alive: two and a
	// half heartbeat intervals, so that one lost datagram does no harm.
	liveTimeout = 2500 * time.Millisecond
	// liveCacheTime is for how long a list of live peers is reused. Several callers
	// need it at each tick; without reuse it took a third of the processor time of
	// 145 entry VMs (BenchmarkLive, 40 times a second).
	liveCacheTime = 100 * time.Millisecond
	// keepTime is for how long a silent peer still gets heartbeats and has its share of
	// budgets: it may be cut off from this entry VM alone and still serve callers.
	keepTime = 30 * time.Second
)

// Table has the entry VMs of this failure domain and summaries of the others.
// It is safe for concurrent use.
type Table struct {
	self Node

	mutex  sync.RWMutex
	peers  map[carobward.VMID]*Peer
	others map[carobward.Domain]*otherDomain
	// live has the peers that were alive at liveAt. The slice is shared and never
	// modified.
	live   []Peer
	liveAt time.Time
	// size is the largest recent number of entry VMs in the fleet, sizeAt when it was seen.
	size   int
	sizeAt time.Time
	// domainSize is the same for this failure domain, domainSizeAt when it was seen.
	domainSize   int
	domainSizeAt time.Time
	// listedSize is the number of entry VMs of this failure domain in the store's list, or 0
	// if the list was not read.
	listedSize int
}

// NewTable returns a table that has only this entry VM.
func NewTable(self Node) *Table {
	return &Table{self: self, peers: map[carobward.VMID]*Peer{}, others: map[carobward.Domain]*otherDomain{}, size: 1}
}

// Self returns this entry VM.
func (t *Table) Self() Node { return t.self }

// updatePeer applies a heartbeat of a peer of this failure domain. It returns false if the
// peer's Node is neither known nor part of the heartbeat.
func (t *Table) updatePeer(p Peer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	old := t.peers[p.ID]

	if p.Callers == "" {
		if old == nil || old.Callers == "" {
			return false
		}

		p.Node = old.Node
	}

	if old.isLate(&p) {
		return true
	}

	p.former = old.formerRuns(p.Boot)
	p.rank = cwrank.Weight(string(p.ID), "")

	if old == nil || old.State != p.State || old.Node != p.Node || p.LastSeen.Sub(old.LastSeen) >= liveTimeout {
		t.live = nil // The cached list no longer holds.
	}

	t.peers[p.ID] = &p

	return true
}

// neverSeen reports whether an entry VM of this failure domain was never heard from.
func (t *Table) neverSeen(id carobward.VMID) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	p := t.peers[id]

	return p == nil || p.neverSeen()
}

// addPeer adds an entry VM that a peer named. It counts as alive only after its own
// heartbeat. It reports whether the entry VM is new.
func (t *Table) addPeer(n Node) bool {
	if n.Domain != t.self.Domain {
		t.recordContact(n)

		return false
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	if n.ID == t.self.ID || t.peers[n.ID] != nil {
		return false
	}

	t.peers[n.ID] = &Peer{Node: n, LastSeen: time.Time{}}

	return true
}

// Live returns the live peers of this failure domain, in the order of their names.
// The list is shared and must not be modified. Of each peer all but Node and State may be
// up to liveCacheTime old.
func (t *Table) Live(now time.Time) []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if age := now.Sub(t.liveAt); t.live == nil || age < 0 || age >= liveCacheTime {
		t.live, t.liveAt = t.listLive(now), now
	}

	return t.live
}

// listLive returns the peers that are alive; t.mutex must be held.
func (t *Table) listLive(now time.Time) []Peer {
	return t.filter(func(p *Peer) bool { return now.Sub(p.LastSeen) < liveTimeout })
}

// setBack adds a time that the VM's clock did not count to the age of what callers are told:
// which peers certainly run, and how old the summaries of other failure domains are.
func (t *Table) setBack(by time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, p := range t.peers {
		p.ProvenAt = carobward.SetBack(p.ProvenAt, by)
	}

	for _, o := range t.others {
		o.Made = carobward.SetBack(o.Made, by)
	}

	t.live = nil
}

func byID(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) }

// sampleLive returns up to n live peers of this failure domain, drawn at random.
func (t *Table) sampleLive(now time.Time, n int) []Peer {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	list := t.matching(func(p *Peer) bool { return now.Sub(p.LastSeen) < liveTimeout && !p.neverSeen() })

	return copyPeers(sample(list, n))
}

// sampleNeverSeen returns up to n peers that were only named by others, drawn at random.
func (t *Table) sampleNeverSeen(n int) []Node {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var list []Node

	for _, p := range t.peers {
		if p.neverSeen() {
			list = append(list, p.Node)
		}
	}

	return sample(list, n)
}

// ahead returns the live peers of this failure domain whose replica has changes that
// the given state lacks.
func (t *Table) ahead(own cwmirror.State, now time.Time) []Peer {
	var list []Peer

	for _, p := range t.Live(now) {
		if !p.neverSeen() && own.Behind(p.Replica) {
			list = append(list, p)
		}
	}

	return list
}

// filter returns the peers for which want returns true, in the order of their names;
// t.mutex must be held.
func (t *Table) filter(want func(*Peer) bool) []Peer {
	list := t.matching(want)
	slices.SortFunc(list, byID)

	return copyPeers(list)
}

// matching returns the peers for which want returns true, in any order; t.mutex must be held, also
// while the result is used.
func (t *Table) matching(want func(*Peer) bool) []*Peer {
	list := make([]*Peer, 0, len(t.peers))

	for _, p := range t.peers {
		if want(p) {
			list = append(list, p)
		}
	}

	return list
}

func copyPeers(list []*Peer) []Peer {
	peers := make([]Peer, 0, len(list))
	for _, p := range list {
		peers = append(peers, *p)
	}

	return peers
}

// recipients returns the peers that get heartbeats: those heard from within keepTime,
// and for nearly as long those that were named and never heard from. It deletes the others.
func (t *Table) recipients(now time.Time) []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	list := make([]Peer, 0, len(t.peers))

	for id, p := range t.peers {
		if p.LastSeen.IsZero() {
			p.LastSeen = now.Add(-liveTimeout) // Not alive, but gets heartbeats until keepTime.
		}

		if now.Sub(p.LastSeen) > keepTime {
			delete(t.peers, id)

			continue
		}

		list = append(list, *p)
	}

	return list
}

// recentDomainSize returns the number of entry VMs of this failure domain within keepTime.
func (t *Table) recentDomainSize(now time.Time) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	n := 1

	for _, p := range t.peers {
		if now.Sub(p.LastSeen) < keepTime {
			n++
		}
	}

	return n
}

// RecentPeers returns the other entry VMs of this failure domain that were heard from or
// named within keepTime: one that is out of reach may still serve. It also returns the
// largest recent number of entry VMs there, with this one, which may come from the store's list.
func (t *Table) RecentPeers(now time.Time) ([]carobward.VMID, int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	list := make([]carobward.VMID, 0, len(t.peers))

	for id, p := range t.peers {
		if p.isRecent(now) {
			list = append(list, id)
		}
	}

	return list, t.updateDomainSize(1+len(list), now)
}

// largestDomainSize returns the size that RecentPeers returns.
func (t *Table) largestDomainSize(now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	n := 1

	for _, p := range t.peers {
		if p.isRecent(now) {
			n++
		}
	}

	return t.updateDomainSize(n, now)
}

// updateDomainSize records the current size of this failure domain and returns the largest recent
// one; t.mutex must be held.
func (t *Table) updateDomainSize(n int, now time.Time) int {
	if n >= t.domainSize || now.Sub(t.domainSizeAt) > keepTime {
		t.domainSize, t.domainSizeAt = n, now
	}

	return t.domainSize
}

// Size returns the number of entry VMs by which a budget is divided: the largest
// recent one, since an entry VM that is out of reach may still spend.
func (t *Table) Size(now time.Time) int {
	n := t.recentDomainSize(now)

	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, o := range t.others {
		if now.Sub(o.Made) < keepTime {
			n += o.Size
		}
	}

	if n >= t.size || now.Sub(t.sizeAt) > keepTime {
		t.size, t.sizeAt = n, now
	}

	return t.size
}

// An entry VM knows its failure domain right after its start if listedFraction of the entry VMs
// that the store lists there are alive: of those that it lacks, few would own the same token
// bucket. A list of fewer than minListed may be from the first moments of a fleet.
const (
	listedFraction = 0.9
	minListed      = 4
)

// knowsListed reports whether a number of entry VMs are nearly all that the store lists for
// this failure domain, and nearly all of a known size.
func (t *Table) knowsListed(alive, size int) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.listedSize >= minListed && float64(alive) >= listedFraction*float64(max(t.listedSize, size))
}

// domainShareTime is for how long a silent failure domain keeps its share of what is divided among
// the whole fleet: it may be cut off and still serve callers.
const domainShareTime = time.Hour

// fleetSize returns the recent number of entry VMs of this failure domain, and that of the whole
// fleet. A failure domain of unknown size counts as large as this one.
func (t *Table) fleetSize(domains []carobward.Domain, now time.Time) (near, all int) {
	near = t.largestDomainSize(now)

	t.mutex.RLock()
	defer t.mutex.RUnlock()

	all = near

	for _, d := range domains {
		o := t.others[d]

		switch {
		case d == t.self.Domain:
		case o == nil || o.Size == 0:
			all += near
		case now.Sub(o.Made) < domainShareTime:
			all += o.Size
		}
	}

	return near, all
}

// addressOf returns the address at which an entry VM of this failure domain receives heartbeats.
func (t *Table) addressOf(id carobward.VMID) (carobward.Address, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	p := t.peers[id]
	if p == nil {
		return "", false
	}

	return p.Peers, true
}
