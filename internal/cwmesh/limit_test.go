package cwmesh

import (
	"math"
	"slices"
	"testing"

	"carobward.example/carobward"
)

// limits returns what servers said, for a newcomer also what others told.
func (v *simVM) limits(newcomer bool) []carobward.LimitWord {
	list := slices.Clone(v.says)
	if newcomer {
		for _, w := range v.told {
			w.Passed = true
			list = append(list, w)
		}
	}

	return list
}

func (v *simVM) takeWords(words carobward.ServerWords, _ carobward.VMID) {
	for _, l := range words.Leaving {
		v.left[l] = true
	}

	for _, w := range words.Limits {
		if old, ok := v.told[w.Server]; !ok || !w.Passed && w.At.After(old.At) {
			v.told[w.Server] = w
		}
	}
}

// TestFleetLimits wants what a server said to one entry VM of the requests that it takes to
// be known to all of its failure domain within two heartbeats, with packets lost, too, and
// to one that starts later as soon as it knows the others. What can't be a rate is a limit
// that can't be read.
func TestFleetLimits(t *testing.T) {
	for name, c := range map[string]struct {
		says, want carobward.Limit
		loss       float64
	}{
		"a limit":        {carobward.Limit{Named: true, Readable: true, Rate: 1.4}, carobward.Limit{Named: true, Readable: true, Rate: 1.4}, 0},
		"packets lost":   {carobward.Limit{Named: true, Readable: true, Rate: 1.4}, carobward.Limit{Named: true, Readable: true, Rate: 1.4}, 0.03},
		"taken back":     {carobward.Limit{}, carobward.Limit{}, 0},
		"nothing":        {carobward.Limit{Named: true, Readable: true}, carobward.Limit{Named: true, Readable: true}, 0},
		"not a number":   {carobward.Limit{Named: true, Readable: true, Rate: carobward.Rate(math.NaN())}, carobward.Limit{Named: true}, 0},
		"without an end": {carobward.Limit{Named: true, Readable: true, Rate: carobward.Rate(math.Inf(1))}, carobward.Limit{Named: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			const server = "i-1"

			s := newSim(6, 60)
			late := s.vms[len(s.vms)-simDomains]
			s.run(2*simForms, nil)
			late.stop()

			s.loss = c.loss
			teller := s.vms[0]
			said := s.now
			teller.says = []carobward.LimitWord{{Server: server, Limit: c.says, At: said}}
			s.run(2*beatTime+2*simDelay, nil)

			late.starts = s.now
			s.run(simForms, nil)

			for _, v := range s.vms {
				w, ok := v.told[server]
				if v == teller || v.node.Domain != teller.node.Domain {
					continue
				}

				// A word that was passed on may have some ways behind it.
				most := 2 * simStep
				if w.Passed {
					most = simLook
				}

				if off := w.At.Sub(said); !ok || w.Limit != c.want || off.Abs() > most {
					t.Errorf("%s: %+v", v.node.ID, w)
				}
			}
		})
	}
}

// TestFleetLeaving wants the word of a server that leaves to reach all entry VMs of a failure
// domain within two heartbeats, with packets lost, too.
func TestFleetLeaving(t *testing.T) {
	const loss = 0.03

	s := newSim(6, 60)
	s.run(2*simForms, nil)

	s.loss = loss
	want := carobward.LeavingWord{Server: "i-1", Start: 7}
	teller := s.vms[0]
	teller.leaves = []carobward.LeavingWord{want}
	s.run(2*beatTime+2*simDelay, nil)

	for _, v := range s.vms {
		if v != teller && v.node.Domain == teller.node.Domain && !v.left[want] {
			t.Errorf("%s was not told", v.node.ID)
		}
	}
}
