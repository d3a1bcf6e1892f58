package cwrank

import (
	"fmt"
	"testing"
)

// TestWeight wants similar names to share things evenly, and one that goes to
// move only its own.
func TestWeight(t *testing.T) {
	const (
		names  = 20
		things = 20_000
		even   = things / names
	)

	first := func(n int, thing string) int {
		best := 0
		for i := range n {
			if Weight(fmt.Sprintf("front-hall-%d", i), thing) > Weight(fmt.Sprintf("front-hall-%d", best), thing) {
				best = i
			}
		}

		return best
	}

	had := map[int]int{}

	for i := range things {
		thing := fmt.Sprintf("i-%04x", i)
		all := first(names, thing)
		had[all]++

		if less := first(names-1, thing); all != names-1 && less != all {
			t.Fatalf("%s moved from %d to %d, which had nothing to do with it", thing, all, less)
		}
	}

	for i := range names {
		if n := had[i]; n < even*8/10 || n > even*12/10 {
			t.Errorf("name %d got %d things of %d each", i, n, even)
		}
	}
}

// TestWeightKeepsApart wants the two texts not to run together.
func TestWeightKeepsApart(t *testing.T) {
	if Weight("ab", "c") == Weight("a", "bc") || Weight("a", "") == Weight("", "a") {
		t.Error("different pairs have one weight")
	}
}

// TestWeightStays wants the weight to be the same in each build: entry VMs of two
// versions run side by side while they are replaced.
func TestWeightStays(t *testing.T) {
	if got := Weight("front-1", "i-1"); got != 0x2fe1c82514b0120 {
		t.Errorf("%#x", got)
	}
}

func BenchmarkWeight(b *testing.B) {
	b.ReportAllocs()

	for b.Loop() {
		Weight("front-ifrane-hall-12", "i-7f3a91c2")
	}
}
