package cwconfig_test

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
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwspread"
	"carobward.example/carobward/internal/lab/cwstore"
)

// The schedules are the same on each run; another -rapid.seed gives others.
var _ = flag.Set("rapid.seed", "7")

// world is a fleet with what its operators were told.
type world struct {
	*cwspread.Fleet
	time  *cwspread.Clock
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
	clock := cwspread.NewClock(began)
	w := &world{
		Fleet: cwspread.New(4, clock), time: clock, accepted: map[carobward.Revision]carobward.ChangeID{},
		refused: map[carobward.ChangeID]bool{}, highest: map[int]carobward.Revision{},
	}
	w.saved, w.restores = w.Store.Save(), rapid.Bool().Draw(t, "restores")

	if !w.Join() {
		t.Fatal("the fleet did not join")
	}

	return w
}

func (w *world) any(t *rapid.T) int { return rapid.IntRange(0, len(w.Order)-1).Draw(t, "vm") }

func (w *world) change(t *rapid.T) {
	i := w.any(t)
	v := w.At(i)
	w.made++
	id := fmt.Sprint("c", w.made)
	behind := rapid.IntRange(0, 2).Draw(t, "behind")
	base := max(0, int(v.Holder.Revision())-behind)

	w.Store.Fault = cwstore.Script(rapid.SampledFrom([]string{".", "l.", "x.", "l", "x", "d"}).Draw(t, "writes"),
		rapid.SampledFrom([]string{".", ".", ".d", "d"}).Draw(t, "reads"))
	revision, err := v.Apply(cwspread.Put(id, fmt.Sprint("operator-", i), base, fmt.Sprint("t", w.made%3)), true)
	w.Store.Fault = nil

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
	v := w.At(w.any(t))
	if !w.restores || v.Syncer.CatchUp(context.Background()) != nil {
		return
	}

	w.made++
	_, _ = v.Writer.Restore(context.Background(), cwconfig.Change{ID: carobward.ChangeID(fmt.Sprint("r", w.made))}, v.Syncer.FleetRevision())
}

// check looks at what must always hold.
func (w *world) check(t *rapid.T) {
	chains := map[carobward.Revision]cwconfig.Chain{}

	for i := range w.Order {
		c := w.At(i).Holder.Config()
		if c.Revision < w.highest[i] {
			t.Fatalf("vm-%d went back from revision %d to %d", i, w.highest[i], c.Revision)
		}

		w.highest[i] = c.Revision

		if other, ok := chains[c.Revision]; ok && other != c.Chain {
			t.Fatalf("two histories are in force as revision %d", c.Revision)
		}

		chains[c.Revision] = c.Chain

		for _, change := range w.At(i).Holder.Recent() {
			if w.refused[change.ID] {
				t.Fatalf("change %s was refused and is in force", change.ID)
			}
		}
	}
}

// heal ends all faults and lets the fleet meet, with an operator who restores
// the store if that is what it takes.
func (w *world) heal(t *rapid.T) {
	clear(w.Cut)

	for range 2 {
		w.Gossip()

		for i := range w.Order {
			w.At(i).Syncer.Poll(context.Background())
		}
	}

	if w.At(0).Syncer.Condition().Alarm != "" {
		w.restore0()
		w.Gossip()
	}

	highest := carobward.Revision(0)
	for r := range w.accepted {
		highest = max(highest, r)
	}

	for i := range w.Order {
		v := w.At(i)
		if r := v.Holder.Revision(); r < highest || r != w.At(0).Holder.Revision() {
			t.Fatalf("vm-%d has revision %d, accepted was %d", i, r, highest)
		}

		for _, change := range v.Holder.Recent() {
			if id, ok := w.accepted[change.Revision]; ok && id != change.ID {
				t.Fatalf("revision %d was accepted as %s and is %s", change.Revision, id, change.ID)
			}
		}
	}
}

func (w *world) restore0() {
	v := w.At(0)
	_, _ = v.Writer.Restore(context.Background(), cwconfig.Change{ID: "heal"}, v.Syncer.FleetRevision())
}

// TestGeneratedSchedules: under generated changes, lost replies, outages,
// cuts, restored stores and newcomers no entry VM goes back, no two
// histories are in force as one revision, no refused change is, and each
// accepted one is once the faults end.
func TestGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)

		t.Repeat(map[string]func(*rapid.T){
			"":       w.check,
			"change": w.change,
			"poll": func(t *rapid.T) {
				w.Store.Fault = cwstore.Script(".", rapid.SampledFrom([]string{".", "d"}).Draw(t, "reads"))
				w.At(w.any(t)).Syncer.Poll(context.Background())
				w.Store.Fault = nil
			},
			"exchange": func(t *rapid.T) { w.At(w.any(t)).Syncer.Ask(context.Background(), w.Order[w.any(t)]) },
			"older": func(*rapid.T) {
				if w.restores {
					w.Store.Restore(w.saved)
				}
			},
			"save":    func(*rapid.T) { w.saved = w.Store.Save() },
			"restore": w.restore,
			"time":    func(*rapid.T) { w.time.Advance(10 * time.Second) },
			"newcomer": func(*rapid.T) {
				if len(w.Order) < 8 {
					w.Add(w.Store).Syncer.Join(context.Background(), true)
				}
			},
			"cut": func(t *rapid.T) {
				if !w.restores {
					l := cwspread.Link{From: w.Order[w.any(t)], To: w.Order[w.any(t)]}
					w.Cut[l] = !w.Cut[l]
				}
			},
		})

		w.heal(t)
	})
}

// TestCutOffStaysAndCatchesUp: an entry VM that reaches neither the store nor
// a peer keeps what it has, its age grows, and it is told once the cut ends.
func TestCutOffStaysAndCatchesUp(t *testing.T) {
	f, clock := joined(t, 4)
	lost := f.At(3)
	away := cwstore.New()
	away.Fault = cwstore.Script("d", "d")
	lost.Store.Store = away

	for _, a := range f.Order {
		f.Cut[cwspread.Link{From: lost.Self().Peers, To: a}] = true
		f.Cut[cwspread.Link{From: a, To: lost.Self().Peers}] = true
	}

	if _, err := f.At(0).Apply(cwspread.Put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	for range 10 {
		clock.Advance(time.Second)
		f.At(1).Syncer.Poll(context.Background())
		lost.Syncer.Poll(context.Background())
		f.Gossip()
	}

	var ages []time.Duration
	for _, v := range []*cwspread.VM{f.At(1), lost} {
		ages = append(ages, clock.Now().Sub(v.Syncer.Condition().Fresh))
	}

	if !slices.Equal(ages, []time.Duration{0, 10 * time.Second}) || lost.Holder.Revision() != 0 {
		t.Errorf("ages %v, the lost one has revision %d", ages, lost.Holder.Revision())
	}

	clear(f.Cut)
	lost.Syncer.Ask(context.Background(), f.Order[0])

	if c := lost.Syncer.Condition(); c.Revision != 1 || clock.Now().Sub(c.Fresh) > time.Second {
		t.Errorf("after the cut: %+v", c)
	}
}
