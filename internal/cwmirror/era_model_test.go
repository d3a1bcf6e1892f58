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

// eraStore is a store that can be restored from a backup.
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

// answer returns the store's reply to a replica: the changes after its index, or all keys if the
// store has no such index. The list of all keys has an index from before the latest changes, since
// a list read in pages is no snapshot.
func (s *eraStore) answer(m *Mirror, older int) carobward.Changes {
	state := m.State()
	if state.Index == 0 || int(state.Index) > s.index {
		return inEra(s.era, s.list(max(s.index-older, s.saved.index)))
	}

	return inEra(s.era, s.watch(state.Index))
}

// update updates a replica, by all keys if the store is in another era.
func (s *eraStore) update(m *Mirror) {
	m.Apply(s.answer(m, 0), start)

	if int(m.State().Era) != s.era {
		m.Apply(inEra(s.era, s.list(s.index)), start)
	}
}

// TestEraModel lets replicas query the store, fetch from each other and restart in any order, while
// the store is written, is restored from backups of any age, and answers late. No replica may ever
// go back to an older configuration. In the end all must have the keys of the store and the newest
// configuration that any running replica has had.
func TestEraModel(t *testing.T) {
	const replicas = 4

	rapid.Check(t, func(t *rapid.T) {
		s := &eraStore{modelStore: modelStore{items: map[string]carobward.Item{}}, era: 1}
		s.save()

		all := make([]*Mirror, replicas)
		for i := range all {
			all[i] = newMirror()
		}

		seen := make([]carobward.Version, replicas)
		pick := func(name string) *Mirror { return all[rapid.IntRange(0, replicas-1).Draw(t, name)] }

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
				s.update(pick("asks"))
			case 7:
				fetch(pick("fetches"), pick("from"))
			case 8:
				i := rapid.IntRange(0, replicas-1).Draw(t, "starts")
				all[i], seen[i] = newMirror(), 0
			case 9:
				m := pick("asks")
				late = append(late, lateAnswer{m, s.answer(m, rapid.IntRange(0, 2).Draw(t, "older"))})
			case 10:
				m, from := pick("fetches"), pick("from")
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
					t.Fatalf("replica %d has configuration %d after %d", i, v, seen[i])
				}

				seen[i] = m.State().Version
			}
		}

		requireSync(t, s, all, slices.Max(seen))
	})
}

// lateAnswer is a reply of the store or of a replica that arrives late or twice.
type lateAnswer struct {
	to      *Mirror
	changes carobward.Changes
}

// requireSync updates all replicas and compares them with the store.
func requireSync(t *rapid.T, s *eraStore, all []*Mirror, seen carobward.Version) {
	t.Helper()

	for _, m := range all {
		s.update(m)
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
				t.Errorf("replica %d stays behind replica %d: %v and %v", i, j, m.State(), other.State())
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
			t.Fatalf("replica %d: %s", i, diff)
		}

		if v := m.State().Version; v < seen {
			t.Errorf("replica %d has configuration %d, although %d was effective before", i, v, seen)
		}
	}
}
