package delivery

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"carobward.example/carobward"
)

// fate is what became of a request.
type fate string

// The fates of a request.
const (
	// whole: the whole answer of the server came.
	whole fate = "whole"
	// refused: the entry VM refused it, and it has not run.
	refused fate = "refused"
	// unread: it has not run, and nothing came back.
	unread fate = "not read"
	// cut: a server answered, and not all of the answer came.
	cut fate = "CUT"
	// seemsWhole: the same, and the caller can't tell.
	seemsWhole fate = "CUT, SEEMS WHOLE"
	// lost: it has run, and nothing that a server answered came back.
	lost fate = "LOST"
)

// rowOf returns the key of the row of a request.
func rowOf(id carobward.RequestID) string {
	key, _, _ := strings.Cut(string(id), ".")

	return key
}

// fateOf returns what became of a request.
func (p *play) fateOf(q *request) fate {
	p.mutex.Lock()
	ran, answered := p.ran[q.id], p.answered[q.id]
	p.mutex.Unlock()

	byServer := q.header.Get("Response-Seal") == "s."+string(q.id)

	switch {
	case byServer && q.whole:
		return whole
	case byServer && q.err == nil:
		return seemsWhole
	case answered:
		return cut
	case ran:
		return lost
	case q.status == http.StatusServiceUnavailable && q.header.Get("Retry-After") != "":
		return refused
	case q.status == 0:
		return unread
	default:
		return lost
	}
}

// tally has the fates of the requests of one row.
type tally struct {
	fates map[fate]int
	// example is one request that was cut or lost.
	example string
}

// answers returns how many requests a server answered, cuts how many of those answers did not come whole.
func (l *tally) answers() int { return l.fates[whole] + l.cuts() }

func (l *tally) cuts() int { return l.fates[cut] + l.fates[seemsWhole] + l.fates[lost] }

// tallies returns the fates by row.
func (p *play) tallies() map[string]*tally {
	all := map[string]*tally{}

	for _, c := range p.callers {
		if all[c.label] == nil {
			all[c.label] = &tally{fates: map[fate]int{}}
		}

		l := all[c.label]

		for _, q := range c.requests {
			f := p.fateOf(q)
			l.fates[f]++

			if f == cut || f == seemsWhole || f == lost {
				l.example = fmt.Sprintf("%s %s, status %d, %d bytes of %d, sent %s after the signal: %v", q.id, f, q.status, q.read, c.row.length, q.sent.Sub(p.signal), q.err)
			}
		}
	}

	return all
}

// checkRows checks each row in a test of its own.
func (p *play) checkRows(t *testing.T) {
	t.Helper()

	all := p.tallies()

	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) { all[name].check(t) })
	}
}

// check checks all rows together.
func (p *play) check(t *testing.T) {
	t.Helper()

	all := p.tallies()

	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Log(name)
		all[name].check(t)
	}
}

// check fails if an answer was cut, or none came.
func (l *tally) check(t *testing.T) {
	t.Helper()
	t.Logf("%d of %d answers cut, %v", l.cuts(), l.answers(), l.fates)

	if l.cuts() > 0 {
		t.Errorf("%d of %d answers cut: %s", l.cuts(), l.answers(), l.example)
	}

	if l.answers() == 0 {
		t.Error("no server answered")
	}
}
