package cwpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// Table holds this entry VM and what it knows of the others.
type Table struct {
	mutex sync.RWMutex
	self  carobward.Peer
	peers map[carobward.VMID]carobward.Peer
}

// NewTable returns a table that knows only this entry VM.
func NewTable(self carobward.Peer) *Table {
	return &Table{self: self, peers: map[carobward.VMID]carobward.Peer{}}
}

// Self returns this entry VM.
func (t *Table) Self() carobward.Peer {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.self
}

// SetRevision notes the configuration in force here.
func (t *Table) SetRevision(r carobward.Revision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.self.Revision = r
}

// Leave marks this entry VM as leaving.
func (t *Table) Leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.self.State = carobward.PeerLeaving
}

// Heard takes what a peer said of itself. A lower incarnation is passed over.
func (t *Table) Heard(p carobward.Peer, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if p.ID == t.self.ID || t.peers[p.ID].Incarnation > p.Incarnation {
		return
	}

	p.Heard = now
	t.peers[p.ID] = p
}

// Tick marks peers as dead that have been silent since before.
func (t *Table) Tick(silent time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for id, p := range t.peers {
		if p.Heard.Before(silent) && p.State != carobward.PeerDead {
			p.State = carobward.PeerDead
			t.peers[id] = p
		}
	}
}

// All returns this entry VM and all that it knows, sorted by id.
func (t *Table) All() []carobward.Peer {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	all := []carobward.Peer{t.self}
	for _, p := range t.peers {
		all = append(all, p)
	}

	slices.SortFunc(all, func(a, b carobward.Peer) int { return cmp.Compare(a.ID, b.ID) })

	return all
}

func toWire(p carobward.Peer) *cwwire.Peer {
	return &cwwire.Peer{
		Id:          string(p.ID),
		Incarnation: uint64(p.Incarnation),
		Domain:      string(p.Domain),
		Callers:     string(p.Callers),
		Lookup:      string(p.Lookup),
		Peers:       string(p.Peers),
		Operators:   string(p.Operators),
		State:       uint32(p.State),
		Revision:    uint64(p.Revision),
	}
}

func fromWire(w *cwwire.Peer) carobward.Peer {
	return carobward.Peer{
		ID:          carobward.VMID(w.GetId()),
		Incarnation: carobward.Incarnation(w.GetIncarnation()),
		Domain:      carobward.Domain(w.GetDomain()),
		Callers:     carobward.Address(w.GetCallers()),
		Lookup:      carobward.Address(w.GetLookup()),
		Peers:       carobward.Address(w.GetPeers()),
		Operators:   carobward.Address(w.GetOperators()),
		State:       carobward.PeerState(w.GetState()),
		Revision:    carobward.Revision(w.GetRevision()),
	}
}
