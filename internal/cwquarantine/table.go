package cwquarantine

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// Table holds the requests that were in flight when servers crashed, and decides which of them are
// quarantined. It is safe for concurrent use.
type Table struct {
	mutex    sync.RWMutex
	suspects map[contentKey]*suspect
	// lineCounts counts the suspects by the digest of method, host, path and query.
	lineCounts map[Digest]int
	// crashCount is the number of crashes.
	crashCount int
	// hasCrashes reports whether there are any crashes. Without them no request is looked up.
	hasCrashes atomic.Bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{suspects: map[contentKey]*suspect{}, lineCounts: map[Digest]int{}}
}

// MayContain reports whether a server crashed with a request of this method, host, path and query
// in flight. It costs nothing while there are no crashes.
func (t *Table) MayContain(c *carobward.Call) bool {
	if !t.hasCrashes.Load() {
		return false
	}

	line := lineDigest(c)

	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.lineCounts[line] > 0
}

// Decide returns whether a request may be sent.
func (t *Table) Decide(fp Fingerprint, now time.Time) Decision {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	s := t.suspects[fp.contentKey()]
	if s == nil {
		return Decision{}
	}

	return s.decide(fp, wall(now))
}

// Crashes returns the number of servers that crashed with this request of this caller in flight.
func (t *Table) Crashes(fp Fingerprint, now time.Time) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	s := t.suspects[fp.contentKey()]
	if s == nil {
		return 0
	}

	n, _ := countCrashes(s.callers[fp.Caller], wall(now))

	return n
}

// AddCrash records a crash and reports whether it is new.
func (t *Table) AddCrash(c Crash, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.add(c, wall(now))
}

// add records a crash; the mutex must be held. A time in the future, which comes from another
// clock, is replaced by now: the crash would be remembered for too long otherwise.
func (t *Table) add(c Crash, now time.Time) bool {
	if c.At = wall(c.At); c.At.After(now) {
		c.At = now
	}

	key := c.Fingerprint.contentKey()
	s := t.suspects[key]

	if s == nil {
		s = newSuspect()
	}

	list := s.callers[c.Fingerprint.Caller]
	if _, ok := list[c.serverDigest()]; ok || !t.hasRoom(len(list)) {
		return false
	}

	if list == nil {
		list = map[Digest]Crash{}
		s.callers[c.Fingerprint.Caller] = list
	}

	if t.suspects[key] == nil {
		t.suspects[key] = s
		t.lineCounts[key.line]++
	}

	list[c.serverDigest()] = c
	t.crashCount++
	t.hasCrashes.Store(true)

	return true
}

// hasRoom reports whether one more crash can be recorded of a request that has this number of them;
// the mutex must be held.
func (t *Table) hasRoom(crashes int) bool {
	limit := maxCrashes
	if crashes > 0 {
		limit += maxCrashes
	}

	return t.crashCount < limit && crashes < maxCallerCrashes
}

// Change describes what changed in a table by items of the store.
type Change struct {
	// Added are the new crashes, Quarantined the requests that became quarantined, and Released
	// those whose quarantine ended.
	Added       []Crash
	Quarantined []Fingerprint
	Released    []Fingerprint
	// Orphans are trials of requests without crashes.
	Orphans []Trial
	// Errors holds the errors of records that could not be decoded.
	Errors []error
}

// Put applies changed items of the store. Items other than crashes and trials are ignored.
func (t *Table) Put(items []carobward.Item, now time.Time) Change {
	var change Change

	now = wall(now)

	for i := range items {
		if strings.HasPrefix(string(items[i].Key), prefixCrash) {
			t.applyCrash(&items[i], now, &change)
		}
	}

	// A trial is recorded only with crashes of its request, so crashes come first.
	for i := range items {
		if strings.HasPrefix(string(items[i].Key), prefixTrial) {
			t.applyTrial(&items[i], &change)
		}
	}

	return change
}

func (t *Table) applyCrash(it *carobward.Item, now time.Time, change *Change) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if it.Deleted {
		t.removeCrashKey(it.Key, now, change)

		return
	}

	c, err := decodeCrash(it.Key, it.Value)
	if err != nil {
		change.Errors = append(change.Errors, err)

		return
	}

	before := t.isQuarantined(c.Fingerprint, now)
	if t.add(c, now) {
		change.Added = append(change.Added, c)
	}

	if !before && t.isQuarantined(c.Fingerprint, now) {
		change.Quarantined = append(change.Quarantined, c.Fingerprint)
	}
}

// isQuarantined reports whether a request is quarantined; the mutex must be held.
func (t *Table) isQuarantined(fp Fingerprint, now time.Time) bool {
	s := t.suspects[fp.contentKey()]

	return s != nil && s.decide(fp, now).Quarantined
}

