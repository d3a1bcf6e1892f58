package cwnode

import (
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwsettings"
)

// queuePerSlot is how many calls a server may hold for each of its slots.
const queuePerSlot = 2

// newPolicy returns the choice of servers of this entry VM.
func newPolicy(s *cwsettings.Settings) cwroute.Policy {
	return cwroute.Wait{Queue: queuePerSlot, Domain: s.Domain, Far: s.Route.Far.Std()}
}
