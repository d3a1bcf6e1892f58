package cwpeer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// Table holds this entry VM and what it knows of the others.
type Table struct {
	mutex sync.Mutex
	self  carobward.Peer
	peers map[carobward.VMID]carobward.Peer
	// all is the sorted whole, so that reading takes no lock.
	all atomic.Pointer[[]carobward.Peer]
}

// NewTable returns a table that knows only this entry VM.
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

// SetRevision notes the configuration in force here.
func (t *Table) SetRevision(r carobward.Revision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.self.Revision != r {
		t.self.Revision = r
		t.publish()
	}
}

// SetSelf replaces what is known of this entry VM, but for its revision.
func (t *Table) SetSelf(p carobward.Peer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	p.Revision = t.self.Revision
	t.self = p
	t.publish()
}

// Heard takes what is known of one peer. A lower incarnation is passed over.
func (t *Table) Heard(p carobward.Peer, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	p.Heard = now
	t.put(p)
	t.publish()
}

// Replace takes all peers anew; those left out are forgotten.
func (t *Table) Replace(all []carobward.Peer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	before := t.peers
	t.peers = make(map[carobward.VMID]carobward.Peer, len(all))

	for _, p := range all {
		if b, ok := before[p.ID]; ok {
			t.put(b)
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

// All returns this entry VM and all that it knows, sorted by id.
func (t *Table) All() []carobward.Peer { return slices.Clone(*t.all.Load()) }
