package cwrank

import (
	"fmt"
	"testing"
)

// TestWeight checks that similar names share keys evenly, and that removing a name only moves
// its own keys.
func TestWeight(t *testing.T) {
	const (
		names = 20
		keys  = 20_000
		even  = keys / names
	)

	first := func(n int, key string) int {
		best := 0
		for i := range n {
			if Weight(fmt.Sprintf("front-hall-%d", i), key) > Weight(fmt.Sprintf("front-hall-%d", best), key) {
				best = i
			}
		}

		return best
	}

	counts := map[int]int{}

	for i := range keys {
		key := fmt.Sprintf("i-%04x", i)
		all := first(names, key)
		counts[all]++

		if less := first(names-1, key); all != names-1 && less != all {
			t.Fatalf("%s moved from %d to %d, though neither is the removed name", key, all, less)
		}
	}

	for i := range names {
		if n := counts[i]; n < even*8/10 || n > even*12/10 {
			t.Errorf("name %d got %d keys, an even share is %d", i, n, even)
		}
	}
}

// TestMix checks that names share keys as evenly as with Weight: each of 20 names is among the
// first 4 for a fifth of the keys.
func TestMix(t *testing.T) {
	const (
		names = 20
		keys  = 20_000
		first = 4
		even  = keys * first / names
	)

	var hashes [names]uint64
	for n := range names {
		hashes[n] = Hash(fmt.Sprintf("front-hall-%d", n))
	}

	counts := map[int]int{}

	for i := range keys {
		key := Hash(fmt.Sprintf("i-%04x", i))

		for n := range names {
			own, rank := Mix(hashes[n], key), 0

			for other := range names {
				if Mix(hashes[other], key) > own {
					rank++
				}
			}

			if rank < first {
				counts[n]++
			}
		}
	}

	for n := range names {
		if got := counts[n]; got < even*95/100 || got > even*105/100 {
			t.Errorf("name %d is among the first for %d keys, an even share is %d", n, got, even)
		}
	}
}

// TestMixStable checks that the weight is the same in each build, like TestWeightStable.
func TestMixStable(t *testing.T) {
	if got := Mix(Hash("front-1"), Hash("i-1")); got != 0xf284042301cb3706 {
		t.Errorf("weight %#x", got)
	}
}

// TestWeightSeparator checks that the two strings are separated.
func TestWeightSeparator(t *testing.T) {
	if Weight("ab", "c") == Weight("a", "bc") || Weight("a", "") == Weight("", "a") {
		t.Error("different pairs have the same weight")
	}
}

// TestWeightStable checks that the weight is the same in each build: entry VMs of two versions
// run side by side during a rollout.
func TestWeightStable(t *testing.T) {
	if got := Weight("front-1", "i-1"); got != 0x2fe1c82514b0120 {
		t.Errorf("weight %#x", got)
	}
}

func BenchmarkWeight(b *testing.B) {
	b.ReportAllocs()

	for b.Loop() {
		Weight("front-ifrane-hall-12", "i-7f3a91c2")
	}
}

func BenchmarkMix(b *testing.B) {
	name, key := Hash("front-ifrane-hall-12"), Hash("i-7f3a91c2")

	b.ReportAllocs()

	for b.Loop() {
		key = Mix(name, key)
	}
}
