// Package cwmesh keeps what an entry VM knows of the others. Each sends a
// small heartbeat to all of its failure domain; it tells that the VM lives,
// whether it takes callers and how far its copy of the platform's store is. Of the
// other failure domains each knows a summary. Who is behind fetches the changes
// from who is ahead.
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

// State is whether an entry VM takes callers.
type State uint8

// The states of an entry VM.
const (
	// Starting: it has no configuration yet.
	Starting State = iota
	// Ready: it takes callers.
	Ready
	// Leaving: it stops.
	Leaving
)

// Node is one entry VM.
type Node struct {
	ID      carobward.VMID
	Domain  carobward.Domain
	Callers carobward.Address
	Peers   carobward.Address
}

// Peer is what is known of another entry VM.
type Peer struct {
	Node

	// Boot names the run of the entry VM.
	Boot  uint64
	State State
	// Copy is how far its copy of the store is.
	Copy cwmirror.State
	// Away tells that the store does not serve it.
	Away bool
	// Rate is its requests a second.
	Rate int
	// Heard is when its last heartbeat came.
	Heard time.Time

	// rank is the rendezvous weight of its name, or 0 before it is worked out.
	rank uint64
}

// Rank returns the rendezvous weight of the peer's name, by which all entry VMs
// come to the same order.
func (p *Peer) Rank() uint64 {
	if p.rank == 0 {
		return cwrank.Weight(string(p.ID), "")
	}

	return p.rank
}

// The times of knowing peers.
const (
	// liveTime is how long after its last heartbeat a peer counts as alive:
	// two heartbeats and a half, so that one lost datagram does no harm.
	liveTime = 2500 * time.Millisecond
	// liveStale is for how long a list of live peers is used again. Several parts
	// take it at each tick; working it out each time was a third of the processor
	// time of 145 entry VMs (BenchmarkLive, 40 times a second).
	liveStale = 100 * time.Millisecond
	// keepTime is how long a peer that is not heard is still sent heartbeats
	// to, and counts for the sharing of budgets: it may be cut off from this
	// entry VM alone and serve callers.
	keepTime = 30 * time.Second
)

// Table has the entry VMs of the own failure domain and summaries of the others.
// It is safe for use by several goroutines.
type Table struct {
	self Node

	mutex  sync.RWMutex
	peers  map[carobward.VMID]*Peer
	others map[carobward.Domain]*other
	// live has the peers that were alive at a moment. It is not changed once it
	// is there.
	live   []Peer
	liveAt time.Time
	// size is the largest number of entry VMs seen lately, and sized when.
	size  int
	sized time.Time
	// near is the same of this failure domain, and nearAt when it was seen.
	near   int
	nearAt time.Time
}

// NewTable returns a table that has this entry VM only.
func NewTable(self Node) *Table {
	return &Table{self: self, peers: map[carobward.VMID]*Peer{}, others: map[carobward.Domain]*other{}, size: 1}
}

// Self returns this entry VM.
func (t *Table) Self() Node { return t.self }

// heard takes a heartbeat of a peer of this failure domain whose Node is known or
// comes with it. It returns false if the Node is not known.
func (t *Table) heard(p Peer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	old := t.peers[p.ID]

	if p.Callers == "" {
		if old == nil || old.Callers == "" {
			return false
		}

		p.Node = old.Node
	}

	p.rank = cwrank.Weight(string(p.ID), "")

	if old == nil || old.State != p.State || old.Node != p.Node || p.Heard.Sub(old.Heard) >= liveTime {
		t.live = nil // It is news to those who ask who is alive.
	}

	t.peers[p.ID] = &p

	return true
}

// told takes the Node of an entry VM that a peer has heard. It is not alive
// for this one until it is heard here. It tells whether that is news.
func (t *Table) told(n Node) bool {
	if n.Domain != t.self.Domain {
		t.met(n)

		return false
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	if n.ID == t.self.ID || t.peers[n.ID] != nil {
		return false
	}

	t.peers[n.ID] = &Peer{Node: n, Heard: time.Time{}}

	return true
}

// Live returns the peers of this failure domain that were heard lately, in the order of their names.
// The list is shared and must not be changed. What it says of a peer beside its
// Node and State may be liveStale old.
func (t *Table) Live(now time.Time) []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if age := now.Sub(t.liveAt); t.live == nil || age < 0 || age >= liveStale {
		t.live, t.liveAt = t.listLive(now), now
	}

	return t.live
}

