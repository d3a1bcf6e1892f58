package cwmap_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward/internal/cwmap"
)

func TestMap(t *testing.T) {
	created := 0
	m := cwmap.New[string](func() int {
		created++

		return created
	})

	var group conc.WaitGroup
	for range 50 {
		group.Go(func() { m.Get("a") })
	}

	group.Wait()

	got := []int{m.Get("a"), m.Get("b"), m.Get("a")}
	m.Retain(func(k string, _ int) bool { return k == "b" })

	got = append(got, m.Get("a"), m.Get("b"))
	if diff := cmp.Diff([]int{1, 2, 1, 3, 2}, got); diff != "" {
		t.Error(diff)
	}
}
