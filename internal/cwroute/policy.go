package cwroute

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// Policy chooses servers. It may be used by many goroutines, each with its
// own random source.
type Policy interface {
	// Choose returns the server that the next call goes to, or nil if none is
	// left. Servers in tried had this request before and are passed over.
	Choose(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server
}
