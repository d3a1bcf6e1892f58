// Package cwserver holds the table of backend servers and what this entry VM
// knows of each.
package cwserver

import (
	"sync"
	"sync/atomic"

	"carobward.example/carobward"
)

// Server is one line of the table. Its counters may be read and written at
// any time.
type Server struct {
	// Address, Service and Domain come from the VM list.
	Address carobward.Address
	Service carobward.Service
	Domain  carobward.Domain
	// Running counts our own calls in flight.
	Running atomic.Int64
	// Leaving tells that it gets no new work.
	Leaving atomic.Bool

	report atomic.Pointer[carobward.Report]
	leave  *leave
}

// Report returns the last load report; At is zero if there was none.
func (s *Server) Report() carobward.Report {
	if r := s.report.Load(); r != nil {
		return *r
	}

	return carobward.Report{}
}

// SetReport takes a load report that came with a reply.
func (s *Server) SetReport(r carobward.Report) {
	if r.At.IsZero() {
		return
	}

	s.report.Store(&r)
	s.say(r)
}

// Table holds all servers by service.
type Table struct {
	mutex     sync.Mutex
	byAddress map[carobward.Address]*Server
	byService atomic.Pointer[map[carobward.Service][]*Server]
	leave     *leave
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{byAddress: map[carobward.Address]*Server{}, leave: newLeave()}
	t.byService.Store(&map[carobward.Service][]*Server{})

	return t
}

// Of returns the servers of a service. The slice must not be changed.
func (t *Table) Of(s carobward.Service) []*Server { return (*t.byService.Load())[s] }

// Update takes the VM list. Servers that are still on it keep their state.
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
			s = &Server{Address: v.Address, Service: v.Service, Domain: v.Domain, leave: t.leave}
		}

		next[v.Address] = s
		byService[v.Service] = append(byService[v.Service], s)
	}

	t.byAddress = next
	t.byService.Store(&byService)
	t.listed(list, next)
}
