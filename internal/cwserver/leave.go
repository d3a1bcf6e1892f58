package cwserver

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// Level is how certain it is that a server is leaving.
type Level uint8

// The levels.
const (
	// Stays: nothing shows that it is leaving.
	Stays Level = iota
	// MayLeave: only its health endpoint reports it. The server gets no new
	// work while another server of its service stays.
	MayLeave
	// Leaves: the server announced it in a reply, or the VM list or an
	// operator declared it. The server gets no new work.
	Leaves
)

// Announcement is what a server announced about itself with a reply.
type Announcement struct {
	// Address is the server.
	Address carobward.Address
	// Run is a number that rises with each start of the server, or 0 if it
	// reports none.
	Run uint64
	// Draining is true if the server takes no new work.
	Draining bool
}

// leaveState is the part of a Table that concerns leaving servers.
type leaveState struct {
	mutex         sync.Mutex
	levels        map[carobward.Address]Level
	announcements map[carobward.Address]Announcement
	// owners maps each address to the server that the VM list has there.
	owners map[carobward.Address]*Server
	// freshUntil is the instant up to which the levels are up to date; 0 means
	// that they never expire.
	freshUntil atomic.Int64
}

func newLeaveState() *leaveState {
	return &leaveState{levels: map[carobward.Address]Level{}, announcements: map[carobward.Address]Announcement{}}
}

// SetLevels replaces the levels of all servers. The announcements in taken are
// accounted for in them and are removed unless a newer one replaced them.
func (t *Table) SetLevels(levels map[carobward.Address]Level, taken []Announcement) {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	for _, a := range taken {
		if t.leave.announcements[a.Address] == a {
			delete(t.leave.announcements, a.Address)
		}
	}

	t.leave.levels = maps.Clone(levels)
	t.refreshLeaving()
}

// updateLeaving applies the VM list. A server that is listed as leaving gets no
// new work from now on; SetLevels confirms or replaces that level later.
func (t *Table) updateLeaving(list []carobward.VM, owners map[carobward.Address]*Server) {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	t.leave.owners = owners

	for _, v := range list {
		if v.State == carobward.Leaving && v.Service != carobward.EntryService {
			t.leave.levels[v.Address] = Leaves
		}
	}

	t.refreshLeaving()
}

// refreshLeaving sets Leaving for each server; the mutex of leave must be held.
func (t *Table) refreshLeaving() {
	for _, list := range *t.byService.Load() {
		staying := 0

		for _, s := range list {
			if t.leave.level(s.Address) == Stays {
				staying++
			}
		}

		for _, s := range list {
			level := t.leave.level(s.Address)
			s.Leaving.Store(level == Leaves || level == MayLeave && staying > 0)
		}
	}
}

// level returns the level of the server at an address, with announcements that
// SetLevels has not taken yet.
func (l *leaveState) level(a carobward.Address) Level {
	if n, ok := l.announcements[a]; ok && n.Draining {
		return Leaves
	}

	return l.levels[a]
}

// Announcements returns the announcements that SetLevels has not taken yet.
func (t *Table) Announcements() []Announcement {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	return slices.Collect(maps.Values(t.leave.announcements))
}

// All returns the servers of all services.
func (t *Table) All() []*Server {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	return slices.Collect(maps.Values(t.leave.owners))
}

// Has reports whether the VM list has a server at an address.
func (t *Table) Has(a carobward.Address) bool {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	return t.leave.owners[a] != nil
}

// updateDraining records whether a report announces that the server is
// draining. It runs for each report, so it returns early if nothing changed.
func (s *Server) updateDraining(r carobward.Report) {
	if !r.Draining && (r.Run == 0 || !s.Leaving.Load()) {
		return
	}

	if s.leave == nil { // The server belongs to no table.
		s.Leaving.Store(r.Draining)

		return
	}

	s.leave.mutex.Lock()
	defer s.leave.mutex.Unlock()

	// Another server may have the address by now; a late report of the old one
	// does not apply to it.
	if owner := s.leave.owners[s.Address]; owner != nil && owner != s {
		return
	}

	// A reply sent before the drain may arrive after one that announced it.
	if old, ok := s.leave.announcements[s.Address]; ok && old.Draining && !r.Draining && r.Run <= old.Run {
		return
	}

	s.leave.announcements[s.Address] = Announcement{Address: s.Address, Run: r.Run, Draining: r.Draining}

	if r.Draining {
		s.Leaving.Store(true)
	}
}

// SetFreshUntil sets the time up to which the levels count as up to date.
func (t *Table) SetFreshUntil(until time.Time) { t.leave.freshUntil.Store(int64(toInstant(until))) }

// MayDispatch reports whether new work may go to a server now. It must be
// called right before each dispatch, whether the call is a first one, queued,
// retried or hedged. An entry VM that was paused dispatches nothing until it has
// received current levels.
func (t *Table) MayDispatch(s *Server, now time.Time) bool {
	return !s.Leaving.Load() && t.Fresh(now)
}

// Fresh reports whether the levels are up to date.
func (t *Table) Fresh(now time.Time) bool {
	until := t.leave.freshUntil.Load()

	return until == 0 || int64(toInstant(now)) <= until
}
