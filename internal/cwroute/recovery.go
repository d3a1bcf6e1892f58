package cwroute

import (
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// healthyFactor times the usual latency is the highest expected latency of a
// healthy server.
const healthyFactor = 4

// AnyEligible reports whether any server of the list may get a request, full or
// not.
func AnyEligible(servers, tried []*cwserver.Server) bool {
	for _, s := range servers {
		if eligible(s, tried) {
			return true
		}
	}

	return false
}

// RecoveryTime returns the time after which some server is expected to answer:
// the usual latency if one is healthy, else the time until the first ejection
// ends. It returns fallback if neither is known.
func RecoveryTime(now time.Time, servers []*cwserver.Server, fallback time.Duration) time.Duration {
	shortest := time.Duration(0)

	for _, s := range servers {
		if !eligible(s, nil) {
			continue
		}

		m := s.Moment(now)
		v := s.View(&m)
		wait := s.EjectedFor(&m)

		if wait == 0 && v.Latency <= healthyFactor*s.UsualLatency() {
			wait = s.UsualLatency()
		}

		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}

	if shortest == 0 {
		return fallback
	}

	return shortest
}
