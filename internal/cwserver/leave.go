package cwserver

import (
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
	// fresh is the time in Unix nanoseconds until which the levels may be
	// relied on; 0 means for ever.
	fresh atomic.Int64
}

func newLeave() *leave {
	return &leave{levels: map[carobward.Address]Level{}, words: map[carobward.Address]Word{}}
}

// SetLevels replaces what is known of leaving servers.
func (t *Table) SetLevels(levels map[carobward.Address]Level) {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	t.leave.levels = levels
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

// TakeWords returns the words that servers said since the last time. SetLevels
// must follow with what becomes of them.
func (t *Table) TakeWords() []Word {
	t.leave.mutex.Lock()
	defer t.leave.mutex.Unlock()

	var words []Word

	for _, w := range t.leave.words {
		words = append(words, w)
	}

	clear(t.leave.words)

	return words
}

// say takes a server's word. It is called for each report and so returns fast
// where there is no news.
func (s *Server) say(r carobward.Report) {
	if s.leave == nil || !r.Draining && (r.Run == 0 || !s.Leaving.Load()) {
		return
	}

	s.leave.mutex.Lock()
	defer s.leave.mutex.Unlock()

	// A late word of a server whose address another one has by now says
	// nothing of that one.
	if owner := s.leave.owners[s.Address]; owner != nil && owner != s {
		return
	}

	s.leave.words[s.Address] = Word{Address: s.Address, Run: r.Run, Draining: r.Draining}

	if r.Draining {
		s.Leaving.Store(true)
	}
}

// SetFresh tells until when the levels may be relied on.
func (t *Table) SetFresh(until time.Time) { t.leave.fresh.Store(until.UnixNano()) }

// MayDispatch tells whether new work may go to a server now. It must be asked
// right before each dispatch, be it the first, queued, retried or hedged. An
// entry VM that was paused gives out no work until it has heard the news.
func (t *Table) MayDispatch(s *Server, now time.Time) bool {
	if s.Leaving.Load() {
		return false
	}

	fresh := t.leave.fresh.Load()

	return fresh == 0 || now.UnixNano() <= fresh
}
