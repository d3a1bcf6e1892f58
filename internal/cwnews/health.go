package cwnews

import (
	"time"

	"carobward.example/carobward"
)

// Check is what came of one health check.
type Check uint8

// The outcomes of a health check.
const (
	// Fine: the health endpoint said that the server serves.
	Fine Check = iota
	// Draining: it said that the server takes no new work.
	Draining
	// Refused: nothing listens at the address.
	Refused
	// Silent: no answer, which says nothing about leaving.
	Silent
)

var checkNames = [...]string{Fine: "fine", Draining: "draining", Refused: "refused", Silent: "silent"}

// String returns the outcome's name.
func (c Check) String() string {
	if int(c) < len(checkNames) {
		return checkNames[c]
	}

	return "unknown"
}

// fineLeast is how many healthy answers in a row end a health mark, and, once
// the address was seen refusing, the mark of the server's word: the one that
// listens there now is another run.
const fineLeast = 3

// Checked takes the outcome of a health check that was sent at some time. One
// sent before the mark came does not speak against it.
func (t *Table) Checked(sent, now time.Time, a carobward.Address, c Check) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if c == Draining && t.on(key{a, Health}) == nil {
		t.set(now, key{a, Health}, true, 0)
	}

	for _, s := range []Source{Health, Word} {
		l := t.on(key{a, s})
		if l == nil || t.age-l.since < now.Sub(sent) {
			continue
		}

		l.check(c)

		if l.fine >= fineLeast && (s == Health || l.refused) {
			t.set(now, key{a, s}, false, l.Run)
		}
	}
}

func (l *line) check(c Check) {
	switch c {
	case Fine:
		l.fine++
	case Refused:
		l.refused = true
		l.fine = 0
	case Draining, Silent:
		l.fine = 0
	}
}
