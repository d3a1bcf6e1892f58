package cwquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// The rule by which a request is quarantined.
const (
	// crashesMost is how many servers have to end with a request of the same caller
	// in flight, and no answer to it, before it is sent no more. One or two come by
	// chance: an innocent request beside the one that ends servers is sent to a
	// second one, and that may end, too.
	crashesMost = 3
	// sharedMost is the same for one request of several callers together. Others
	// are refused for it who have not sent it yet, so it takes more.
	sharedMost = 5
	// ResendMost is from how many ends on an entry VM no longer sends a request to a
	// second server by itself. Its caller may still come back.
	ResendMost = 2
	// trialFirst is how long after the last end a quarantined request is sent once,
	// in the whole fleet: an innocent one is answered, and is served from then on.
	// trialNext is how long after that it is sent once more. An end of the server
	// costs the requests beside it, so there are trialsMost in all.
	trialFirst = 10 * time.Second
	trialNext  = 60 * time.Second
	trialsMost = 2
	// keepTime is how long an end is remembered. An operator who is called has seen
	// to the servers by then, or lifts the quarantine before.
	keepTime = time.Hour
	// recordsMost bounds the ends that are remembered, some 500 bytes each; requests
	// that ended a server before may take as many again. endsMost bounds those of one
	// request of one caller: more tell nothing new.
	recordsMost = 512
	endsMost    = 8
	// recordsMany is from how many on the oldest are forgotten whose request ended
	// no second server.
	recordsMany = 384
)

// Table has the requests under which servers ended, and decides which of them are
// sent no more. It is safe for use by several goroutines.
type Table struct {
	mutex    sync.RWMutex
	contents map[content]*suspect
	// lines counts the requests with a first part of the print.
	lines map[Digest]int
	// records counts the ends.
	records int
	// empty tells that there are none, so that requests need not be looked up.
	full atomic.Bool
}

// suspect is a request under which servers ended, of whichever caller.
type suspect struct {
	// callers has the ends by caller and by server.
	callers map[Digest]map[Digest]Crash
	// trials has when each trial was made.
	trials [trialsMost]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{contents: map[content]*suspect{}, lines: map[Digest]int{}}
}

// Decision says what happens to a request.
type Decision struct {
	// Held tells that it is not sent. It may come back after Wait.
	Held bool
	Wait time.Duration
	// Trial is the number of the trial by which it may be sent all the same, once;
	// 0: none.
	Trial int
}

// Watches tells whether a request with this first part of the print ended a server.
func (t *Table) Watches(line Digest) bool {
	if !t.full.Load() {
		return false
	}

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

	return s.decide(p.Caller, wall(now))
}

// wall returns a time by its wall clock alone: what the store has comes from other
// clocks, and the steady one stands still while a VM is suspended.
func wall(now time.Time) time.Time { return now.Round(0) }

func (s *suspect) decide(caller Digest, now time.Time) Decision {
	last, held := s.heldSince(caller, now)
	if !held {
		return Decision{}
	}

	for n, at := range s.trials {
		due := last.Add(trialFirst)
		if n > 0 {
			due = s.trials[n-1].Add(trialNext)
		}

		switch {
		case !at.IsZero():
			continue
		case now.Before(due):
			return Decision{Held: true, Wait: due.Sub(now)}
		default:
			return Decision{Trial: n + 1, Held: true, Wait: trialNext}
		}
	}

	return Decision{Held: true, Wait: last.Add(keepTime).Sub(now)}
}

// heldSince tells whether the request is quarantined for a caller, and returns the
// time of the last end that counts.
func (s *suspect) heldSince(caller Digest, now time.Time) (time.Time, bool) {
	own, last := count(s.callers[caller], now)
	if own >= crashesMost {
		return last, true
	}

	callers := 0

	for _, list := range s.callers {
		if n, _ := count(list, now); n > 0 {
			callers++
		}
	}

	shared, last := count(s.all(), now)

	return last, callers > 1 && shared >= sharedMost
}

// all returns the ends under the request by server, of whichever caller.
func (s *suspect) all() map[Digest]Crash {
	all := map[Digest]Crash{}

	for _, list := range s.callers {
		maps.Copy(all, list)
	}

	return all
}

// keysAt returns the keys of the end of one server, one a caller.
func (s *suspect) keysAt(server Digest) []carobward.Key {
	var keys []carobward.Key

	for _, list := range s.callers {
		if c, ok := list[server]; ok {
			keys = append(keys, c.key())
		}
	}

	return keys
}

