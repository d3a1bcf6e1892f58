// Package cwbackend has the table of backend servers: which there are, which
// of them this entry VM sends requests to, and what its own requests and
// health checks told it of each.
package cwbackend

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// The sets of servers that an entry VM sends to. They keep the connections of
// all entry VMs few, and are wide enough that a look at some of them finds one
// that is fast and has room.
const (
	// knownNear is how many servers of its own failure domain an entry VM
	// knows at least, if there are as many. Bytes between failure domains are
	// paid for.
	knownNear = 8
	// knownFar is how many of the others it knows at least, for when the near
	// ones have no room or are lost.
	knownFar = 4
	// knownBy is how many entry VMs of its failure domain know a server at
	// least, so that it stays in use when some of them are lost.
	knownBy = 4
)

// VM is an entry VM that shares the servers.
type VM struct {
	ID     carobward.VMID
	Domain carobward.Domain
}

// Table is the table of servers. It is safe for use by several goroutines.
type Table struct {
	self VM

	mutex      sync.RWMutex
	byInstance map[carobward.Instance]*Server
	vms        []VM
	// mine has the servers of each service that this entry VM sends to.
	mine map[carobward.Service][]*Server
	// counts has the number of all servers of each service.
	counts map[carobward.Service]int
}

// New returns an empty table for an entry VM.
func New(self VM) *Table {
	return &Table{self: self, byInstance: map[carobward.Instance]*Server{}, vms: []VM{self}}
}

// Put takes new and changed entries, and the instances that are gone.
func (t *Table) Put(list []carobward.Backend, gone []carobward.Instance, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, b := range list {
		if s := t.byInstance[b.Instance]; s != nil {
			s.update(b, now)
		} else {
			t.byInstance[b.Instance] = newServer(b, now)
		}
	}

	for _, i := range gone {
		delete(t.byInstance, i)
	}

	t.arrange()
}

// SetVMs tells which entry VMs share the servers.
func (t *Table) SetVMs(list []VM) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if slices.Equal(t.vms, list) {
		return
	}

	t.vms = slices.Clone(list)
	t.arrange()
}

// arrange sorts the servers by service and picks ours; the mutex is held.
func (t *Table) arrange() {
	near, far := map[carobward.Service][]*Server{}, map[carobward.Service][]*Server{}
	t.counts = map[carobward.Service]int{}

	for _, s := range t.byInstance {
		b := s.Backend()
		t.counts[b.Service]++

		if b.Domain == t.self.Domain {
			near[b.Service] = append(near[b.Service], s)
		} else {
			far[b.Service] = append(far[b.Service], s)
		}
	}

	var neighbours []VM

	for _, vm := range t.vms {
		if vm.Domain == t.self.Domain {
			neighbours = append(neighbours, vm)
		}
	}

	t.mine = map[carobward.Service][]*Server{}

	for service, list := range near {
		t.mine[service] = t.pick(list, neighbours, knownNear, knownBy)
	}

	for service, list := range far {
		t.mine[service] = append(t.mine[service], t.pick(list, t.vms, knownFar, 1)...)
	}
}

// pick returns the servers of a list that this entry VM sends to. Each server
// is known to the same number of the entry VMs, chosen by rendezvous hashing,
// so that no server is left out, and a change of either side moves few. That
// number is least, or more where it takes that for an entry VM to know so many
// servers.
func (t *Table) pick(list []*Server, vms []VM, known, least int) []*Server {
	if len(list) <= known || len(vms) < 2 {
		return slices.Clone(list)
	}

	each := max(least, (len(vms)*known+len(list)-1)/len(list))

	var mine, others []*Server

	for _, s := range list {
		if t.place(s, vms) < each {
			mine = append(mine, s)
		} else {
			others = append(others, s)
		}
	}

	// Chance may leave this entry VM with few.
	if lack := known/2 - len(mine); lack > 0 {
		slices.SortFunc(others, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(t.place(a, vms), t.place(b, vms)), cmp.Compare(a.Backend().Instance, b.Backend().Instance))
		})
		mine = append(mine, others[:min(lack, len(others))]...)
	}

	return mine
}

// place returns how many of the entry VMs come before this one for a server.
func (t *Table) place(s *Server, vms []VM) int {
	instance := string(s.Backend().Instance)
	own := cwrank.Weight(string(t.self.ID), instance)
	before := 0

	for _, vm := range vms {
		if vm.ID != t.self.ID && cwrank.Weight(string(vm.ID), instance) > own {
			before++
		}
	}

	return before
}

// Views returns what is known of the servers of a service that this entry VM
// sends to and that are not leaving. Usual is the usual time of a request.
func (t *Table) Views(service carobward.Service, now time.Time, usual time.Duration) []View {
	t.mutex.RLock()
	list := t.mine[service]
	t.mutex.RUnlock()

	views := make([]View, 0, len(list))

	for _, s := range list {
		if v := s.View(now, usual); !v.Leaving {
			views = append(views, v)
		}
	}

	return views
}

// Has tells whether a server is still in the table and not leaving.
func (t *Table) Has(i carobward.Instance) bool {
	t.mutex.RLock()
	s := t.byInstance[i]
	t.mutex.RUnlock()

	return s != nil && !s.Backend().Leaving
}

// VMs returns all servers as lines of a VM list.
func (t *Table) VMs() []carobward.VM {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	list := make([]carobward.VM, 0, len(t.byInstance))

	for _, s := range t.byInstance {
		b := s.Backend()
		list = append(list, carobward.VM{Address: b.Address, Service: b.Service, Domain: b.Domain})
	}

	return list
}

// CountOf returns the number of servers of a service.
func (t *Table) CountOf(service carobward.Service) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.counts[service]
}

// Count returns the number of servers.
func (t *Table) Count() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return len(t.byInstance)
}
