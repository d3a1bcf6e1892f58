package cwquarantine

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// Table has the requests under which servers ended, and decides which of them are
// sent no more. It is safe for use by several goroutines.
type Table struct {
	mutex    sync.RWMutex
	contents map[content]*suspect
	// lines counts the requests with a first part of the print.
	lines map[Digest]int
	// records counts the crashes.
	records int
	// full tells that there are any, so that requests have to be looked up.
	full atomic.Bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{contents: map[content]*suspect{}, lines: map[Digest]int{}}
}

// Watches tells whether a server ended under a request with this method, host, path and
// query. It costs nothing while no server has ended.
func (t *Table) Watches(c *carobward.Call) bool {
	if !t.full.Load() {
		return false
	}

	line := lineOf(c)

	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.lines[line] > 0
}

// Decide returns what happens to a request.
func (t *Table) Decide(p Print, now time.Time) Decision {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	s := t.contents[p.content()]
	if s == nil {
		return Decision{}
	}

	return s.decide(p, wall(now))
}

// Crashes returns how many servers ended under a request of this caller.
func (t *Table) Crashes(p Print, now time.Time) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	s := t.contents[p.content()]
	if s == nil {
		return 0
	}

	n, _ := count(s.callers[p.Caller], wall(now))

	return n
}

// Add notes a crash. It tells whether that is news.
func (t *Table) Add(c Crash, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.add(c, wall(now))
}

// add notes a crash; the mutex is held. A time that another clock has in the future
// counts as now: it would last for longer than it may.
func (t *Table) add(c Crash, now time.Time) bool {
	if c.At = wall(c.At); c.At.After(now) {
		c.At = now
	}

	key := c.Print.content()
	s := t.contents[key]

	if s == nil {
		s = newSuspect()
	}

	list := s.callers[c.Print.Caller]
	if _, ok := list[c.server()]; ok || !t.hasRoom(len(list)) {
		return false
	}

	if list == nil {
		list = map[Digest]Crash{}
		s.callers[c.Print.Caller] = list
	}

	if t.contents[key] == nil {
		t.contents[key] = s
		t.lines[key.line]++
	}

	list[c.server()] = c
	t.records++
	t.full.Store(true)

	return true
}

// hasRoom tells whether one more crash is remembered of a request that has some; the
// mutex is held.
func (t *Table) hasRoom(crashes int) bool {
	most := recordsMost
	if crashes > 0 {
		most += recordsMost
	}

	return t.records < most && crashes < keptMost
}

// Change is what items of the store changed.
type Change struct {
	// Added are crashes that are news, Held the requests that are quarantined since,
	// and Freed those that are so no more.
	Added []Crash
	Held  []Print
	Freed []Print
	// Alone are trials of requests under which no server ended.
	Alone []Trial
	// Wrong has what could not be read.
	Wrong []error
}

// Put takes changed items of the store, others than crashes and trials among them.
func (t *Table) Put(items []carobward.Item, now time.Time) Change {
	var change Change

	now = wall(now)

	for i := range items {
		if strings.HasPrefix(string(items[i].Key), prefixCrash) {
			t.putCrash(&items[i], now, &change)
		}
	}

	// A trial is kept with the crashes that it belongs to.
	for i := range items {
		if strings.HasPrefix(string(items[i].Key), prefixTrial) {
			t.putTrial(&items[i], &change)
		}
	}

	return change
}

func (t *Table) putCrash(it *carobward.Item, now time.Time, change *Change) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if it.Gone {
		t.removeKey(it.Key, now, change)

		return
	}

	c, err := decodeCrash(it.Key, it.Value)
	if err != nil {
		change.Wrong = append(change.Wrong, err)

		return
	}

	before := t.isHeld(c.Print, now)
	if t.add(c, now) {
		change.Added = append(change.Added, c)
	}

	if !before && t.isHeld(c.Print, now) {
		change.Held = append(change.Held, c.Print)
	}
}

// isHeld tells whether a request is quarantined; the mutex is held.
func (t *Table) isHeld(p Print, now time.Time) bool {
	s := t.contents[p.content()]

	return s != nil && s.decide(p, now).Held
}

