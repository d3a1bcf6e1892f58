package cwconfig

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/lab/cwstore"
)

// TestApplyOutcome verifies that the reported outcome of a change is true,
// whichever write or reply is lost. In the fault scripts "l" loses the reply, "x"
// loses the write, and "d" is an outage.
func TestApplyOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		writes, reads string
		want          error
		accepted      bool
	}{
		"no fault":                           {".", ".", nil, true},
		"reply lost":                         {"l.", ".", nil, true},
		"write lost":                         {"x.", ".", nil, true},
		"write lost, then reply lost":        {"xl.", ".", nil, true},
		"reply lost, then outage":            {"l", ".d", carobward.ErrStoreUnknown, true},
		"write lost, then outage":            {"x", ".d", carobward.ErrStoreUnknown, false},
		"reply lost, then short outage":      {"l", ".ddd.", nil, true},
		"outage before the read":             {".", "d", carobward.ErrStoreDown, false},
		"outage between read and write":      {"d", ".", carobward.ErrStoreDown, false},
		"write lost, then outage for writes": {"xd", ".", carobward.ErrStoreUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			store := cwstore.New()
			store.Fault = cwstore.Script(test.writes, test.reads)

			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()

			_, err := NewWriter(store, NewHolder()).Apply(ctx, put("a", "ana", 0, "fee"))
			if (err == nil) != (test.want == nil) || (test.want != nil && !errors.Is(err, test.want)) {
				t.Errorf("got %v, want %v", err, test.want)
			}

			store.Fault = nil

			found, err := NewReader(store).State(context.Background(), &Config{})
			if err != nil || (found.Config.Revision == 1) != test.accepted {
				t.Errorf("the store has an unexpected revision %d, or an error: %v", found.Config.Revision, err)
			}
		})
	}
}

// TestApplyAgain verifies that applying the same change again returns the revision
// of the first time.
func TestApplyAgain(t *testing.T) {
	store := cwstore.New()
	holder := NewHolder()

	for i, want := range []carobward.Revision{1, 2, 1, 2} {
		// Each attempt is made by another entry VM, except the last one.
		if i < 3 {
			holder = NewHolder()
		}

		id := fmt.Sprint("change-", i%2)

		got, err := NewWriter(store, holder).Apply(context.Background(), put(id, "ana", i%2, fmt.Sprint("t", i%2)))
		if err != nil || got != want {
			t.Errorf("attempt %d: unexpected revision %d, or an error: %v", i, got, err)
		}
	}
}

// TestTwoOperators verifies that of two overlapping changes the second is refused
// with an error that names the first and the target.
func TestTwoOperators(t *testing.T) {
	store := cwstore.New()

	if _, err := NewWriter(store, NewHolder()).Apply(context.Background(), put("a", "ana", 0, "fee")); err != nil {
		t.Fatal(err)
	}

	_, err := NewWriter(store, NewHolder()).Apply(context.Background(), put("b", "bo", 0, "gate", "fee"))

	want := `config: target "fee" was changed in revision 1 by ana (change a) after your base`
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// TestLostThenConflict verifies that a writer whose write was lost and that then
// loses a race gets a Conflict and not an unknown outcome, because the store has
// advanced without its change.
func TestLostThenConflict(t *testing.T) {
	store := cwstore.New()
	first := true
	store.Fault = func(write bool, _ carobward.Key) cwstore.Fault {
		if write && first {
			first = false

			go func() { _, _ = NewWriter(store, NewHolder()).Apply(context.Background(), put("b", "bo", 0, "fee")) }()

			return cwstore.Dropped
		}

		return cwstore.NoFault
	}

	_, err := NewWriter(store, NewHolder()).Apply(context.Background(), put("a", "ana", 0, "fee"))

	var conflict *Conflict
	if err != nil && !errors.As(err, &conflict) {
		t.Errorf("got %v, want success or a Conflict", err)
	}

	found, readErr := NewReader(store).State(context.Background(), &Config{})
	if readErr != nil || (found.Head.Changes[0].ID == "a") != (err == nil) {
		t.Errorf("the outcome %v contradicts the store, which has %+v", err, found.Head.Changes)
	}
}

// TestLongHistory verifies that after many changes a new entry VM and one that
// missed some of them read the same configuration as the writers.
func TestLongHistory(t *testing.T) {
	store := cwstore.New()
	writers := []*Writer{NewWriter(store, NewHolder()), NewWriter(store, NewHolder())}
	lagging := NewHolder()

	for i := range 100 {
		got, err := writers[i%2].Apply(context.Background(), put(fmt.Sprint("s", i), "ana", i, fmt.Sprint("t", i%7)))
		if err != nil || int(got) != i+1 {
			t.Fatalf("change %d: revision %d, %v", i, got, err)
		}

		if i == 60 {
			lagging.Adopt(writers[0].holder.Config())
		}
	}

	want := writers[1].holder.Config()

	for name, known := range map[string]*Config{"newcomer": {}, "lagging": lagging.Config(), "up to date": want} {
		found, err := NewReader(store).State(context.Background(), known)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}

		if diff := cmp.Diff(want, found.Config); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}

	if n := len(writers[1].holder.Recent()); n > maxRecentChanges {
		t.Errorf("%d changes are retained, more than maxRecentChanges", n)
	}
}

