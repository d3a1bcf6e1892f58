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

// The fixed seed makes the generated schedules reproducible. Use -rapid.seed for
// others.
var _ = flag.Set("rapid.seed", "7")

// simulation is a fleet, with the outcomes that were reported to its operators.
type simulation struct {
	*cwspread.Fleet
	fleetClock *cwspread.Clock
	saved      map[carobward.Key]carobward.Entry
	// accepted holds the ID of each accepted change by its revision.
	accepted map[carobward.Revision]carobward.ChangeID
	refused  map[carobward.ChangeID]bool
	highest  map[int]carobward.Revision
	changes  int
	// restores reports whether the store may be restored from a backup.
	// Links are blocked only if not: an entry VM that is isolated from all others
	// and writes to a restored store starts a second history, which the
	// design does not rule out.
	restores bool
}

func newSimulation(t *rapid.T) *simulation {
	clock := cwspread.NewClock(began)
	s := &simulation{
		Fleet: cwspread.New(4, clock), fleetClock: clock, accepted: map[carobward.Revision]carobward.ChangeID{},
		refused: map[carobward.ChangeID]bool{}, highest: map[int]carobward.Revision{},
	}
	s.saved, s.restores = s.Store.Save(), rapid.Bool().Draw(t, "restores")

	if !s.Join() {
		t.Fatal("the fleet did not join")
	}

	return s
}

func (s *simulation) drawVM(t *rapid.T) int {
	return rapid.IntRange(0, len(s.Addresses)-1).Draw(t, "vm")
}

func (s *simulation) change(t *rapid.T) {
	i := s.drawVM(t)
	v := s.At(i)
	s.changes++
	id := fmt.Sprint("c", s.changes)
	behind := rapid.IntRange(0, 2).Draw(t, "behind")
	base := max(0, int(v.Holder.Revision())-behind)

	s.Store.Fault = cwstore.Script(rapid.SampledFrom([]string{".", "l.", "x.", "l", "x", "d"}).Draw(t, "writes"),
		rapid.SampledFrom([]string{".", ".", ".d", "d"}).Draw(t, "reads"))
	revision, err := v.Apply(cwspread.Put(id, fmt.Sprint("operator-", i), base, fmt.Sprint("t", s.changes%3)), true)
	s.Store.Fault = nil

	switch {
	case err == nil:
		if other, ok := s.accepted[revision]; ok {
			t.Fatalf("revision %d was accepted as %s and as %s", revision, other, id)
		}

		s.accepted[revision] = carobward.ChangeID(id)
	case !errors.Is(err, carobward.ErrStoreUnknown):
		s.refused[carobward.ChangeID(id)] = true
	}
}

func (s *simulation) restore(t *rapid.T) {
	v := s.At(s.drawVM(t))
	if !s.restores || v.Syncer.CatchUp(context.Background()) != nil {
		return
	}

	s.changes++
	_, _ = v.Writer.Restore(context.Background(), cwconfig.Change{ID: carobward.ChangeID(fmt.Sprint("r", s.changes))}, v.Syncer.FleetRevision())
}

// check verifies the invariants: no entry VM lowers its revision, no two
// histories have the same revision, and no refused change is in effect.
func (s *simulation) check(t *rapid.T) {
	chains := map[carobward.Revision]cwconfig.Chain{}

	for i := range s.Addresses {
		c := s.At(i).Holder.Config()
		if c.Revision < s.highest[i] {
			t.Fatalf("the revision of vm-%d decreased from %d to %d", i, s.highest[i], c.Revision)
		}

		s.highest[i] = c.Revision

		if other, ok := chains[c.Revision]; ok && other != c.Chain {
			t.Fatalf("two histories are in effect with revision %d", c.Revision)
		}

		chains[c.Revision] = c.Chain

		for _, change := range s.At(i).Holder.Recent() {
			if s.refused[change.ID] {
				t.Fatalf("change %s was refused but is in effect", change.ID)
			}
		}
	}
}

