package cwpeer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// Table holds the state of this entry VM and the peers that it knows.
type Table struct {
	mutex sync.Mutex
	self  carobward.Peer
	peers map[carobward.VMID]carobward.Peer
	// all is a sorted copy of self and all peers, so that reads need no lock.
	all atomic.Pointer[[]carobward.Peer]
}

// NewTable returns a table with only this entry VM.
func NewTable(self carobward.Peer) *Table {
	t := &Table{self: self, peers: map[carobward.VMID]carobward.Peer{}}
	t.publish()

	return t
}

// Self returns this entry VM.
func (t *Table) Self() carobward.Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.self
}

// SetRevision sets the revision of the configuration that is effective on this entry
// VM.
func (t *Table) SetRevision(r carobward.Revision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.self.Revision != r {
		t.self.Revision = r
		t.publish()
	}
}

// SetSelf replaces the state of this entry VM, except for its revision.
func (t *Table) SetSelf(p carobward.Peer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	p.Revision = t.self.Revision
	t.self = p
	t.publish()
}

// Update updates one peer and sets when it was last seen. A state with a lower
// incarnation than the known one is ignored.
func (t *Table) Update(p carobward.Peer, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	p.LastSeen = now
	t.put(p)
	t.publish()
}

// Replace replaces the list of peers. Peers that are not in the new list are removed,
// and the known state of a peer is kept if it has a higher incarnation.
func (t *Table) Replace(all []carobward.Peer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	before := t.peers
	t.peers = make(map[carobward.VMID]carobward.Peer, len(all))

	for _, p := range all {
		if known, ok := before[p.ID]; ok {
			t.put(known)
		}

		t.put(p)
	}

	t.publish()
}

func (t *Table) put(p carobward.Peer) {
	if p.ID != t.self.ID && t.peers[p.ID].Incarnation <= p.Incarnation {
		t.peers[p.ID] = p
	}
}

func (t *Table) publish() {
	all := make([]carobward.Peer, 0, len(t.peers)+1)
	all = append(all, t.self)

	for _, p := range t.peers {
		all = append(all, p)
	}

	slices.SortFunc(all, func(a, b carobward.Peer) int { return cmp.Compare(a.ID, b.ID) })
	t.all.Store(&all)
}

// All returns this entry VM and all known peers, sorted by id.
func (t *Table) All() []carobward.Peer { return slices.Clone(*t.all.Load()) }
