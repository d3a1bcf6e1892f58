package cwdrain

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// The lifetimes of marks and the limits of the table.
const (
	// missingExpiry is how long a server must be missing from the VM list
	// until its marks end, so that a new server at its address gets requests.
	// operatorMissingExpiry is the same for an operator's mark.
	missingExpiry         = 30 * time.Second
	operatorMissingExpiry = 5 * time.Minute
	// listMarkTTL is how long the VM list must show a server as live to all
	// entry VMs until the mark from the list ends. An entry VM that still
	// sees it as leaving renews the mark after listMarkRenewal.
	listMarkTTL     = 5 * time.Minute
	listMarkRenewal = time.Minute
	// endedMarkTTL is how long an ended mark is retained, so that a peer that
	// was partitioned off does not bring back the mark it replaced.
	endedMarkTTL = time.Hour
	// maxTimeStep limits how far one tick advances the uptime. A longer time
	// between ticks was a pause of this entry VM, in which it observed
	// nothing.
	maxTimeStep = 500 * time.Millisecond
	// maxMarks limits the size of the table.
	maxMarks = 1 << 14
)

type key struct {
	address carobward.Address
	source  Source
}

// entry is a mark with what this entry VM has observed since it was set.
type entry struct {
	Mark

	// setAt is the uptime when the mark was set.
	setAt time.Duration
	// missingSince is the uptime when the server disappeared from the VM list;
	// 0 if it is listed.
	missingSince time.Duration
	// sendsLeft is the number of peers that the mark is still to be sent to.
	sendsLeft int
	// refused reports whether a health check was refused since the mark was
	// set; healthy is the number of healthy answers in a row.
	refused bool
	healthy int
}

// Table holds the marks of all servers.
type Table struct {
	mutex   sync.Mutex
	entries map[key]*entry
	fanout  int
	// uptime is how long this entry VM has been running, without pauses.
	uptime   time.Duration
	lastTick time.Time
	// changed reports whether marks have changed since the last call of
	// Changed.
	changed bool
	// cachedDigests holds the digests of the buckets; nil if they must be
	// recomputed.
	cachedDigests []uint32
}

// NewTable returns a table without marks.
func NewTable() *Table { return &Table{entries: map[key]*entry{}, fanout: minFanout} }

// set stores a new mark that overrides the existing one. The caller must hold the
// mutex.
func (t *Table) set(now time.Time, k key, on bool, run uint64) {
	before := uint64(0)
	if e := t.entries[k]; e != nil {
		before = e.Time
	}

	t.put(Mark{Address: k.address, Source: k.source, On: on, Run: run, Time: nextTime(now, before)})
}

// put stores a mark that overrides the existing one, and schedules it to be sent
// to peers. The caller must hold the mutex.
func (t *Table) put(m Mark) {
	k := key{m.Address, m.Source}
	old := t.entries[k]

	if old == nil && len(t.entries) >= maxMarks {
		return
	}

	e := &entry{Mark: m, setAt: t.uptime, sendsLeft: t.fanout}

	if old != nil {
		e.missingSince = old.missingSince
	}

	t.entries[k] = e
	t.changed = true
	t.cachedDigests = nil
}

// active returns the entry of a key if its mark is on, else nil. The caller must
// hold the mutex.
func (t *Table) active(k key) *entry {
	if e := t.entries[k]; e != nil && e.On {
		return e
	}

	return nil
}

// ApplyAnnouncements processes what servers announced with replies.
func (t *Table) ApplyAnnouncements(now time.Time, announcements []cwserver.Announcement) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, a := range announcements {
		t.applyAnnouncement(now, a)
	}
}

func (t *Table) applyAnnouncement(now time.Time, a cwserver.Announcement) {
	k := key{a.Address, Announced}
	e := t.entries[k]

	if e == nil {
		if a.Draining {
			t.set(now, k, true, a.Run)
		}

		return
	}

	if a.Run > 0 && a.Run < e.Run {
		return // A late announcement of an earlier run.
	}

	begins := a.Draining && (!e.On || a.Run > e.Run)
	ends := !a.Draining && e.On && e.Run > 0 && a.Run > e.Run

	if begins || ends {
		t.set(now, k, a.Draining, a.Run)
	}
}

// SetDrain starts or reverts a drain by an operator. Reverting ends the marks of
// all sources; later signs set new ones.
func (t *Table) SetDrain(now time.Time, a carobward.Address, drain bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if drain {
		t.set(now, key{a, Operator}, true, 0)

		return
	}

	for s := range numSources {
		if e := t.active(key{a, s}); e != nil {
			t.set(now, key{a, s}, false, e.Run)
		}
	}
}

// ApplyList processes a completely read VM list. An empty list is ignored.
func (t *Table) ApplyList(now time.Time, list []carobward.VM) {
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

	for k, e := range t.entries {
		_, isListed := states[k.address]

		switch {
		case isListed:
			e.missingSince = 0
		case e.missingSince == 0:
			e.missingSince = max(1, t.uptime)
		}
	}
}

func (t *Table) listedLeaving(now time.Time, a carobward.Address) {
	k := key{a, List}
	if e := t.active(k); e == nil || t.uptime-e.setAt >= listMarkRenewal {
		t.set(now, k, true, 0)
	}
}

// Tick advances the uptime, ends marks that have expired and deletes ended marks
// after endedMarkTTL.
func (t *Table) Tick(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if !t.lastTick.IsZero() {
		t.uptime += min(max(0, now.Sub(t.lastTick)), maxTimeStep)
	}

	t.lastTick = now

	for k, e := range t.entries {
		switch {
		case e.On && t.expired(e):
			// The time is deterministic, so that all entry VMs that end
			// the mark create the same one.
			t.put(Mark{Address: e.Address, Source: e.Source, Run: e.Run, Time: e.Time + 1})
		case !e.On && t.uptime-e.setAt >= endedMarkTTL:
			delete(t.entries, k)
			t.cachedDigests = nil
		}
	}
}

// expired reports whether the mark ends without a further sign.
func (t *Table) expired(e *entry) bool {
	expiry := missingExpiry
	if e.Source == Operator {
		expiry = operatorMissingExpiry
	}

	if e.missingSince != 0 && t.uptime-max(e.missingSince, e.setAt) >= expiry {
		return true
	}

	return e.Source == List && e.missingSince == 0 && t.uptime-e.setAt >= listMarkTTL
}

// Marks returns all marks, including those that have ended, sorted by address
// and source.
func (t *Table) Marks() []Mark {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var all []Mark
	for _, e := range t.entries {
		all = append(all, e.Mark)
	}

	slices.SortFunc(all, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Source, b.Source))
	})

	return all
}

// Changed reports whether a mark has changed since the previous call.
func (t *Table) Changed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	changed := t.changed
	t.changed = false

	return changed
}

// Levels returns the highest level among the marks of each server.
func (t *Table) Levels() map[carobward.Address]cwserver.Level {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	levels := map[carobward.Address]cwserver.Level{}

	for _, e := range t.entries {
		if level := e.level(); level > levels[e.Address] {
			levels[e.Address] = level
		}
	}

	return levels
}
