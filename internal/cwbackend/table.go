// Package cwbackend keeps the table of backend servers: which servers exist, which subset of
// them this entry VM sends requests to, and what its requests and health checks show about
// each server.
package cwbackend

import (
	"cmp"
	"sync"
	"time"

	"carobward.example/carobward"
)

// VM is an entry VM.
type VM struct {
	ID     carobward.VMID
	Domain carobward.Domain
	// Regions has the region of each failure domain.
	Regions map[carobward.Domain]carobward.Region
}

// Table is the table of servers. It is safe for use by several goroutines.
type Table struct {
	self VM

	mutex      sync.RWMutex
	byInstance map[carobward.Instance]*Server
	placement  *placement
	// now is the time of the last Put.
	now time.Time
	// alone is set until the first call to SetNeighbours.
	alone bool
	// groups has all servers of each service, subsets those that this entry VM sends to.
	groups  map[carobward.Service]*group
	subsets map[carobward.Service]*subset
	// departed has servers whose entries were removed lately, with what they announced.
	departed map[carobward.Instance]departed
	// announcers are the servers whose announcements other entry VMs may lack.
	announcers *announcers
	// addresses counts the servers at each address.
	addresses map[carobward.Address]int
	// warmupBounds has the rates for servers that are warming up, by service. sharers are the
	// entry VMs that divide these rates and the limits that servers announce. nearCounts has
	// the number of near servers of each service.
	warmupBounds map[carobward.Service]WarmupBound
	sharers      sharers
	nearCounts   map[carobward.Service]int
	// evacuated has the failure domains whose servers get no traffic.
	evacuated map[carobward.Domain]bool
}

// New returns an empty table for an entry VM. All servers are in its subsets until
// SetNeighbours is called.
func New(self VM) *Table {
	return &Table{
		self: self, byInstance: map[carobward.Instance]*Server{}, placement: newPlacement(self.ID), alone: true,
		groups: map[carobward.Service]*group{}, subsets: map[carobward.Service]*subset{}, addresses: map[carobward.Address]int{},
		announcers: newAnnouncers(), departed: map[carobward.Instance]departed{},
		nearCounts: map[carobward.Service]int{}, evacuated: map[carobward.Domain]bool{},
	}
}

// Put applies new and changed entries and removes the instances in gone. It returns the
// previous entries of servers whose process restarted under the same instance.
func (t *Table) Put(list []carobward.Backend, gone []carobward.Instance, now time.Time) []carobward.Backend {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var ended []carobward.Backend

	t.now = now
	t.forgetDeparted()

	changed := map[carobward.Service]bool{}

	for _, b := range list {
		s := t.byInstance[b.Instance]
		if s == nil {
			next := newServer(b, t.announcers, now)
			t.recall(next)
			t.add(next, changed)

			continue
		}

		switch old := s.Backend(); compareStart(b, old) {
		case older:
			// A late entry of a process that has ended.
		case same:
			t.update(s, b, changed)
		case newer:
			// State of the previous process does not apply to the new one.
			t.remove(s, changed)

			next := newServer(b, t.announcers, now)
			next.replacedAt = now
			t.add(next, changed)

			ended = append(ended, old)

			s.end()
		}
	}

	for _, i := range gone {
		if s := t.byInstance[i]; s != nil {
			t.remember(s)
			t.remove(s, changed)
		}
	}

	for service, g := range t.groups {
		if !g.warmAt.IsZero() && !now.Before(g.warmAt) {
			changed[service] = true
		}
	}

	for service := range changed {
		t.selectSubset(service)
	}

	return ended
}

// add adds a server and marks its service as changed. The mutex must be held.
func (t *Table) add(s *Server, changed map[carobward.Service]bool) {
	b := s.Backend()
	t.byInstance[b.Instance] = s
	t.placement.add(b.Instance)
	t.addresses[b.Address]++
	t.addToGroup(s, &b)

	changed[b.Service] = true
}