// listLive returns the peers that were heard lately; the mutex is held.
func (t *Table) listLive(now time.Time) []Peer {
	return t.filter(func(p *Peer) bool { return now.Sub(p.Heard) < liveTime })
}

func byID(a, b Peer) int { return cmp.Compare(a.ID, b.ID) }

// some returns up to n live peers of our failure domain, drawn at random.
func (t *Table) some(now time.Time, n int) []Peer {
	t.mutex.RLock()
	list := t.filter(func(p *Peer) bool { return now.Sub(p.Heard) < liveTime && !p.unknown() })
	t.mutex.RUnlock()

	return draw(list, n)
}

// unmet returns up to n peers that were told of but never heard, drawn at random.
func (t *Table) unmet(n int) []Node {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var list []Node

	for _, p := range t.peers {
		if p.unknown() {
			list = append(list, p.Node)
		}
	}

	return draw(list, n)
}

// ahead returns the live peers of our failure domain whose copy has what ours
// lacks.
func (t *Table) ahead(own cwmirror.State, now time.Time) []Peer {
	var list []Peer

	for _, p := range t.Live(now) {
		if !p.unknown() && own.Behind(p.Copy) {
			list = append(list, p)
		}
	}

	return list
}

// filter returns the peers that are wanted, in the order of their names; the
// mutex is held.
func (t *Table) filter(want func(*Peer) bool) []Peer {
	list := make([]Peer, 0, len(t.peers))

	for _, p := range t.peers {
		if want(p) {
			list = append(list, *p)
		}
	}

	slices.SortFunc(list, byID)

	return list
}

// sendable returns the peers that get heartbeats: those heard lately, and
// those told of and not yet heard.
func (t *Table) sendable(now time.Time) []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	list := make([]Peer, 0, len(t.peers))

	for id, p := range t.peers {
		if p.Heard.IsZero() {
			p.Heard = now.Add(-liveTime) // Not alive, but given a chance.
		}

		if now.Sub(p.Heard) > keepTime {
			delete(t.peers, id)

			continue
		}

		list = append(list, *p)
	}

	return list
}

// nearSize returns the number of entry VMs of this failure domain lately.
func (t *Table) nearSize(now time.Time) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	n := 1

	for _, p := range t.peers {
		if now.Sub(p.Heard) < keepTime {
			n++
		}
	}

	return n
}

// Lately returns the other entry VMs of this failure domain that were heard or told of
// lately, one of which may be out of sight and still serve, and the largest number of all
// lately with this one, by what the store or others say of it.
func (t *Table) Lately(now time.Time) ([]carobward.VMID, int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	list := make([]carobward.VMID, 0, len(t.peers))

	for id, p := range t.peers {
		if p.Heard.IsZero() || now.Sub(p.Heard) < keepTime {
			list = append(list, id)
		}
	}

	if n := 1 + len(list); n >= t.near || now.Sub(t.nearAt) > keepTime {
		t.near, t.nearAt = n, now
	}

	return list, t.near
}

// Size returns the number of entry VMs that a budget is shared by: the most
// seen lately, since one that is out of sight may still spend.
func (t *Table) Size(now time.Time) int {
	n := t.nearSize(now)

	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, o := range t.others {
		if now.Sub(o.Made) < keepTime {
			n += o.Size
		}
	}

	if n >= t.size || now.Sub(t.sized) > keepTime {
		t.size, t.sized = n, now
	}

	return t.size
}

// partTime is for how long a failure domain that is not heard of keeps its part of quotas: it
// may be cut off and serve callers.
const partTime = time.Hour

// part returns how many entry VMs this failure domain has had lately, and which part of all
// that is. A failure domain of which nothing is known counts as large as this one.
func (t *Table) part(domains []carobward.Domain, now time.Time) (int, float64) {
	_, near := t.Lately(now)

	t.mutex.RLock()
	defer t.mutex.RUnlock()

	all := near

	for _, d := range domains {
		o := t.others[d]

		switch {
		case d == t.self.Domain:
		case o == nil || o.Size == 0:
			all += near
		case now.Sub(o.Made) < partTime:
			all += o.Size
		}
	}

	return near, float64(near) / float64(all)
}

// addressOf returns where a peer of this failure domain is.
func (t *Table) addressOf(id carobward.VMID) (carobward.Address, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	p := t.peers[id]
	if p == nil {
		return "", false
	}

	return p.Peers, true
}
