package cwconfig

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// The schedules are the same on each run; another -rapid.seed gives others.
var _ = flag.Set("rapid.seed", "7")

// world is a fleet with what its operators were told.
type world struct {
	*fleet
	saved map[carobward.Key]carobward.Entry
	// accepted has the id of each accepted change by its revision.
	accepted map[carobward.Revision]carobward.ChangeID
	refused  map[carobward.ChangeID]bool
	highest  map[int]carobward.Revision
	made     int
	// restores tells whether the store may be restored. Cuts are tried
	// without: an entry VM that is cut off from all others and writes into a
	// store that was restored starts a second history, which is not promised
	// to be met.
	restores bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		fleet: newFleet(4), accepted: map[carobward.Revision]carobward.ChangeID{},
		refused: map[carobward.ChangeID]bool{}, highest: map[int]carobward.Revision{},
	}
	w.saved, w.restores = w.store.Save(), rapid.Bool().Draw(t, "restores")

	for i := range w.order {
		if !w.at(i).syncer.Join(context.Background(), true) {
			t.Fatalf("vm-%d did not join", i)
		}
	}

	return w
}

func (w *world) any(t *rapid.T) int { return rapid.IntRange(0, len(w.order)-1).Draw(t, "vm") }

func (w *world) change(t *rapid.T) {
	i := w.any(t)
	v := w.at(i)
	w.made++
	id := fmt.Sprint("c", w.made)
	behind := rapid.IntRange(0, 2).Draw(t, "behind")
	base := max(0, int(v.holder.Revision())-behind)

	w.store.Fault = script(rapid.SampledFrom([]string{".", "l.", "x.", "l", "x", "d"}).Draw(t, "writes"),
		rapid.SampledFrom([]string{".", ".", ".d", "d"}).Draw(t, "reads"))
	revision, err := v.apply(put(id, fmt.Sprint("operator-", i), base, fmt.Sprint("t", w.made%3)), true)
	w.store.Fault = nil

	switch {
	case err == nil:
		if other, ok := w.accepted[revision]; ok {
			t.Fatalf("revision %d was accepted as %s and as %s", revision, other, id)
		}

		w.accepted[revision] = carobward.ChangeID(id)
	case !errors.Is(err, carobward.ErrStoreUnknown):
		w.refused[carobward.ChangeID(id)] = true
	}
}

func (w *world) restore(t *rapid.T) {
	v := w.at(w.any(t))
	if !w.restores || v.syncer.CatchUp(context.Background()) != nil {
		return
	}

	w.made++
	_, _ = v.writer.Restore(context.Background(), Change{ID: carobward.ChangeID(fmt.Sprint("r", w.made))}, v.syncer.FleetRevision())
}

// check looks at what must always hold.
func (w *world) check(t *rapid.T) {
	chains := map[carobward.Revision]Chain{}

	for i := range w.order {
		c := w.at(i).holder.Config()
		if c.Revision < w.highest[i] {
			t.Fatalf("vm-%d went back from revision %d to %d", i, w.highest[i], c.Revision)
		}

		w.highest[i] = c.Revision

		if other, ok := chains[c.Revision]; ok && other != c.Chain {
			t.Fatalf("two histories are in force as revision %d", c.Revision)
		}

		chains[c.Revision] = c.Chain

		for _, change := range w.at(i).holder.Recent() {
			if w.refused[change.ID] {
				t.Fatalf("change %s was refused and is in force", change.ID)
			}
		}
	}
}