// heal ends all faults, lets the fleet converge and restores the store if it
// raises an alarm. It then checks that all entry VMs have the same revision and
// every accepted change.
func (s *simulation) heal(t *rapid.T) {
	clear(s.Blocked)

	for range 2 {
		s.Gossip()

		for i := range s.Addresses {
			s.At(i).Syncer.Poll(context.Background())
		}
	}

	if s.At(0).Syncer.Condition().Alarm != "" {
		s.restoreFromFirst()
		s.Gossip()
	}

	highest := carobward.Revision(0)
	for r := range s.accepted {
		highest = max(highest, r)
	}

	for i := range s.Addresses {
		v := s.At(i)
		if r := v.Holder.Revision(); r < highest || r != s.At(0).Holder.Revision() {
			t.Fatalf("vm-%d has revision %d, the highest accepted is %d", i, r, highest)
		}

		for _, change := range v.Holder.Recent() {
			if id, ok := s.accepted[change.Revision]; ok && id != change.ID {
				t.Fatalf("revision %d was accepted as %s but is %s", change.Revision, id, change.ID)
			}
		}
	}
}

func (s *simulation) restoreFromFirst() {
	v := s.At(0)
	_, _ = v.Writer.Restore(context.Background(), cwconfig.Change{ID: "heal"}, v.Syncer.FleetRevision())
}

// TestGeneratedSchedules verifies under random changes, lost replies, outages,
// network partitions, store restores and joining entry VMs that no revision decreases,
// no two histories are in effect with the same revision, no refused change takes
// effect, and each accepted one has taken effect once the faults have ended.
func TestGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)

		t.Repeat(map[string]func(*rapid.T){
			"":       s.check,
			"change": s.change,
			"poll": func(t *rapid.T) {
				s.Store.Fault = cwstore.Script(".", rapid.SampledFrom([]string{".", "d"}).Draw(t, "reads"))
				s.At(s.drawVM(t)).Syncer.Poll(context.Background())
				s.Store.Fault = nil
			},
			"exchange": func(t *rapid.T) {
				s.At(s.drawVM(t)).Syncer.ExchangeWith(context.Background(), s.Addresses[s.drawVM(t)])
			},
			"older": func(*rapid.T) {
				if s.restores {
					s.Store.Restore(s.saved)
				}
			},
			"save":    func(*rapid.T) { s.saved = s.Store.Save() },
			"restore": s.restore,
			"time":    func(*rapid.T) { s.fleetClock.Advance(10 * time.Second) },
			"newcomer": func(*rapid.T) {
				if len(s.Addresses) < 8 {
					s.Add(s.Store).Syncer.Join(context.Background(), true)
				}
			},
			"cut": func(t *rapid.T) {
				if !s.restores {
					l := cwspread.Link{From: s.Addresses[s.drawVM(t)], To: s.Addresses[s.drawVM(t)]}
					s.Blocked[l] = !s.Blocked[l]
				}
			},
		})

		s.heal(t)
	})
}

// TestCutOffStaysAndCatchesUp verifies that an entry VM that reaches neither the
// store nor a peer keeps its configuration while its age grows, and catches up
// once the fault ends.
func TestCutOffStaysAndCatchesUp(t *testing.T) {
	f, clock := joined(t, 4)
	lost := f.At(3)
	downStore := cwstore.New()
	downStore.Fault = cwstore.Script("d", "d")
	lost.Store.Store = downStore

	for _, a := range f.Addresses {
		f.Blocked[cwspread.Link{From: lost.Self().Peers, To: a}] = true
		f.Blocked[cwspread.Link{From: a, To: lost.Self().Peers}] = true
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
		t.Errorf("got ages %v, and revision %d on the isolated VM; want ages 0s and 10s, revision 0", ages, lost.Holder.Revision())
	}

	clear(f.Blocked)
	lost.Syncer.ExchangeWith(context.Background(), f.Addresses[0])

	if c := lost.Syncer.Condition(); c.Revision != 1 || clock.Now().Sub(c.Fresh) > time.Second {
		t.Errorf("after the fault: got condition %+v, want revision 1 and an age of at most 1s", c)
	}
}