// remove removes a server and marks its service as changed. The mutex must be held.
func (t *Table) remove(s *Server, changed map[carobward.Service]bool) {
	b := s.Backend()
	t.removeFromGroup(s, &b)
	delete(t.byInstance, b.Instance)
	t.placement.remove(b.Instance)
	t.removeAddress(b.Address)

	changed[b.Service] = true
}

// update applies a changed entry of the same process. Most changes, such as of the state,
// leave the subsets as they are. The mutex must be held.
func (t *Table) update(s *Server, b carobward.Backend, changed map[carobward.Service]bool) {
	old, warming := s.Backend(), s.isWarming(t.now)

	if moves := old.Service != b.Service || old.Domain != b.Domain; moves {
		t.removeFromGroup(s, &old)
		defer t.addToGroup(s, &b)

		changed[old.Service], changed[b.Service] = true, true
	}

	if old.Address != b.Address {
		t.removeAddress(old.Address)
		t.addresses[b.Address]++
	}

	s.update(b, t.now)

	if s.isWarming(t.now) != warming {
		changed[b.Service] = true
	}
}

// removeAddress removes a server from the count of its address. The mutex must be held.
func (t *Table) removeAddress(a carobward.Address) {
	if t.addresses[a]--; t.addresses[a] <= 0 {
		delete(t.addresses, a)
	}
}

// HasAddress reports whether any server listens at the address.
func (t *Table) HasAddress(a carobward.Address) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.addresses[a] > 0
}

// The results of compareStart.
const (
	older = iota - 1
	same
	newer
)

// compareStart compares the start times of the processes of two entries of an instance.
// Entries without a start time count as the same process.
func compareStart(b, than carobward.Backend) int {
	if b.Start == 0 || than.Start == 0 {
		return same
	}

	return cmp.Compare(b.Start, than.Start)
}

// Unblock lets all servers of a service get requests at once again, whatever failures there
// were: those while no server was reached say nothing about any of them.
func (t *Table) Unblock(service carobward.Service) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	for _, s := range t.byInstance {
		if s.Backend().Service == service {
			s.unblock()
		}
	}
}

// SetNeighbours sets the other entry VMs of the failure domain, among which its servers are
// divided into subsets. Each failure domain divides the servers on its own.
func (t *Table) SetNeighbours(list []carobward.VMID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.placement.setNeighbours(list) || t.alone {
		t.alone = false
		t.selectAll()
	}
}

// Has reports whether a server may get a request: it is in the table as the same process, is
// not leaving, and its failure domain is not evacuated.
func (t *Table) Has(b carobward.Backend) bool {
	now, ok := t.lookup(b.Instance)

	return ok && !now.Leaving && compareStart(now, b) == same && !t.isEvacuated(now.Domain)
}

// HasNewer reports whether the process of a server was replaced by a newer one.
func (t *Table) HasNewer(b carobward.Backend) bool {
	now, ok := t.lookup(b.Instance)

	return ok && compareStart(now, b) == newer
}

// Start returns the start time of a server's process, or 0 if it is not known.
func (t *Table) Start(i carobward.Instance) carobward.Start {
	now, _ := t.lookup(i)

	return now.Start
}

// IsCurrent reports whether an entry is the one in the table.
func (t *Table) IsCurrent(b carobward.Backend) bool {
	t.mutex.RLock()
	s := t.byInstance[b.Instance]
	t.mutex.RUnlock()

	if s == nil {
		return false
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.backend == b
}

// lookup returns the current entry of an instance.
func (t *Table) lookup(i carobward.Instance) (carobward.Backend, bool) {
	t.mutex.RLock()
	s := t.byInstance[i]
	t.mutex.RUnlock()

	if s == nil {
		return carobward.Backend{}, false
	}

	return s.Backend(), true
}

// CountOf returns the number of servers of a service outside evacuated failure domains.
func (t *Table) CountOf(service carobward.Service) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	if g := t.groups[service]; g != nil {
		return g.count
	}

	return 0
}

// Count returns the number of servers.
func (t *Table) Count() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return len(t.byInstance)
}