// heal ends all faults and lets the fleet meet, with an operator who restores
// the store if that is what it takes.
func (w *world) heal(t *rapid.T) {
	clear(w.cut)

	for range 2 {
		w.gossip()

		for i := range w.order {
			w.at(i).syncer.Poll(context.Background())
		}
	}

	if w.at(0).syncer.Condition().Alarm != "" {
		w.restore0()
		w.gossip()
	}

	highest := carobward.Revision(0)
	for r := range w.accepted {
		highest = max(highest, r)
	}

	for i := range w.order {
		v := w.at(i)
		if r := v.holder.Revision(); r < highest || r != w.at(0).holder.Revision() {
			t.Fatalf("vm-%d has revision %d, accepted was %d", i, r, highest)
		}

		for _, change := range v.holder.Recent() {
			if id, ok := w.accepted[change.Revision]; ok && id != change.ID {
				t.Fatalf("revision %d was accepted as %s and is %s", change.Revision, id, change.ID)
			}
		}
	}
}

func (w *world) restore0() {
	v := w.at(0)
	_, _ = v.writer.Restore(context.Background(), Change{ID: "heal"}, v.syncer.FleetRevision())
}

// TestGeneratedSchedules: under generated changes, lost replies, outages,
// cuts, restored stores and newcomers no entry VM goes back, no two
// histories are in force as one revision, no refused change is, and each
// accepted one is once the faults end.
func TestGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		clock, _ := w.clock.(*manualClock)

		t.Repeat(map[string]func(*rapid.T){
			"":       w.check,
			"change": w.change,
			"poll": func(t *rapid.T) {
				w.store.Fault = script(".", rapid.SampledFrom([]string{".", "d"}).Draw(t, "reads"))
				w.at(w.any(t)).syncer.Poll(context.Background())
				w.store.Fault = nil
			},
			"exchange": func(t *rapid.T) { w.at(w.any(t)).syncer.Ask(context.Background(), w.order[w.any(t)]) },
			"older": func(*rapid.T) {
				if w.restores {
					w.store.Restore(w.saved)
				}
			},
			"save":    func(*rapid.T) { w.saved = w.store.Save() },
			"restore": w.restore,
			"time":    func(*rapid.T) { clock.advance(10 * time.Second) },
			"newcomer": func(*rapid.T) {
				if len(w.order) < 8 {
					w.add(w.store).syncer.Join(context.Background(), true)
				}
			},
			"cut": func(t *rapid.T) {
				if !w.restores {
					a, b := w.order[w.any(t)], w.order[w.any(t)]
					w.cut[[2]carobward.Address{a, b}] = !w.cut[[2]carobward.Address{a, b}]
				}
			},
		})

		w.heal(t)
	})
}

// TestCutOffStaysAndCatchesUp: an entry VM that reaches neither the store nor
// a peer keeps what it has, its age grows, and it is told once the cut ends.
func TestCutOffStaysAndCatchesUp(t *testing.T) {
	f := newFleet(3)
	lost := f.add(cwtest.NewStore())
	lost.syncer.reader = NewReader(f.store)
	f.ready(t)

	clock, _ := f.clock.(*manualClock)
	away := cwtest.NewStore()
	away.Fault = script("d", "d")
	lost.syncer.reader = NewReader(away)

	for _, a := range f.order {
		f.cut[[2]carobward.Address{lost.self.Peers, a}] = true
		f.cut[[2]carobward.Address{a, lost.self.Peers}] = true
	}

	if _, err := f.at(0).apply(put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	for range 10 {
		clock.advance(time.Second)
		f.at(1).syncer.Poll(context.Background())
		lost.syncer.Poll(context.Background())
		f.gossip()
	}

	var ages []time.Duration
	for _, v := range []*vm{f.at(1), lost} {
		ages = append(ages, clock.Now().Sub(v.syncer.Condition().Fresh))
	}

	if !slices.Equal(ages, []time.Duration{0, 10 * time.Second}) || lost.holder.Revision() != 0 {
		t.Errorf("ages %v, the lost one has revision %d", ages, lost.holder.Revision())
	}

	clear(f.cut)
	lost.syncer.Ask(context.Background(), f.order[0])

	if c := lost.syncer.Condition(); c.Revision != 1 || clock.Now().Sub(c.Fresh) > time.Second {
		t.Errorf("after the cut: %+v", c)
	}
}