// TestSizeIsRefused verifies that a configuration too large for the store is
// refused with an error that states the limit, and that nothing is changed.
func TestSizeIsRefused(t *testing.T) {
	store := cwstore.New()
	writer := NewWriter(store, NewHolder())
	big := put("big", "ana", 0)

	for i := range 2400 {
		one := target(fmt.Sprintf("t%d", i), "s")
		one.Match[0].Path = "/" + strings.Repeat("x", 400)
		one.Match[0].Path += fmt.Sprint(i)
		big.Put = append(big.Put, one)
	}

	if _, err := writer.Apply(context.Background(), big); err == nil || !strings.Contains(err.Error(), "at most 900000 bytes") {
		t.Errorf("all targets: got %v, want an error with the limit", err)
	}

	big.ID, big.Put = "half", big.Put[:1200]
	if got, err := writer.Apply(context.Background(), big); err != nil || got != 1 {
		t.Errorf("half of the targets: revision %d, %v", got, err)
	}

	// The head drops the large change when the next one is added.
	if got, err := writer.Apply(context.Background(), put("next", "ana", 1, "fee")); err != nil || got != 2 {
		t.Errorf("the next change: revision %d, %v", got, err)
	}

	if got, _ := NewReader(store).Head(context.Background()); len(got.Head.Changes) != 1 {
		t.Errorf("the head holds %d changes, want 1", len(got.Head.Changes))
	}
}

// TestRestore verifies that Restore writes the fleet's configuration to a store
// that was restored from a backup, with a higher revision than any in the store
// or in the fleet. others is the number of changes that another writer has made
// on that store before; -1 means that the store is empty.
func TestRestore(t *testing.T) {
	ctx := context.Background()

	for name, others := range map[string]int{"older backup": 0, "empty store": -1, "older backup with new changes": 9} {
		t.Run(name, func(t *testing.T) {
			store := cwstore.New()
			writer := NewWriter(store, NewHolder())
			saved := store.Save()

			for i := range 4 {
				if others >= 0 && i == 2 {
					saved = store.Save()
				}

				if _, err := writer.Apply(ctx, put(fmt.Sprint("a", i), "ana", i, fmt.Sprint("t", i))); err != nil {
					t.Fatal(err)
				}
			}

			before := writer.holder.Config()

			if _, err := writer.Restore(ctx, Change{ID: "r0"}, 4); !errors.Is(err, ErrNothingToRestore) {
				t.Errorf("nothing to restore: got %v", err)
			}

			store.Restore(saved)

			other := NewWriter(store, NewHolder())
			for i := range max(0, others) {
				if _, err := other.Apply(ctx, put(fmt.Sprint("b", i), "bo", 2+i, "t9")); err != nil {
					t.Fatal(err)
				}
			}

			if _, err := writer.Apply(ctx, put("c", "ana", 4, "t0")); !errors.Is(err, ErrStoreOutdated) {
				t.Errorf("change on the restored store: got %v", err)
			}

			store.Fault = cwstore.Script("l.", ".") // The first reply is lost.

			got, err := writer.Restore(ctx, Change{ID: "r1", Author: "ana"}, 4)
			if want := carobward.Revision(max(4, 2+others) + 1); err != nil || got != want {
				t.Fatalf("restored as revision %d, %v, want %d", got, err, want)
			}

			found, err := NewReader(store).Head(ctx)
			if err != nil {
				t.Fatal(err)
			}

			for who, holder := range map[string]*Holder{"writer": writer.holder, "other writer": other.holder, "newcomer": NewHolder()} {
				if _, err := holder.Advance(found.Head.Changes); err != nil || holder.Revision() != got {
					t.Errorf("%s: revision %d, %v", who, holder.Revision(), err)
				}

				if diff := cmp.Diff(before.Set, holder.Config().Set); diff != "" {
					t.Errorf("%s: %s", who, diff)
				}
			}

			if _, err := writer.Apply(ctx, put("d", "ana", int(got), "t0")); err != nil {
				t.Errorf("the next change: %v", err)
			}
		})
	}
}

// TestSnapshotMismatch verifies that a head and a snapshot that do not match
// give an error instead of a mixed configuration.
func TestSnapshotMismatch(t *testing.T) {
	ctx := context.Background()
	store := cwstore.New()
	writer := NewWriter(store, NewHolder())

	for i := range 60 {
		if _, err := writer.Apply(ctx, put(fmt.Sprint("a", i), "ana", i, "fee")); err != nil {
			t.Fatal(err)
		}
	}

	saved := store.Save()

	for name, corrupt := range map[string]func(map[carobward.Key]carobward.Entry){
		"no snapshot": func(m map[carobward.Key]carobward.Entry) { delete(m, SnapshotKey) },
		"snapshot of another history": func(m map[carobward.Key]carobward.Entry) {
			found, _ := NewReader(store).Head(ctx)
			other := Config{Revision: found.Head.Revision() - 1, Chain: "other", Set: cwtarget.Set{}}
			raw, _ := encode(snapshot{Format: format, Config: other})
			m[SnapshotKey] = carobward.Entry{Value: raw, Index: 1}
		},
	} {
		corrupted := map[carobward.Key]carobward.Entry{}
		for k, v := range saved {
			corrupted[k] = v
		}

		corrupt(corrupted)
		store.Restore(corrupted)

		if found, err := NewReader(store).State(ctx, &Config{}); !errors.Is(err, ErrSnapshotMismatch) {
			t.Errorf("%s: got %+v, %v", name, found.Config, err)
		}

		if found, err := NewReader(store).State(ctx, writer.holder.Config()); err != nil || found.Config.Revision != 60 {
			t.Errorf("%s: a reader that is up to date got %v", name, err)
		}

		store.Restore(saved)
	}
}
