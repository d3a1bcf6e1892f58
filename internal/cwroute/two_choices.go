// Package cwroute chooses the server that gets a call. A choice depends only on
// the table of servers, the time and the random source passed in.
package cwroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// TwoChoices draws two servers at random and chooses the one with fewer calls
// of this entry VM in flight (the power of two choices).
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(_ time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
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

// draw returns a random eligible server: the first one from a random index on.
func draw(servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	n := len(servers)
	if n == 0 {
		return nil
	}

	start := rng.IntN(n)
	for i := range n {
		s := servers[(start+i)%n]
		if eligible(s, tried) {
			return s
		}
	}

	return nil
}

// eligible reports whether a server may get this request at all: it is not
// leaving and has not had the request before.
func eligible(s *cwserver.Server, tried []*cwserver.Server) bool {
	return !s.Leaving.Load() && !slices.Contains(tried, s)
}
