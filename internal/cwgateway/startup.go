package cwgateway

import (
	"time"

	"carobward.example/carobward/internal/cwhold"
)

// claimDelay is when to look again whether the keys in force are known, once only the word of
// a peer is missing: one more exchange of heartbeats.
const claimDelay = 50 * time.Millisecond

// startup returns the state of this entry VM's start.
func (g *Gateway) startup(now time.Time) cwhold.Start {
	s := cwhold.Start{Age: now.Sub(g.started), Configured: g.isReady() || g.front.Routes() != nil && g.servers.Count() > 0}

	if s.Configured && !g.isReady() && g.mesh.Checked().IsZero() {
		s.Keys = max(claimDelay, g.mesh.SettlesIn(now))
	}

	return s
}
