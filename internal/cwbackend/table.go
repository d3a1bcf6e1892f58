// Package cwbackend has the table of backend servers: which there are, which
// of them this entry VM sends requests to, and what its own requests and
// health checks told it of each.
package cwbackend

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
)

// known is how many servers of a service an entry VM knows at least, if there
// are as many. It keeps the connections of all entry VMs few, and is wide
// enough that a look at some of them finds one that is fast and has room.
const known = 12

// Table is the table of servers. It is safe for use by several goroutines.
type Table struct {
	self carobward.VMID

	mutex      sync.RWMutex
	byInstance map[carobward.Instance]*Server
	byService  map[carobward.Service][]*Server
	vms        []carobward.VMID
	// mine has the servers of each service that this entry VM sends to.
	mine map[carobward.Service][]*Server
}

// New returns an empty table for an entry VM.
func New(self carobward.VMID) *Table {
	return &Table{self: self, byInstance: map[carobward.Instance]*Server{}, vms: []carobward.VMID{self}}
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
func (t *Table) SetVMs(list []carobward.VMID) {
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
	t.byService = map[carobward.Service][]*Server{}
	t.mine = map[carobward.Service][]*Server{}

	for _, s := range t.byInstance {
		b := s.Backend()
		t.byService[b.Service] = append(t.byService[b.Service], s)
	}

	for service, list := range t.byService {
		t.mine[service] = t.pick(list)
	}
}

// pick returns the servers that this entry VM sends to. Each server is known
// to the same number of entry VMs, chosen by rendezvous hashing, so that no
// server is left out, and a change of either side moves few.
func (t *Table) pick(list []*Server) []*Server {
	if len(list) <= known || len(t.vms) < 2 {
		return list
	}

	each := (len(t.vms)*known + len(list) - 1) / len(list)

	var mine, others []*Server

	for _, s := range list {
		if t.place(s) < each {
			mine = append(mine, s)
		} else {
			others = append(others, s)
		}
	}

	// Chance may leave this entry VM with few.
	if lack := known/2 - len(mine); lack > 0 {
		slices.SortFunc(others, func(a, b *Server) int { return cmp.Compare(t.place(a), t.place(b)) })
		mine = append(mine, others[:min(lack, len(others))]...)
	}

	return mine
}

// place returns how many entry VMs come before this one for a server.
func (t *Table) place(s *Server) int {
	instance := s.Backend().Instance
	own := weight(t.self, instance)
	before := 0

	for _, vm := range t.vms {
		if vm != t.self && weight(vm, instance) > own {
			before++
		}
	}

	return before
}

// weight is the rendezvous hash of an entry VM and a server.
func weight(vm carobward.VMID, i carobward.Instance) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(i))

	// The last bytes of FNV's input hardly reach its high bits.
	n := h.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd

	return n ^ n>>33
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

// Count returns the number of servers.
func (t *Table) Count() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return len(t.byInstance)
}
