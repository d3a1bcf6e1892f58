package cwturn

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// named is a waiter of the tests.
type named struct {
	name string
	turn *Turn
}

// Turn implements Waiter.
func (n *named) Turn() *Turn { return n.turn }

// TestLine wants servers to go to waiting requests in order, past those that may
// not have them, and only the first to look at servers itself once that was in vain.
func TestLine(t *testing.T) {
	var l Line[*named]

	all := []*named{
		{"late", turn(0, time.Second)}, {"first", turn(1, 50*time.Millisecond)}, {"urgent", turn(0, 0)}, {"last", turn(1, 0)},
	}
	for _, w := range all {
		l.Join(w)
	}

	for _, w := range all {
		if !l.Looks(w, begin) {
			t.Errorf("%s does not look while there may be room", w.name)
		}
	}

	all[2].turn.Vain = true

	for _, w := range all {
		if got := l.Looks(w, begin); got != (w.name == "urgent") {
			t.Errorf("%s looks: %v", w.name, got)
		}
	}

	if w, _ := l.First(begin, func(w *named) bool { return w.name != "urgent" }); w.name != "first" {
		t.Errorf("past the urgent one, %s", w.name)
	}

	var order []string

	for {
		w, ok := l.First(begin, func(*named) bool { return true })
		if !ok {
			break
		}

		order = append(order, w.name)
		l.Leave(w)
		l.Leave(w)
	}

	if diff := cmp.Diff([]string{"urgent", "first", "last", "late"}, order); diff != "" {
		t.Error(diff)
	}
}

// TestPace wants the pace to be that of the faster servers, usual where little is
// known, and to follow a change within a few dozen looks.
func TestPace(t *testing.T) {
	var p Pace

	add := func(n int, slowness ...float64) float64 {
		for i := range n {
			p.Add(slowness[i%len(slowness)])
		}

		return p.Now()
	}

	got := []float64{
		p.Now(), add(3, 5), add(40, 5), add(40, 1, 1, 1, 5), add(40, 5, 5, 1), add(40, 5, 5, 5, 5, 1), add(40, 0),
	}

	if diff := cmp.Diff([]float64{1, 1, 5, 1, 1, 5, 1}, got); diff != "" {
		t.Error(diff)
	}
}
