package cwroute

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// Policy chooses servers. It must be safe for concurrent use by goroutines that
// each pass their own random source.
type Policy interface {
	// Choose returns the server for the next call, or nil if there is none.
	// Servers in tried have had this request before and are skipped.
	Choose(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server
}
