package cwmirror

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

func item(key string, index int) carobward.Item {
	return carobward.Item{Key: carobward.Key(key), Value: []byte(key), Index: carobward.StoreIndex(index)}
}

func removal(key string, index int) carobward.Item {
	return carobward.Item{Key: carobward.Key(key), Index: carobward.StoreIndex(index), Deleted: true}
}

func changes(index int, items ...carobward.Item) carobward.Changes {
	return carobward.Changes{Items: items, Index: carobward.StoreIndex(index)}
}

func fullList(index int, items ...carobward.Item) carobward.Changes {
	c := changes(index, items...)
	c.Full = true

	return c
}

// rankOf reads the rank from a value of these tests, which is the key and the rank, as in
// "servers/a 3".
func rankOf(_ carobward.Key, value []byte) carobward.Rank {
	_, text, _ := strings.Cut(string(value), " ")
	n, _ := strconv.ParseUint(text, 10, 64)

	return carobward.Rank{Write: n}
}

// retention is for how long lost items other than the configuration stay effective.
const retention = time.Minute

// newMirror returns an empty replica for which all keys but "op/config" are servers' entries.
func newMirror() *Mirror {
	isRouting := func(k carobward.Key) bool { return k == "op/config" }

	return New(Options{
		Rank: rankOf, IsRouting: isRouting, IsBackend: func(k carobward.Key) bool { return !isRouting(k) },
		Retention: func(it carobward.Item) time.Duration {
			if isRouting(it.Key) {
				return carobward.Forever
			}

			return retention
		},
	})
}

var start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

// effectiveItems returns the effective items of a replica.
func effectiveItems(m *Mirror) map[carobward.Key]carobward.Item {
	all := map[carobward.Key]carobward.Item{}

	for _, it := range m.Since(State{}).Items {
		all[it.Key] = it
	}

	for _, k := range m.Kept(start) {
		all[k.Key] = k.Item
		if k.Deleted {
			delete(all, k.Key)
		}
	}

	return all
}

// live returns the keys that exist in a replica.
func live(m *Mirror) []string {
	var keys []string

	for key := range effectiveItems(m) {
		keys = append(keys, string(key))
	}

	slices.Sort(keys)

	return keys
}

// TestApply checks the keys and the state of a replica after lists and changes of one era.
func TestApply(t *testing.T) {
	for name, c := range map[string]struct {
		changes []carobward.Changes
		hold    bool
		want    []string
		state   State
	}{
		"a list and an event": {
			[]carobward.Changes{fullList(3, item("a", 1), item("b", 3)), changes(4, item("c", 4))},
			false, []string{"a", "b", "c"}, State{Index: 4, Top: 4},
		},
		"a removal":              {[]carobward.Changes{fullList(3, item("a", 1)), changes(4, removal("a", 4))}, false, nil, State{Index: 4, Top: 4}},
		"a removal is held back": {[]carobward.Changes{changes(2, item("a", 1)), changes(4, removal("a", 4), item("b", 3))}, true, []string{"a", "b"}, State{Index: 4, Top: 4, Kept: 1}},
		"a list without a key":   {[]carobward.Changes{fullList(3, item("a", 1)), fullList(5, item("b", 4))}, false, []string{"b"}, State{Index: 5, Top: 5}},
		"an older list":          {[]carobward.Changes{fullList(5, item("b", 4)), fullList(3, item("a", 1))}, false, []string{"b"}, State{Index: 5, Top: 5}},
		"an older list with newer items": {
			[]carobward.Changes{fullList(5, item("b", 4)), changes(3, item("c", 7))},
			false, []string{"b", "c"}, State{Index: 5, Top: 7},
		},
		"a removed key is written again": {[]carobward.Changes{changes(2, removal("a", 2)), changes(3, item("a", 3))}, false, []string{"a"}, State{Index: 3, Top: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMirror()
			if c.hold {
				m.Hold(start)
			}

			for _, one := range c.changes {
				m.Apply(one, start)
			}

			if diff := cmp.Diff(c.want, live(m)); diff != "" {
				t.Error(diff)
			}

			if diff := cmp.Diff(c.state, m.State()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSince updates one replica from another, also where the other one has dropped its tombstones.
func TestSince(t *testing.T) {
	for name, churn := range map[string]int{"tombstones kept": 10, "tombstones dropped": 2 * maxTombstones} {
		t.Run(name, func(t *testing.T) {
			from, to := newMirror(), newMirror()
			from.Apply(fullList(1, item("stays", 1), item("goes", 1)), start)
			to.Apply(from.Since(State{}), start)

			index := 1
			step := func(it carobward.Item) {
				from.Apply(changes(int(it.Index), it), start)
			}

			for range churn {
				step(item("churn", index+1))
				step(removal("churn", index+2))
				index += 2
			}

			for i := range churn {
				step(item(string(rune('a'+i)), index+1))
				step(removal(string(rune('a'+i)), index+2))
				index += 2
			}

			step(removal("goes", index+1))

			if !to.State().Behind(from.State()) {
				t.Fatal("the replica is not behind")
			}

			to.Apply(from.Since(to.State()), start)

			if diff := cmp.Diff(live(from), live(to)); diff != "" {
				t.Error(diff)
			}

			if to.State() != from.State() {
				t.Errorf("states differ: %v and %v", to.State(), from.State())
			}
		})
	}
}

// TestNotifyOrder applies a newer item of a key while an older one is still being passed on, as
// happens if one comes from the store and one from a peer. The newer one must be passed on last.
func TestNotifyOrder(t *testing.T) {
	m := newMirror()

	var (
		last  carobward.StoreIndex
		group sync.WaitGroup
	)

	began, applied := make(chan struct{}), make(chan struct{})

	group.Go(func() {
		older := carobward.Changes{Index: 1, Items: []carobward.Item{{Key: "servers/i", Index: 1}}}
		m.ApplyAndNotify(older, start, func(items []carobward.Item) {
			close(began)

			select {
			case <-applied:
			case <-time.After(100 * time.Millisecond):
			}

			last = items[0].Index
		})
	})
	group.Go(func() {
		<-began

		newer := carobward.Changes{Index: 2, Items: []carobward.Item{{Key: "servers/i", Index: 2}}}
		m.ApplyAndNotify(newer, start, func(items []carobward.Item) { last = items[0].Index })
		close(applied)
	})
	group.Wait()

	if last != 2 {
		t.Errorf("index %d was passed on last", last)
	}
}
