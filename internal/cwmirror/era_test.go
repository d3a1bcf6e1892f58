package cwmirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// ranked returns an item with a rank in its value.
func ranked(key string, rank, index int) carobward.Item {
	return carobward.Item{Key: carobward.Key(key), Value: fmt.Appendf(nil, "%s %d", key, rank), Index: carobward.StoreIndex(index)}
}

// inEra returns changes of an era.
func inEra(era int, c carobward.Changes) carobward.Changes {
	c.Era, c.AfterEra = carobward.StoreEra(era), carobward.StoreEra(era)

	return c
}

// values returns the effective values of a replica, sorted.
func values(m *Mirror) []string {
	var list []string

	for _, it := range effectiveItems(m) {
		list = append(list, string(it.Value))
	}

	slices.Sort(list)

	return list
}

// TestRestore restores the store from a backup and checks that items it acknowledged before stay
// effective until they are written again or their time is over.
func TestRestore(t *testing.T) {
	before := inEra(1, fullList(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 2, 5)))
	removed := inEra(1, changes(7, removal("b", 7)))
	removed.After = 6

	for name, c := range map[string]struct {
		changes []carobward.Changes
		// want is effective at once, later when the time of lost items is over.
		want, later []string
	}{
		"an older configuration": {
			[]carobward.Changes{before, inEra(2, fullList(5, ranked("op/config", 3, 3), ranked("a", 1, 1), ranked("b", 2, 5)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"a newer configuration at a reused index": {
			[]carobward.Changes{before, inEra(2, fullList(5, ranked("op/config", 5, 4), ranked("a", 1, 1), ranked("b", 2, 5)))},
			[]string{"a 1", "b 2", "op/config 5"}, []string{"a 1", "b 2", "op/config 5"},
		},
		"the lost configuration, then a newer one": {
			[]carobward.Changes{
				before, inEra(2, fullList(5, ranked("op/config", 3, 3), ranked("a", 1, 1), ranked("b", 2, 5))),
				inEra(2, changes(6, ranked("op/config", 4, 6))), inEra(2, changes(7, ranked("op/config", 6, 7))),
			},
			[]string{"a 1", "b 2", "op/config 6"}, []string{"a 1", "b 2", "op/config 6"},
		},
		"no configuration": {
			[]carobward.Changes{before, inEra(2, fullList(1, ranked("a", 1, 1)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "op/config 4"},
		},
		"an older entry": {
			[]carobward.Changes{before, inEra(2, fullList(4, ranked("op/config", 4, 3), ranked("a", 1, 1), ranked("b", 1, 2)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"an entry that is written again": {
			[]carobward.Changes{
				before, inEra(2, fullList(4, ranked("op/config", 4, 3), ranked("a", 1, 1))), inEra(2, changes(5, ranked("b", 3, 5))),
			},
			[]string{"a 1", "b 3", "op/config 4"}, []string{"a 1", "b 3", "op/config 4"},
		},
		"a removed entry": {
			[]carobward.Changes{before, removed, inEra(2, fullList(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 2, 5)))},
			[]string{"a 1", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"a removed entry, older": {
			[]carobward.Changes{before, removed, inEra(2, fullList(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 1, 5)))},
			[]string{"a 1", "op/config 4"}, []string{"a 1", "op/config 4"},
		},
		"a removed entry that is written again": {
			[]carobward.Changes{before, removed, inEra(2, fullList(7, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 3, 7)))},
			[]string{"a 1", "b 3", "op/config 4"}, []string{"a 1", "b 3", "op/config 4"},
		},
		"a removed entry that exists again in the era after the next": {
			[]carobward.Changes{
				before, removed, inEra(2, fullList(7, ranked("op/config", 4, 6), ranked("a", 1, 1))),
				inEra(3, fullList(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 2, 5))),
			},
			[]string{"a 1", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"an answer of the previous era": {
			[]carobward.Changes{inEra(2, fullList(4, ranked("a", 2, 4))), before},
			[]string{"a 2"}, []string{"a 2"},
		},
		"changes after an index of the previous era": {
			[]carobward.Changes{before, inEra(2, changes(9, ranked("a", 2, 8)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"two restores in a row": {
			[]carobward.Changes{before, inEra(2, fullList(1, ranked("a", 1, 1))), inEra(3, fullList(2, ranked("a", 1, 1), ranked("c", 1, 2)))},
			[]string{"a 1", "b 2", "c 1", "op/config 4"}, []string{"a 1", "c 1", "op/config 4"},
		},
		"changes without an era": {
			[]carobward.Changes{before, changes(7, ranked("a", 2, 7))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMirror()
			delivered := map[carobward.Key]string{}
			deliver := func(items []carobward.Item) {
				for _, it := range items {
					delivered[it.Key] = string(it.Value)

					if it.Deleted {
						delete(delivered, it.Key)
					}
				}
			}

			check := func(want []string) {
				t.Helper()

				if diff := cmp.Diff(want, values(m)); diff != "" {
					t.Error(diff)
				}

				if diff := cmp.Diff(want, slices.Sorted(maps.Values(delivered))); diff != "" {
					t.Errorf("items passed on: %s", diff)
				}
			}

			for i := range c.changes {
				m.ApplyAndNotify(c.changes[i], start, deliver)
			}

			check(c.want)
			m.Sweep(start.Add(retention), deliver)
			check(c.later)
		})
	}
}

// TestEraEntry brings a replica into an era by the changed keys alone if it is at the state from
// which the other replica entered it, and by all keys otherwise.
func TestEraEntry(t *testing.T) {
	list := inEra(1, fullList(3, ranked("a", 1, 1), ranked("b", 1, 2), ranked("c", 1, 3)))
	next := inEra(1, changes(4, ranked("c", 2, 4)))
	next.After = 3

	for name, c := range map[string]struct {
		before []carobward.Changes
		full   bool
	}{
		"the same state": {[]carobward.Changes{list, next}, false},
		"an older state": {[]carobward.Changes{list}, true},
		"a new replica":  {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			from, to := newMirror(), newMirror()
			from.Apply(list, start)
			from.Apply(next, start)

			for i := range c.before {
				to.Apply(c.before[i], start)
			}

			from.Apply(inEra(2, fullList(2, ranked("a", 1, 1), ranked("b", 1, 2))), start)

			more := inEra(2, changes(3, ranked("d", 1, 3)))
			more.After = 2
			from.Apply(more, start)

			got := answerTo(to.State(), from)
			if got.Full != c.full {
				t.Errorf("all keys sent: %v", got.Full)
			}

			to.Apply(got, start)

			if diff := cmp.Diff(values(from), values(to)); diff != "" {
				t.Error(diff)
			}

			if from.State() != to.State() {
				t.Errorf("states differ: %v and %v", from.State(), to.State())
			}

			for _, m := range []*Mirror{from, to} {
				m.Sweep(start.Add(retention), func([]carobward.Item) {})

				if diff := cmp.Diff([]string{"a 1", "b 1", "d 1"}, values(m)); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// TestLateEraEntry delivers changes from one era into another to a replica that has moved on since
// it asked. They must not be applied, whatever its index is.
func TestLateEraEntry(t *testing.T) {
	list := inEra(1, fullList(3, ranked("a", 1, 1), ranked("b", 1, 2), ranked("c", 1, 3)))
	next := inEra(1, changes(4, ranked("c", 2, 4)))
	next.After = 3
	beyond := inEra(1, changes(7, ranked("c", 3, 7)))
	beyond.After = 6

	for name, between := range map[string]carobward.Changes{
		"further in its era":     next,
		"items beyond its index": beyond,
		"in the new era":         inEra(2, fullList(2, ranked("a", 1, 1), ranked("e", 1, 2))),
	} {
		t.Run(name, func(t *testing.T) {
			from, to := newMirror(), newMirror()
			from.Apply(list, start)
			to.Apply(list, start)
			from.Apply(inEra(2, fullList(5, ranked("a", 1, 1), ranked("d", 1, 5))), start)

			late := from.Since(to.State())
			to.Apply(between, start)

			state := to.State()
			to.Apply(late, start)

			if diff := cmp.Diff(state, to.State()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNoOriginBeyondIndex checks that a replica that had items beyond its index doesn't bring
// another one into an era by the changed keys alone: the other one may lack those items.
func TestNoOriginBeyondIndex(t *testing.T) {
	list := inEra(1, fullList(3, ranked("a", 1, 1), ranked("b", 1, 2), ranked("c", 1, 3)))
	beyond := inEra(1, changes(7, ranked("c", 3, 7)))
	beyond.After = 6

	from := newMirror()
	from.Apply(list, start)

	at := from.State()
	from.Apply(beyond, start)
	from.Apply(inEra(2, fullList(5, ranked("a", 1, 1), ranked("d", 1, 5))), start)

	if !from.Since(at).Full {
		t.Error("not all keys are sent")
	}
}

// TestReleasedStaysGone guards against entries that reappear: a peer keeps an entry that the store
// lacks because it may have expired in an outage. Once its time is over here, neither the peer,
// whose time ends a little later, nor the next era may make it effective again.
func TestReleasedStaysGone(t *testing.T) {
	m := newMirror()
	m.Apply(inEra(2, fullList(7, ranked("a", 1, 1))), start)

	keeps := inEra(2, changes(7))
	keeps.After = 7
	keeps.Retained = []carobward.RetainedItem{{Item: ranked("b", 2, 5), Rank: carobward.Rank{Write: 2}, Remaining: time.Second}}

	m.Apply(keeps, start)

	if diff := cmp.Diff([]string{"a 1", "b 2"}, values(m)); diff != "" {
		t.Error(diff)
	}

	now := start.Add(time.Second)
	m.Sweep(now, func([]carobward.Item) {})

	for _, c := range []carobward.Changes{keeps, inEra(3, fullList(6, ranked("a", 1, 1), ranked("b", 2, 5)))} {
		for _, it := range m.Apply(c, now) {
			if it.Key == "b" && !it.Deleted {
				t.Errorf("the released entry took effect again in era %d", c.Era)
			}
		}
	}
}

// TestKeptSpreads checks that an entry VM that queries the store itself gets items that the store
// has lost from a peer.
func TestKeptSpreads(t *testing.T) {
	old, newcomer := newMirror(), newMirror()
	old.Apply(inEra(1, fullList(6, ranked("op/config", 4, 6))), start)

	list := inEra(2, fullList(5, ranked("op/config", 3, 3)))
	old.Apply(list, start)
	newcomer.Apply(list, start)

	if !newcomer.State().Behind(old.State()) {
		t.Fatal("the new replica is not behind")
	}

	fetch(newcomer, old)

	if diff := cmp.Diff([]string{"op/config 4"}, values(newcomer)); diff != "" {
		t.Error(diff)
	}

	if newcomer.State() != old.State() {
		t.Errorf("states differ: %v and %v", newcomer.State(), old.State())
	}
}
