package cwmirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

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

// values returns the values that are in force in a copy, sorted.
func values(m *Mirror) []string {
	var list []string

	for _, it := range inForce(m) {
		list = append(list, string(it.Value))
	}

	slices.Sort(list)

	return list
}

// TestEra lets the store come back from a copy and wants what it acknowledged before to
// stay in force, for as long as nobody writes it again.
func TestEra(t *testing.T) {
	before := inEra(1, whole(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 2, 5)))
	removed := inEra(1, changes(7, gone("b", 7)))
	removed.After = 6

	for name, c := range map[string]struct {
		changes []carobward.Changes
		// want is in force at once, later when the time of what was lost is over.
		want, later []string
	}{
		"an older configuration": {
			[]carobward.Changes{before, inEra(2, whole(5, ranked("op/config", 3, 3), ranked("a", 1, 1), ranked("b", 2, 5)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"a newer one at an index given out twice": {
			[]carobward.Changes{before, inEra(2, whole(5, ranked("op/config", 5, 4), ranked("a", 1, 1), ranked("b", 2, 5)))},
			[]string{"a 1", "b 2", "op/config 5"}, []string{"a 1", "b 2", "op/config 5"},
		},
		"the lost one, then a newer one": {
			[]carobward.Changes{
				before, inEra(2, whole(5, ranked("op/config", 3, 3), ranked("a", 1, 1), ranked("b", 2, 5))),
				inEra(2, changes(6, ranked("op/config", 4, 6))), inEra(2, changes(7, ranked("op/config", 6, 7))),
			},
			[]string{"a 1", "b 2", "op/config 6"}, []string{"a 1", "b 2", "op/config 6"},
		},
		"no configuration": {
			[]carobward.Changes{before, inEra(2, whole(1, ranked("a", 1, 1)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "op/config 4"},
		},
		"an older entry": {
			[]carobward.Changes{before, inEra(2, whole(4, ranked("op/config", 4, 3), ranked("a", 1, 1), ranked("b", 1, 2)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"an entry that is written again": {
			[]carobward.Changes{
				before, inEra(2, whole(4, ranked("op/config", 4, 3), ranked("a", 1, 1))), inEra(2, changes(5, ranked("b", 3, 5))),
			},
			[]string{"a 1", "b 3", "op/config 4"}, []string{"a 1", "b 3", "op/config 4"},
		},
		"a removed entry": {
			[]carobward.Changes{before, removed, inEra(2, whole(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 2, 5)))},
			[]string{"a 1", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"a removed entry, older": {
			[]carobward.Changes{before, removed, inEra(2, whole(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 1, 5)))},
			[]string{"a 1", "op/config 4"}, []string{"a 1", "op/config 4"},
		},
		"a removed entry that is written again": {
			[]carobward.Changes{before, removed, inEra(2, whole(7, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 3, 7)))},
			[]string{"a 1", "b 3", "op/config 4"}, []string{"a 1", "b 3", "op/config 4"},
		},
		"a removed entry that is there again in the next but one": {
			[]carobward.Changes{
				before, removed, inEra(2, whole(7, ranked("op/config", 4, 6), ranked("a", 1, 1))),
				inEra(3, whole(6, ranked("op/config", 4, 6), ranked("a", 1, 1), ranked("b", 2, 5))),
			},
			[]string{"a 1", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"an answer of the era before": {
			[]carobward.Changes{inEra(2, whole(4, ranked("a", 2, 4))), before},
			[]string{"a 2"}, []string{"a 2"},
		},
		"changes after an index of the era before": {
			[]carobward.Changes{before, inEra(2, changes(9, ranked("a", 2, 8)))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
		"twice in series": {
			[]carobward.Changes{before, inEra(2, whole(1, ranked("a", 1, 1))), inEra(3, whole(2, ranked("a", 1, 1), ranked("c", 1, 2)))},
			[]string{"a 1", "b 2", "c 1", "op/config 4"}, []string{"a 1", "c 1", "op/config 4"},
		},
		"no era is named": {
			[]carobward.Changes{before, changes(7, ranked("a", 2, 7))},
			[]string{"a 1", "b 2", "op/config 4"}, []string{"a 1", "b 2", "op/config 4"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMirror()
			told := map[carobward.Key]string{}
			tell := func(items []carobward.Item) {
				for _, it := range items {
					told[it.Key] = string(it.Value)

					if it.Gone {
						delete(told, it.Key)
					}
				}
			}

			check := func(want []string) {
				t.Helper()

				if diff := cmp.Diff(want, values(m)); diff != "" {
					t.Error(diff)
				}

				if diff := cmp.Diff(want, slices.Sorted(maps.Values(told))); diff != "" {
					t.Errorf("those who follow: %s", diff)
				}
			}

			for i := range c.changes {
				m.Take(c.changes[i], start, tell)
			}

			check(c.want)
			m.Sweep(start.Add(stayTime), tell)
			check(c.later)
		})
	}
}

// TestEntry brings copies into an era by the few keys that changed, where they are at the
// state from which the first one came, and else by all keys.
func TestEntry(t *testing.T) {
	list := inEra(1, whole(3, ranked("a", 1, 1), ranked("b", 1, 2), ranked("c", 1, 3)))
	next := inEra(1, changes(4, ranked("c", 2, 4)))
	next.After = 3

	for name, c := range map[string]struct {
		before []carobward.Changes
		whole  bool
	}{
		"the same state": {[]carobward.Changes{list, next}, false},
		"an older one":   {[]carobward.Changes{list}, true},
		"a newcomer":     {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			from, to := newMirror(), newMirror()
			from.Apply(list, start)
			from.Apply(next, start)

			for i := range c.before {
				to.Apply(c.before[i], start)
			}

			from.Apply(inEra(2, whole(2, ranked("a", 1, 1), ranked("b", 1, 2))), start)

			more := inEra(2, changes(3, ranked("d", 1, 3)))
			more.After = 2
			from.Apply(more, start)

			got := answerTo(to.State(), from)
			if got.Whole != c.whole {
				t.Errorf("whole %v", got.Whole)
			}

			to.Apply(got, start)

			if diff := cmp.Diff(values(from), values(to)); diff != "" {
				t.Error(diff)
			}

			if from.State() != to.State() {
				t.Errorf("%v and %v", from.State(), to.State())
			}

			for _, m := range []*Mirror{from, to} {
				m.Sweep(start.Add(stayTime), func([]carobward.Item) {})

				if diff := cmp.Diff([]string{"a 1", "b 1", "d 1"}, values(m)); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// TestLateEntry lets changes that lead from one era into another arrive at a copy that has
// gone on since it asked. They are none for it, whatever its index is.
func TestLateEntry(t *testing.T) {
	list := inEra(1, whole(3, ranked("a", 1, 1), ranked("b", 1, 2), ranked("c", 1, 3)))
	next := inEra(1, changes(4, ranked("c", 2, 4)))
	next.After = 3
	beyond := inEra(1, changes(7, ranked("c", 3, 7)))
	beyond.After = 6

	for name, since := range map[string]carobward.Changes{
		"further in its era":    next,
		"items beyond its copy": beyond,
		"in the new era":        inEra(2, whole(2, ranked("a", 1, 1), ranked("e", 1, 2))),
	} {
		t.Run(name, func(t *testing.T) {
			from, to := newMirror(), newMirror()
			from.Apply(list, start)
			to.Apply(list, start)
			from.Apply(inEra(2, whole(5, ranked("a", 1, 1), ranked("d", 1, 5))), start)

			late := from.Since(to.State())
			to.Apply(since, start)

			state := to.State()
			to.Apply(late, start)

			if diff := cmp.Diff(state, to.State()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestEntryUnlikeOthers wants a copy that had items beyond its index to lead no other copy
// into an era by few keys: the other one may lack them.
func TestEntryUnlikeOthers(t *testing.T) {
	list := inEra(1, whole(3, ranked("a", 1, 1), ranked("b", 1, 2), ranked("c", 1, 3)))
	beyond := inEra(1, changes(7, ranked("c", 3, 7)))
	beyond.After = 6

	from := newMirror()
	from.Apply(list, start)

	at := from.State()
	from.Apply(beyond, start)
	from.Apply(inEra(2, whole(5, ranked("a", 1, 1), ranked("d", 1, 5))), start)

	if !from.Since(at).Whole {
		t.Error("not all keys")
	}
}

// TestReleasedStaysGone has a peer keep an entry that the store lacks, as one that may have
// lapsed, and wants it to be gone for good once its time is over here: neither the peer, whose
// time ends a little later, nor the next era may bring it back.
func TestReleasedStaysGone(t *testing.T) {
	m := newMirror()
	m.Apply(inEra(2, whole(7, ranked("a", 1, 1))), start)

	keeps := inEra(2, changes(7))
	keeps.After = 7
	keeps.Kept = []carobward.Kept{{Item: ranked("b", 2, 5), Rank: carobward.Rank{Write: 2}, For: time.Second}}

	m.Apply(keeps, start)

	if diff := cmp.Diff([]string{"a 1", "b 2"}, values(m)); diff != "" {
		t.Error(diff)
	}

	now := start.Add(time.Second)
	m.Sweep(now, func([]carobward.Item) {})

	// The peer first, then the next era.
	for _, c := range []carobward.Changes{keeps, inEra(3, whole(6, ranked("a", 1, 1), ranked("b", 2, 5)))} {
		for _, it := range m.Apply(c, now) {
			if it.Key == "b" && !it.Gone {
				t.Errorf("it is back in era %d", c.Era)
			}
		}
	}
}

// TestKeptSpreads wants an entry VM that asks the store by itself to have what the store
// lost from a peer.
func TestKeptSpreads(t *testing.T) {
	old, newcomer := newMirror(), newMirror()
	old.Apply(inEra(1, whole(6, ranked("op/config", 4, 6))), start)

	list := inEra(2, whole(5, ranked("op/config", 3, 3)))
	old.Apply(list, start)
	newcomer.Apply(list, start)

	if !newcomer.State().Behind(old.State()) {
		t.Fatal("not behind")
	}

	fetch(newcomer, old)

	if diff := cmp.Diff([]string{"op/config 4"}, values(newcomer)); diff != "" {
		t.Error(diff)
	}

	if newcomer.State() != old.State() {
		t.Errorf("%v and %v", newcomer.State(), old.State())
	}
}

// eraStore is a store that comes back from copies.
type eraStore struct {
	modelStore

	era     int
	version int
	saved   modelStore
}

func (s *eraStore) save() { s.saved = modelStore{s.index, maps.Clone(s.items)} }

func (s *eraStore) restore() {
	s.era++
	s.index, s.items = s.saved.index, maps.Clone(s.saved.items)
}

// configure writes the next configuration.
func (s *eraStore) configure() {
	s.index++
	s.version++
	s.items["op/config"] = ranked("op/config", s.version, s.index)
}

// answer returns what the store answers who has a copy: the changes after its index, or all
// keys where the store lacks that index. All keys are as of an index some changes ago, since
// pages are no snapshot.
func (s *eraStore) answer(m *Mirror, older int) carobward.Changes {
	state := m.State()
	if state.Index == 0 || int(state.Index) > s.index {
		return inEra(s.era, s.list(max(s.index-older, s.saved.index)))
	}

	return inEra(s.era, s.watch(state.Index))
}

// tell brings a copy up to date: where the store has another era, by all keys.
func (s *eraStore) tell(m *Mirror) {
	m.Apply(s.answer(m, 0), start)

	if int(m.State().Era) != s.era {
		m.Apply(inEra(s.era, s.list(s.index)), start)
	}
}

// TestEraModel lets copies ask, fetch from each other and start anew in any order, beside
// a store that is written, comes back from copies of any age, and answers late. No copy may
// ever go back to an older configuration; in the end all have the keys that the store has,
// and the newest configuration that any of those still running had seen.
func TestEraModel(t *testing.T) {
	const copies = 4

	rapid.Check(t, func(t *rapid.T) {
		s := &eraStore{modelStore: modelStore{items: map[string]carobward.Item{}}, era: 1}
		s.save()

		all := make([]*Mirror, copies)
		for i := range all {
			all[i] = newMirror()
		}

		seen := make([]carobward.Version, copies)
		one := func(name string) *Mirror { return all[rapid.IntRange(0, copies-1).Draw(t, name)] }

		var late []lateAnswer

		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1:
				s.write(fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(t, "key")), rapid.Bool().Draw(t, "remove"))
			case 2:
				s.configure()
			case 3:
				s.save()
			case 4:
				s.restore()
			case 5, 6:
				s.tell(one("asks"))
			case 7:
				fetch(one("fetches"), one("from"))
			case 8:
				i := rapid.IntRange(0, copies-1).Draw(t, "starts")
				all[i], seen[i] = newMirror(), 0
			case 9:
				m := one("asks")
				late = append(late, lateAnswer{m, s.answer(m, rapid.IntRange(0, 2).Draw(t, "older"))})
			case 10:
				m, from := one("fetches"), one("from")
				if m.State().Behind(from.State()) {
					late = append(late, lateAnswer{m, answerTo(m.State(), from)})
				}
			case 11:
				if len(late) > 0 {
					answer := late[rapid.IntRange(0, len(late)-1).Draw(t, "answer")]
					answer.to.Apply(answer.changes, start)
				}
			}

			for i, m := range all {
				if v := m.State().Version; v < seen[i] {
					t.Fatalf("copy %d has configuration %d after %d", i, v, seen[i])
				}

				seen[i] = m.State().Version
			}
		}

		agree(t, s, all, slices.Max(seen))
	})
}

// lateAnswer is what the store or a copy answered, and what arrives later or twice.
type lateAnswer struct {
	to      *Mirror
	changes carobward.Changes
}

// agree brings all copies up to date and compares them with the store.
func agree(t *rapid.T, s *eraStore, all []*Mirror, seen carobward.Version) {
	t.Helper()

	for _, m := range all {
		s.tell(m)
	}

	for range all {
		for i := range all {
			for j := range all {
				fetch(all[i], all[j])
			}
		}
	}

	for i, m := range all {
		for j, other := range all {
			if m.State().Behind(other.State()) {
				t.Errorf("copy %d stays behind copy %d: %v and %v", i, j, m.State(), other.State())
			}
		}
	}

	want := s.live()
	if _, has := s.items["op/config"]; seen > 0 && !has {
		want = append(want, "op/config")
		slices.Sort(want)
	}

	for i, m := range all {
		m.Sweep(start.Add(time.Hour), func([]carobward.Item) {})

		if diff := cmp.Diff(want, live(m)); diff != "" {
			t.Fatalf("copy %d: %s", i, diff)
		}

		if v := m.State().Version; v < seen {
			t.Errorf("copy %d has configuration %d, not %d", i, v, seen)
		}
	}
}
