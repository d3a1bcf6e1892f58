package cwmirror

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestRankOnce guards against values that are decoded with each tick, and not with each change.
func TestRankOnce(t *testing.T) {
	calls := 0
	m := newLateMirror()
	rank := m.Rank
	m.Rank = func(k carobward.Key, raw []byte) carobward.Rank {
		calls++

		return rank(k, raw)
	}

	list := func(era carobward.StoreEra, v lateValue) {
		it := carobward.Item{Key: lateKey, Index: 2, Value: v.encode()}
		m.Apply(carobward.Changes{Full: true, Era: era, Index: 2, Items: []carobward.Item{it}}, start)
	}

	// The store comes back from a copy with an older value, and the newer one stays in force.
	list(1, lateValue{1, 9, false})
	list(2, lateValue{1, 3, false})

	before := calls

	for n := range 100 {
		m.Sweep(start.Add(retention+time.Duration(n)*time.Second), func([]carobward.Item) {})
		m.Kept(start)
		m.State()
	}

	if diff := cmp.Diff(before, calls); diff != "" {
		t.Error(diff)
	}
}

// TestHeldBackOnce guards against a line in the log with each heartbeat, because another writer writes
// a number that is too high again and again.
func TestHeldBackOnce(t *testing.T) {
	held := 0
	m := newLateMirror()
	m.Log = funcr.New(func(_, line string) {
		if strings.Contains(line, "is held back") {
			held++
		}
	}, funcr.Options{})

	index, now := carobward.StoreIndex(1), start
	m.Apply(fullList(1), now)

	for n := range 20 {
		for _, v := range []lateValue{{1, uint64(n + 1), false}, {1, 1 << 60, false}} {
			index++
			now = now.Add(testHeartbeat / 2)
			it := carobward.Item{Key: lateKey, Index: index, Value: v.encode()}
			m.Apply(carobward.Changes{Items: []carobward.Item{it}, After: index - 1, Index: index}, now)
		}
	}

	if diff := cmp.Diff("1 lines", fmt.Sprint(held, " lines")); diff != "" {
		t.Error(diff)
	}
}
