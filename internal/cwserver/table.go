// Package cwserver holds the table of servers with the state that this entry VM
// keeps of each: load, latency, ejection and whether it is leaving.
package cwserver

import (
	"sync"
	"sync/atomic"

	"carobward.example/carobward"
)

// Table holds all servers by service.
type Table struct {
	mutex     sync.Mutex
	byAddress map[carobward.Address]*Server
	groups    map[carobward.Service]*Group
	byService atomic.Pointer[map[carobward.Service][]*Server]
	leave     *leaveState
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		byAddress: map[carobward.Address]*Server{},
		groups:    map[carobward.Service]*Group{},
		leave:     newLeaveState(),
	}
	t.byService.Store(&map[carobward.Service][]*Server{})

	return t
}

// Of returns the servers of a service. The slice must not be changed.
func (t *Table) Of(s carobward.Service) []*Server { return (*t.byService.Load())[s] }

// Update applies the VM list. Servers that stay on it keep their state.
func (t *Table) Update(list []carobward.VM) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	next := make(map[carobward.Address]*Server, len(list))
	byService := map[carobward.Service][]*Server{}

	for _, v := range list {
		if v.Service == carobward.EntryService {
			continue
		}

		s := t.byAddress[v.Address]
		if s == nil || s.Service != v.Service {
			s = &Server{Address: v.Address, Service: v.Service, Domain: v.Domain, group: t.group(v.Service), leave: t.leave}
		}

		next[v.Address] = s
		byService[v.Service] = append(byService[v.Service], s)
	}

	for name, g := range t.groups {
		if _, ok := byService[name]; !ok {
			delete(t.groups, name)
		}

		g.setServers(byService[name])
	}

	t.byAddress = next
	t.byService.Store(&byService)
	t.updateLeaving(list, next)
}

// group returns the group of a service; the mutex must be held.
func (t *Table) group(s carobward.Service) *Group {
	g := t.groups[s]
	if g == nil {
		g = &Group{}
		t.groups[s] = g
	}

	return g
}
