package cwgateway

import (
	"time"

	"carobward.example/carobward/internal/cwhold"
)

// claimDelay is the delay before checking again whether the keys in force are known, if only
// a claim of the store or of a peer is missing. It is enough for one exchange of heartbeats.
const claimDelay = 50 * time.Millisecond

// startup returns what this entry VM has of what it needs to serve requests after its start.
func (g *Gateway) startup(now time.Time) cwhold.Start {
	s := cwhold.Start{Age: now.Sub(g.started), Configured: g.isReady() || g.front.Routes() != nil && g.servers.Count() > 0}

	if s.Configured && !g.isReady() && g.mesh.Checked().IsZero() {
		s.Keys = max(claimDelay, g.mesh.SettlesIn(now))
	}

	return s
}