// count returns how many ends are remembered, and the time of the last one.
func count(list map[Digest]Crash, now time.Time) (n int, last time.Time) {
	for _, c := range list {
		if now.Sub(c.At) >= keepTime {
			continue
		}

		n++

		if c.At.After(last) {
			last = c.At
		}
	}

	return n, last
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

// Add notes an end. It tells whether that is news.
func (t *Table) Add(c Crash, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.add(c, wall(now))
}

// add notes an end; the mutex is held. A time that another clock has in the future
// counts as now: it would last for longer than it may.
func (t *Table) add(c Crash, now time.Time) bool {
	if c.At.After(now) {
		c.At = now
	}

	key := c.Print.content()
	s := t.contents[key]

	if s == nil {
		s = &suspect{callers: map[Digest]map[Digest]Crash{}}
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

// hasRoom tells whether one more end is remembered of a request that has some; the
// mutex is held.
func (t *Table) hasRoom(ends int) bool {
	most := recordsMost
	if ends > 0 {
		most += recordsMost
	}

	return t.records < most && ends < endsMost
}

// Change is what items of the store changed.
type Change struct {
	// Added are ends that are news, Held the requests that are quarantined since,
	// and Freed those that are so no more.
	Added []Crash
	Held  []Print
	Freed []Print
	// Wrong has what could not be read.
	Wrong []error
}

// Put takes changed items of the store, others than ends and trials among them.
func (t *Table) Put(items []carobward.Item, now time.Time) Change {
	var change Change

	now = wall(now)

	for i := range items {
		if strings.HasPrefix(string(items[i].Key), prefixCrash) {
			t.putCrash(&items[i], now, &change)
		}
	}

	// A trial is kept with the ends that it belongs to.
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

	return s != nil && s.decide(p.Caller, now).Held
}

// removeKey forgets the end that a key stands for; the mutex is held.
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

// remove forgets one end; the mutex is held.
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
		return // The ends go with it, and the trials with them.
	}

	trial, err := decodeTrial(it.Key, it.Value)
	if err != nil {
		change.Wrong = append(change.Wrong, err)

		return
	}

	t.Tried(trial)
}

// Tried notes a trial.
func (t *Table) Tried(trial Trial) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if s := t.contents[trial.Print.content()]; s != nil {
		s.trials[trial.Number-1] = trial.At
	}
}

// Answered forgets the ends under a request that was answered: servers bear it. It
// returns the keys that are to go from the store. What stays are those that alone
// are enough to hold the request of another caller.
func (t *Table) Answered(p Print) []carobward.Key {
	return t.forget(p.content(), func(caller Digest, ends int) bool { return caller == p.Caller || ends < crashesMost })
}

// Lift forgets the ends under a request of one caller, and returns the keys that
// are to go from the store.
func (t *Table) Lift(p Print) []carobward.Key {
	return t.forget(p.content(), func(caller Digest, _ int) bool { return caller == p.Caller })
}

// forget removes the ends under a request of the callers that goes names, and the
// trials with the last of them.
func (t *Table) forget(key content, goes func(caller Digest, ends int) bool) []carobward.Key {
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

		for server, c := range list {
			keys = append(keys, c.key())
			t.remove(c.Print, server)
		}
	}

	if len(s.callers) == 0 {
		keys = append(keys, s.trialKeys(key)...)
	}

	return keys
}

// trialKeys returns the keys of the trials that were made.
func (s *suspect) trialKeys(key content) []carobward.Key {
	var keys []carobward.Key

	for n, at := range s.trials {
		if !at.IsZero() {
			keys = append(keys, trialKey(key, n+1))
		}
	}

	return keys
}

// Outdated returns up to a number of keys of the store that are to go: of ends that
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

		// Once the last end has gone nobody knows of the trials.
		if n, _ := count(all, now); n == 0 {
			keys = append(keys, s.trialKeys(key)...)
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

// Entry is one request under which servers ended, for operators.
type Entry struct {
	Print Print
	// Crashes are the ends, the newest last.
	Crashes []Crash
	// Trials is how many were made.
	Trials int

	Decision
}

// List returns all requests under which servers ended, those that are quarantined
// first.
func (t *Table) List(now time.Time) []Entry {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var all []Entry

	for _, s := range t.contents {
		trials := 0

		for _, at := range s.trials {
			if !at.IsZero() {
				trials++
			}
		}

		for caller, list := range s.callers {
			e := Entry{Trials: trials, Decision: s.decide(caller, wall(now))}

			for _, c := range list {
				e.Print = c.Print
				e.Crashes = append(e.Crashes, c)
			}

			slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
			all = append(all, e)
		}
	}

	slices.SortFunc(all, func(a, b Entry) int {
		if a.Held != b.Held {
			if a.Held {
				return -1
			}

			return 1
		}

		return cmp.Compare(a.Print.String(), b.Print.String())
	})

	return all
}

// Counts returns how many requests are quarantined, and how many ends are remembered.
func (t *Table) Counts(now time.Time) (held, crashes int) {
	for _, e := range t.List(now) {
		if e.Held {
			held++
		}

		crashes += len(e.Crashes)
	}

	return held, crashes
}