// removeCrashKey removes the crash with a key of the store; the mutex must be held.
func (t *Table) removeCrashKey(key carobward.Key, now time.Time, change *Change) {
	text, server, _ := strings.Cut(strings.TrimPrefix(string(key), prefixCrash), "/")

	fp, err := ParseFingerprint(text)
	if err != nil {
		return // Such a record was never added.
	}

	before := t.isQuarantined(fp, now)

	if s := t.suspects[fp.contentKey()]; s != nil {
		for d := range s.callers[fp.Caller] {
			if d.String() == server {
				t.removeCrash(fp, d)
			}
		}
	}

	if before && !t.isQuarantined(fp, now) {
		change.Released = append(change.Released, fp)
	}
}

// removeCrash removes one crash; the mutex must be held.
func (t *Table) removeCrash(fp Fingerprint, server Digest) {
	key := fp.contentKey()
	s := t.suspects[key]

	delete(s.callers[fp.Caller], server)
	t.crashCount--

	if len(s.callers[fp.Caller]) == 0 {
		delete(s.callers, fp.Caller)
	}

	if len(s.callers) > 0 {
		return
	}

	delete(t.suspects, key)

	if t.lineCounts[key.line]--; t.lineCounts[key.line] == 0 {
		delete(t.lineCounts, key.line)
	}

	t.hasCrashes.Store(t.crashCount > 0)
}

func (t *Table) applyTrial(it *carobward.Item, change *Change) {
	if it.Deleted {
		return // The crashes are removed as well, and the trials with them.
	}

	trial, err := decodeTrial(it.Key, it.Value)
	if err != nil {
		change.Errors = append(change.Errors, err)

		return
	}

	if !t.AddTrial(trial) {
		change.Orphans = append(change.Orphans, trial)
	}
}

// AddTrial records a trial, and reports whether its request has crashes.
func (t *Table) AddTrial(trial Trial) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	s := t.suspects[trial.Fingerprint.contentKey()]
	if s == nil {
		return false
	}

	all := s.trials[trial.Fingerprint.Caller]
	all[trial.Number-1] = trial.At
	s.trials[trial.Fingerprint.Caller] = all

	return true
}

// Answered removes the crashes of a request that was answered, since servers survive it. It returns
// the keys to delete from the store. Crashes of other callers stay if they are enough to quarantine
// the request for their caller.
func (t *Table) Answered(fp Fingerprint) []carobward.Key {
	return t.forget(fp.contentKey(), func(caller Digest, crashes int) bool { return caller == fp.Caller || crashes < crashThreshold })
}

// Lift removes the crashes of a request for all callers and returns the keys to delete from the
// store.
func (t *Table) Lift(fp Fingerprint) []carobward.Key {
	return t.forget(fp.contentKey(), func(Digest, int) bool { return true })
}

// forget removes the crashes and trials of a request for the callers for which match returns true,
// and all trials of the request once no crash is left. It returns the keys to delete from the
// store.
func (t *Table) forget(key contentKey, match func(caller Digest, crashes int) bool) []carobward.Key {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	s := t.suspects[key]
	if s == nil {
		return nil
	}

	var keys []carobward.Key

	for caller, list := range s.callers {
		if !match(caller, len(list)) {
			continue
		}

		keys = append(keys, s.trialKeys(key, caller)...)
		delete(s.trials, caller)

		for server, c := range list {
			keys = append(keys, c.key())
			t.removeCrash(c.Fingerprint, server)
		}
	}

	if len(s.callers) == 0 {
		keys = append(keys, s.allTrialKeys(key)...)
	}

	return keys
}

// Outdated returns keys to delete from the store, up to a maximum number: those of crashes that are
// too old and, if there are many crashes, of the oldest whose request crashed only one server.
func (t *Table) Outdated(now time.Time, limit int) []carobward.Key {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var (
		keys    []carobward.Key
		singles []Crash
	)

	now = wall(now)

	for key, s := range t.suspects {
		all := s.crashes()

		// The table forgets the trials together with the last crash, so they are deleted before it.
		if n, _ := countCrashes(all, now); n == 0 {
			keys = append(keys, s.allTrialKeys(key)...)
		}

		for _, c := range all {
			switch {
			case now.Sub(c.At) >= crashRetention:
				keys = append(keys, s.crashKeys(c.serverDigest())...)
			case len(all) == 1:
				singles = append(singles, c)
			}
		}
	}

	slices.SortFunc(singles, func(a, b Crash) int { return a.At.Compare(b.At) })

	for _, c := range singles[:max(0, min(len(singles), t.crashCount-pruneThreshold))] {
		keys = append(keys, c.key())
	}

	return keys[:min(len(keys), limit)]
}
