package cwnode

import (
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwsettings"
)

// queuePerSlot is the maximum number of calls at a server for each of its slots.
const queuePerSlot = 2

// newPolicy returns the policy by which this entry VM chooses servers.
func newPolicy(s *cwsettings.Settings) cwroute.Policy {
	return cwroute.LeastTime{MaxPerSlot: queuePerSlot, Domain: s.Domain, CrossDomainTime: s.Route.Far.Std()}
}
