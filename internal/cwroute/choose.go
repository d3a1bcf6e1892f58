// Package cwroute decides which server gets a call. Its decisions are pure
// functions of the table, the time and the random source handed in.
package cwroute

import (
	"math/rand/v2"

	"carobward.example/carobward/internal/cwserver"
)

// Choose returns the server with fewer of our own calls among two drawn at
// random, passing over those that leave and those in tried. It returns nil
// if none is left.
func Choose(servers []*cwserver.Server, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	first := draw(servers, tried, rng)
	second := draw(servers, tried, rng)

	if first == nil || second == nil {
		return first
	}

	if second.Running.Load() < first.Running.Load() {
		return second
	}

	return first
}

// draw returns a random fit server: the first fit one from a random place.
func draw(servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	n := len(servers)
	if n == 0 {
		return nil
	}

	start := rng.IntN(n)
	for i := range n {
		s := servers[(start+i)%n]
		if !s.Leaving.Load() && !contains(tried, s) {
			return s
		}
	}

	return nil
}

func contains(list []*cwserver.Server, s *cwserver.Server) bool {
	for _, t := range list {
		if t == s {
			return true
		}
	}

	return false
}
