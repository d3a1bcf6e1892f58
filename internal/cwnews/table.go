package cwnews

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// The times of a mark.
const (
	// goneAfter is how long the VM list must have dropped a server until its
	// marks end, so that a new one on its address gets work; operatorGone is
	// that of an operator's mark.
	goneAfter    = 30 * time.Second
	operatorGone = 5 * time.Minute
	// listKeep is how long the VM list must show a server as live, to all
	// entry VMs, until the list's own mark ends. Those that see it leaving
	// say so again at listRenew.
	listKeep  = 5 * time.Minute
	listRenew = time.Minute
	// endedKeep is how long an ended mark is remembered, so that a peer which
	// was cut off does not bring it back.
	endedKeep = time.Hour
	// stepMost is the longest step of our own time. What is longer was a
	// pause, in which nothing could be seen.
	stepMost = 500 * time.Millisecond
	// marksMost bounds the table.
	marksMost = 1 << 14
)

type key struct {
	address carobward.Address
	source  Source
}

// line is a mark and what this entry VM has seen since.
type line struct {
	Mark

	// since is when the mark came, in our own time.
	since time.Duration
	// gone is when the VM list dropped the server, in our own time; 0 if it
	// shows it.
	gone time.Duration
	// left is the number of peers that the mark is still to be told to.
	left int
	// refused tells that nothing listened there since the mark; fine counts
	// healthy answers since then.
	refused bool
	fine    int
}

// Table holds the marks of all servers.
type Table struct {
	mutex  sync.Mutex
	lines  map[key]*line
	spread int
	// age is the time that this entry VM has run, pauses left out.
	age    time.Duration
	ticked time.Time
	// changed tells that the levels are to be made anew.
	changed bool
	// digest has the digests of the parts; nil: they are to be made anew.
	digest []uint32
}

// NewTable returns a table without marks.
func NewTable() *Table { return &Table{lines: map[key]*line{}, spread: spreadLeast} }

// set makes a mark that overrides the one at hand; the mutex is held.
func (t *Table) set(now time.Time, k key, on bool, run uint64) {
	before := uint64(0)
	if l := t.lines[k]; l != nil {
		before = l.Time
	}

	t.put(Mark{Address: k.address, Source: k.source, On: on, Run: run, Time: next(now, before)})
}

// put takes a mark that is news; the mutex is held.
func (t *Table) put(m Mark) {
	k := key{m.Address, m.Source}
	old := t.lines[k]

	if old == nil && len(t.lines) >= marksMost {
		return
	}

	l := &line{Mark: m, since: t.age, left: t.spread}

	if old != nil {
		l.gone = old.gone
	}

	t.lines[k] = l
	t.changed = true
	t.digest = nil
}

// on returns the mark if it is on; the mutex is held.
func (t *Table) on(k key) *line {
	if l := t.lines[k]; l != nil && l.On {
		return l
	}

	return nil
}

// Words takes what servers said with replies.
func (t *Table) Words(now time.Time, words []cwserver.Word) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, w := range words {
		t.word(now, w)
	}
}

func (t *Table) word(now time.Time, w cwserver.Word) {
	k := key{w.Address, Word}
	l := t.lines[k]

	if l == nil {
		if w.Draining {
			t.set(now, k, true, w.Run)
		}

		return
	}

	if w.Run > 0 && w.Run < l.Run {
		return // A late word of an earlier run.
	}

	begins := w.Draining && (!l.On || w.Run > l.Run)
	ends := !w.Draining && l.On && l.Run > 0 && w.Run > l.Run

	if begins || ends {
		t.set(now, k, w.Draining, w.Run)
	}
}

// Operator takes an operator's word. Undoing ends the marks of each source; a
// sign that comes later counts again.
func (t *Table) Operator(now time.Time, a carobward.Address, drain bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if drain {
		t.set(now, key{a, Operator}, true, 0)

		return
	}

	for s := range sources {
		if l := t.on(key{a, s}); l != nil {
			t.set(now, key{a, s}, false, l.Run)
		}
	}
}

// Listed takes a VM list that was read whole. An empty one is passed over.
func (t *Table) Listed(now time.Time, list []carobward.VM) {
	if len(list) == 0 {
		return
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	states := make(map[carobward.Address]carobward.VMState, len(list))

	for _, v := range list {
		states[v.Address] = v.State

		if v.State == carobward.Leaving && v.Service != carobward.EntryService {
			t.listedLeaving(now, v.Address)
		}
	}

	for k, l := range t.lines {
		_, shown := states[k.address]

		switch {
		case shown:
			l.gone = 0
		case l.gone == 0:
			l.gone = max(1, t.age)
		}
	}
}

func (t *Table) listedLeaving(now time.Time, a carobward.Address) {
	k := key{a, List}
	if l := t.on(k); l == nil || t.age-l.since >= listRenew {
		t.set(now, k, true, 0)
	}
}

// Tick ends marks whose server is gone and forgets old ends.
func (t *Table) Tick(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if !t.ticked.IsZero() {
		t.age += min(max(0, now.Sub(t.ticked)), stepMost)
	}

	t.ticked = now

	for k, l := range t.lines {
		switch {
		case l.On && t.over(l):
			// Each entry VM that sees it makes the same mark.
			t.put(Mark{Address: l.Address, Source: l.Source, Run: l.Run, Time: l.Time + 1})
		case !l.On && t.age-l.since >= endedKeep:
			delete(t.lines, k)
			t.digest = nil
		}
	}
}

// over tells whether the mark has ended by itself.
func (t *Table) over(l *line) bool {
	least := goneAfter
	if l.Source == Operator {
		least = operatorGone
	}

	if l.gone != 0 && t.age-max(l.gone, l.since) >= least {
		return true
	}

	return l.Source == List && l.gone == 0 && t.age-l.since >= listKeep
}

// Marks returns all marks in order, those that have ended too.
func (t *Table) Marks() []Mark {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var all []Mark
	for _, l := range t.lines {
		all = append(all, l.Mark)
	}

	slices.SortFunc(all, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Source, b.Source))
	})

	return all
}

// Changed tells whether a mark has changed since it was last asked.
func (t *Table) Changed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	changed := t.changed
	t.changed = false

	return changed
}

// Levels returns what the marks come to for each server.
func (t *Table) Levels() map[carobward.Address]cwserver.Level {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	levels := map[carobward.Address]cwserver.Level{}

	for _, l := range t.lines {
		if level := l.level(); level > levels[l.Address] {
			levels[l.Address] = level
		}
	}

	return levels
}
