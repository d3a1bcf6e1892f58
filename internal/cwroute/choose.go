// Package cwroute decides which server gets a call. Its decisions are pure
// functions of the table, the time and the random source handed in.
package cwroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// Pair takes the server with fewer of our own calls among two drawn at
// random.
type Pair struct{}

// Choose implements Policy.
func (Pair) Choose(_ time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
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
		if fit(s, tried) {
			return s
		}
	}

	return nil
}

// fit tells whether a server may get this request at all.
func fit(s *cwserver.Server, tried []*cwserver.Server) bool {
	return !s.Leaving.Load() && !slices.Contains(tried, s)
}