// removeKey forgets the crash that a key stands for; the mutex is held.
func (t *Table) removeKey(key carobward.Key, now time.Time, change *Change) {
	text, server, _ := strings.Cut(strings.TrimPrefix(string(key), prefixCrash), "/")

	p, err := ParsePrint(text)
	if err != nil {
		return // It was never taken.
	}

	before := t.isHeld(p, now)

	if s := t.contents[p.content()]; s != nil {
		for d := range s.callers[p.Caller] {
			if d.String() == server {
				t.remove(p, d)
			}
		}
	}

	if before && !t.isHeld(p, now) {
		change.Freed = append(change.Freed, p)
	}
}

// remove forgets one crash; the mutex is held.
func (t *Table) remove(p Print, server Digest) {
	key := p.content()
	s := t.contents[key]

	delete(s.callers[p.Caller], server)
	t.records--

	if len(s.callers[p.Caller]) == 0 {
		delete(s.callers, p.Caller)
	}

	if len(s.callers) > 0 {
		return
	}

	delete(t.contents, key)

	if t.lines[key.line]--; t.lines[key.line] == 0 {
		delete(t.lines, key.line)
	}

	t.full.Store(t.records > 0)
}

func (t *Table) putTrial(it *carobward.Item, change *Change) {
	if it.Gone {
		return // The crashes go with it, and the trials with them.
	}

	trial, err := decodeTrial(it.Key, it.Value)
	if err != nil {
		change.Wrong = append(change.Wrong, err)

		return
	}

	if !t.Tried(trial) {
		change.Alone = append(change.Alone, trial)
	}
}

// Tried notes a trial, and tells whether servers ended under its request.
func (t *Table) Tried(trial Trial) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	s := t.contents[trial.Print.content()]
	if s == nil {
		return false
	}

	all := s.trials[trial.Print.Caller]
	all[trial.Number-1] = trial.At
	s.trials[trial.Print.Caller] = all

	return true
}

// Answered forgets the crashes under a request that was answered: servers bear it. It
// returns the keys that are to go from the store. What stays are those that alone
// are enough to hold the request of another caller.
func (t *Table) Answered(p Print) []carobward.Key {
	return t.forget(p.content(), func(caller Digest, crashes int) bool { return caller == p.Caller || crashes < crashesMost })
}

// Lift forgets the crashes under a request of all callers, and returns the keys that
// are to go from the store.
func (t *Table) Lift(p Print) []carobward.Key {
	return t.forget(p.content(), func(Digest, int) bool { return true })
}

// forget removes the crashes under a request of the callers that goes names, and the
// trials with the last of them.
func (t *Table) forget(key content, goes func(caller Digest, crashes int) bool) []carobward.Key {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	s := t.contents[key]
	if s == nil {
		return nil
	}

	var keys []carobward.Key

	for caller, list := range s.callers {
		if !goes(caller, len(list)) {
			continue
		}

		keys = append(keys, s.trialKeys(key, caller)...)
		delete(s.trials, caller)

		for server, c := range list {
			keys = append(keys, c.key())
			t.remove(c.Print, server)
		}
	}

	if len(s.callers) == 0 {
		keys = append(keys, s.allTrialKeys(key)...)
	}

	return keys
}

// Outdated returns up to a number of keys of the store that are to go: of crashes that
// are too long ago and, where there are many, the oldest whose request ended no
// second server.
func (t *Table) Outdated(now time.Time, most int) []carobward.Key {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var (
		keys  []carobward.Key
		alone []Crash
	)

	now = wall(now)

	for key, s := range t.contents {
		all := s.all()

		// Once the last crash has gone nobody knows of the trials.
		if n, _ := count(all, now); n == 0 {
			keys = append(keys, s.allTrialKeys(key)...)
		}

		for _, c := range all {
			switch {
			case now.Sub(c.At) >= keepTime:
				keys = append(keys, s.keysAt(c.server())...)
			case len(all) == 1:
				alone = append(alone, c)
			}
		}
	}

	slices.SortFunc(alone, func(a, b Crash) int { return a.At.Compare(b.At) })

	for _, c := range alone[:max(0, min(len(alone), t.records-recordsMany))] {
		keys = append(keys, c.key())
	}

	return keys[:min(len(keys), most)]
}
