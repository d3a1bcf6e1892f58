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

// modelStore is a store that remembers every key, including removed ones.
type modelStore struct {
	index int
	items map[string]carobward.Item
}

func (s *modelStore) write(key string, remove bool) {
	s.index++

	it := item(key, s.index)
	if remove {
		it = removal(key, s.index)
	}

	s.items[key] = it
}

// list returns all keys. The index may be older than the items, since a list read in pages is no
// snapshot.
func (s *modelStore) list(index int) carobward.Changes {
	c := fullList(index)
	c.Gap.To = carobward.StoreIndex(s.index)

	for _, it := range s.items {
		if !it.Deleted {
			c.Items = append(c.Items, it)
		}
	}

	return c
}

// watch returns the changes after an index.
func (s *modelStore) watch(after carobward.StoreIndex) carobward.Changes {
	c := changes(s.index)
	c.After = after

	for _, it := range s.items {
		if it.Index > after {
			c.Items = append(c.Items, it)
		}
	}

	return c
}

func (s *modelStore) live() []string {
	var keys []string

	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !s.items[key].Deleted {
			keys = append(keys, key)
		}
	}

	return keys
}

// TestModel lets replicas list, watch, hold removals back, fetch from each other and restart in any
// order. In the end the store updates one of them and the others update each other: all must have
// exactly the keys of the store.
func TestModel(t *testing.T) {
	const replicas = 4

	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{items: map[string]carobward.Item{}}
		all := make([]*Mirror, replicas)

		for i := range all {
			all[i] = newMirror()
		}

		pick := func(name string) *Mirror { return all[rapid.IntRange(0, replicas-1).Draw(t, name)] }

		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				key := fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(t, "key"))
				s.write(key, rapid.Bool().Draw(t, "remove"))
			case 3:
				older := rapid.IntRange(0, min(2, s.index)).Draw(t, "older")
				m := pick("lists")
				hold(t, m)
				m.Apply(s.list(s.index-older), start)
			case 4:
				m := pick("watches")
				hold(t, m)
				m.Apply(s.watch(m.State().Index), start)
			case 5, 6:
				fetch(pick("fetches"), pick("from"))
			case 7:
				all[rapid.IntRange(0, replicas-1).Draw(t, "starts")] = newMirror()
			}
		}

		all[0].Apply(s.watch(all[0].State().Index), start)

		for i := 1; i < replicas; i++ {
			fetch(all[i], all[i-1])
		}

		for i, m := range all {
			m.Sweep(start.Add(time.Hour), func([]carobward.Item) {})

			if diff := cmp.Diff(s.live(), live(m)); diff != "" {
				t.Fatalf("replica %d: %s", i, diff)
			}
		}
	})
}

// hold makes a replica hold removals back, or not.
func hold(t *rapid.T, m *Mirror) {
	if rapid.Bool().Draw(t, "hold") {
		m.Hold(start)
	}
}

// fetch updates a replica from another one, as entry VMs do.
func fetch(to, from *Mirror) {
	if own := to.State(); own.Behind(from.State()) {
		to.Apply(answerTo(own, from), start)
	}
}

// answerTo returns the reply of a replica to one at a state.
func answerTo(own State, from *Mirror) carobward.Changes {
	c := from.Since(own)
	c.Retained, c.HoldDeletes = from.Kept(start), from.HoldRemaining(start)

	return c
}

// TestNewReplica guards against removed keys that stay: a new replica lists the store after a key
// was removed, and then updates a replica that still has the key.
func TestNewReplica(t *testing.T) {
	old, newcomer := newMirror(), newMirror()
	old.Apply(fullList(3, item("a", 1), item("b", 3)), start)
	newcomer.Apply(fullList(5, item("a", 1), item("c", 5)), start)

	fetch(old, newcomer)

	if diff := cmp.Diff([]string{"a", "c"}, live(old)); diff != "" {
		t.Error(diff)
	}
}
