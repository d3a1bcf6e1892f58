package cwmesh

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
)

// large is set to play a fleet of the largest size, too, which takes minutes.
var large = flag.Bool("large", false, "also play a fleet of 472 entry VMs")

// lastDomain is the failure domain that TestRemovedNotNamed empties.
const lastDomain = carobward.Domain("hall-2")

// emptied is a fleet of which one failure domain has lost all entry VMs but the last one.
type emptied struct {
	*directoryHistory

	last *simVM
	gone []*simVM
	// lastNamed is how long after its end an entry VM was last named.
	lastNamed time.Duration
}

// newEmptied returns a fleet in which all but one entry VM of lastDomain have ended, one after the
// other.
func newEmptied(seed uint64, domains, each int) *emptied {
	const together = 3 * time.Second

	e := &emptied{directoryHistory: newDirectoryHistory(seed, domains, each)}
	e.play(2 * simFormTime)

	list := e.running(lastDomain)
	e.last, e.gone = list[0], list[1:]

	for _, v := range e.gone {
		e.end(v)
		e.watch(together / time.Duration(each))
	}

	e.watch(2 * namedTime)

	return e
}

// watch plays the fleet and notes how long those that ended are named.
func (e *emptied) watch(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.play(simCheckInterval) {
		for _, v := range e.vms {
			if !v.alive || e.now.Sub(e.runs[v]) < inTouchTime {
				continue
			}

			for _, n := range v.named() {
				if ended, ok := e.ended[n.Callers]; ok && !e.byPeers[n.Peers].alive {
					e.lastNamed = max(e.lastNamed, e.now.Sub(ended))
				}
			}
		}
	}
}

// firstNamed plays the fleet until each entry VM names one, and returns how long that takes.
func (e *emptied) firstNamed(v *simVM) time.Duration {
	began := e.now
	names := func(o *simVM) bool {
		return !o.alive || o == v || slices.ContainsFunc(o.named(), func(n Node) bool { return n.ID == v.node.ID })
	}

	for e.now.Sub(began) < time.Minute {
		if !slices.ContainsFunc(e.vms, func(o *simVM) bool { return !names(o) }) {
			break
		}

		e.watch(simCheckInterval)
	}

	return e.now.Sub(began)
}

// TestSummaryInCircles verifies that a summary which entry VMs of other failure domains pass to each
// other does not look newer each time: links are slow, and ages leave out the time in transit.
func TestSummaryInCircles(t *testing.T) {
	t.Parallel()

	const (
		jitter = 2 * time.Second
		hops   = 4
	)

	for name, domains := range map[string]int{"3 domains": 3, "6 domains": 6} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			h := newDirectoryHistory(1, domains, 2)
			h.play(2 * simFormTime)

			h.jitter, h.slack = jitter, hops*jitter
			h.play(2 * simFormTime)

			for _, v := range h.running(lastDomain) {
				h.end(v)
			}

			h.play(time.Minute)

			for _, problem := range h.problems {
				t.Error(problem)
			}
		})
	}
}

// TestWakeTellsNothingOld verifies that an entry VM that runs again after a suspension or a pause
// makes nobody name those that ended meanwhile: it passes on what it knew, and reads what was sent
// to it before.
func TestWakeTellsNothingOld(t *testing.T) {
	t.Parallel()

	const pause = 20 * time.Second

	for name, wake := range map[string]func(h *directoryHistory, v *simVM){
		"suspended": func(h *directoryHistory, v *simVM) { h.resume(v, pause) },
		"paused":    func(h *directoryHistory, v *simVM) { v.stopped, h.runs[v] = false, h.now },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			for seed := range uint64(20) {
				h := newDirectoryHistory(seed, 3, 2)
				h.play(2 * simFormTime)

				v := h.running("hall-0")[0]
				v.suspended, v.stopped = name == "suspended", name == "paused"

				h.play(h.randomTime(time.Second))

				for _, o := range h.running(lastDomain) {
					h.end(o)
				}

				h.play(pause)
				wake(h, v)
				h.play(2 * namedTime)

				for _, problem := range h.problems {
					t.Errorf("seed %d: %s", seed, problem)
				}
			}
		})
	}
}

// TestRemovedNotNamed verifies that callers of a failure domain whose last entry VM stops are not
// told of those that were removed there before, and that one which starts in their place is named
// in time.
func TestRemovedNotNamed(t *testing.T) {
	t.Parallel()

	type size struct{ domains, each int }

	sizes := map[string]size{"12 VMs": {3, 4}, "126 VMs": {3, 42}}
	if *large {
		maps.Copy(sizes, map[string]size{"472 VMs": {4, 118}})
	}

	for name, c := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			const stay = 4 * time.Second

			e := newEmptied(1, c.domains, c.each)
			removed := e.lastNamed

			e.last.mesh.SetState(Leaving)
			e.watch(stay)
			e.end(e.last)
			e.watch(time.Second)

			first := e.firstNamed(e.replaceNow(e.last))

			for _, problem := range e.problems {
				t.Error(problem)
			}

			if e.lastNamed > namedTime {
				t.Errorf("an entry VM was named %s after its end", e.lastNamed)
			}

			if first > simFormTime {
				t.Errorf("an entry VM was named by all %s after its start", first)
			}

			t.Logf("last named %s after the end while one is ready, %s at all, first named by all %s after the start", removed, e.lastNamed, first)
		})
	}
}
