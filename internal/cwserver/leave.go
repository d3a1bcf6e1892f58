package cwserver

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// Level tells how surely a server leaves.
type Level uint8

// The levels.
const (
	// Stays: nothing says that it leaves.
	Stays Level = iota
	// MayLeave: its health endpoint alone says so. It gets no new work while
	// another server of its service stays.
	MayLeave
	// Leaves: it said so itself, or the VM list or an operator did. It gets
	// no new work.
	Leaves
)

// Word is what a server said of itself with a reply.
type Word struct {
	// Address is the server.
	Address carobward.Address
	// Run numbers its runs, rising; 0 where it gives no number.
	Run uint64
	// Draining tells that it takes no new work.
	Draining bool
}

// leave is what a Table knows of leaving servers.
type leave struct {
	mutex  sync.Mutex
	levels map[carobward.Address]Level
	words  map[carobward.Address]Word
	// owners has the server that the VM list shows at an address.
	owners map[carobward.Address]*Server
	// fresh is the instant until which the levels may be relied on; 0 means
	// for ever.
	fresh atomic.Int64
}

func newLeave() *leave {
	return &leave{levels: map[carobward.Address]Level{}, words: map[carobward.Address]Word{}}
}

// SetLevels replaces what is known of leaving servers, in which the given
// words are taken into account.
func (t *Table) SetLevels(levels map[carobward.Address]Level, taken []Word) {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	for _, w := range taken {
		if t.leave.words[w.Address] == w {
			delete(t.leave.words, w.Address)
		}
	}

	t.leave.levels = maps.Clone(levels)
	t.refresh()
}

// listed takes what the VM list says. A server that it shows as leaving leaves
// at once; who else must know is told through SetLevels.
func (t *Table) listed(list []carobward.VM, owners map[carobward.Address]*Server) {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	t.leave.owners = owners

	for _, v := range list {
		if v.State == carobward.Leaving && v.Service != carobward.EntryService {
			t.leave.levels[v.Address] = Leaves
		}
	}

	t.refresh()
}

// refresh sets Leaving for each server; the mutex of leave is held.
func (t *Table) refresh() {
	for _, list := range *t.byService.Load() {
		stay := 0

		for _, s := range list {
			if t.leave.level(s.Address) == Stays {
				stay++
			}
		}

		for _, s := range list {
			level := t.leave.level(s.Address)
			s.Leaving.Store(level == Leaves || level == MayLeave && stay > 0)
		}
	}
}

// level returns the level with the words that are not yet taken.
func (l *leave) level(a carobward.Address) Level {
	if w, ok := l.words[a]; ok && w.Draining {
		return Leaves
	}

	return l.levels[a]
}

// Words returns what servers said since it was last taken into account.
func (t *Table) Words() []Word {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	return slices.Collect(maps.Values(t.leave.words))
}

// All returns the servers of all services.
func (t *Table) All() []*Server {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	return slices.Collect(maps.Values(t.leave.owners))
}

// Has tells whether the VM list shows a server at an address.
func (t *Table) Has(a carobward.Address) bool {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	return t.leave.owners[a] != nil
}

// say takes a server's word. It is called for each report and so returns fast
// where there is no news.
func (s *Server) say(r carobward.Report) {
	if !r.Draining && (r.Run == 0 || !s.Leaving.Load()) {
		return
	}

	if s.leave == nil { // It belongs to no table.
		s.Leaving.Store(r.Draining)

		return
	}

	s.leave.mutex.Lock()
	defer s.leave.mutex.Unlock()

	// A late word of a server whose address another one has by now says
	// nothing of that one.
	if owner := s.leave.owners[s.Address]; owner != nil && owner != s {
		return
	}

	// A reply from before the drain may come after one that told of it.
	if old, ok := s.leave.words[s.Address]; ok && old.Draining && !r.Draining && r.Run <= old.Run {
		return
	}

	s.leave.words[s.Address] = Word{Address: s.Address, Run: r.Run, Draining: r.Draining}

	if r.Draining {
		s.Leaving.Store(true)
	}
}

// SetFresh tells until when the levels may be relied on.
func (t *Table) SetFresh(until time.Time) { t.leave.fresh.Store(int64(at(until))) }

// MayDispatch tells whether new work may go to a server now. It must be asked
// right before each dispatch, be it the first, queued, retried or hedged. An
// entry VM that was paused gives out no work until it has heard the news.
func (t *Table) MayDispatch(s *Server, now time.Time) bool {
	return !s.Leaving.Load() && t.Fresh(now)
}

// Fresh tells whether the levels may be relied on.
func (t *Table) Fresh(now time.Time) bool {
	fresh := t.leave.fresh.Load()

	return fresh == 0 || int64(at(now)) <= fresh
}
