package cwroute

import (
	"time"

	"carobward.example/carobward/internal/cwserver"
)

// soundFactor is how many usual latencies a sound server may be expected to
// take.
const soundFactor = 4

// Any tells whether a server of the list may get a request at all, full or
// not.
func Any(servers, tried []*cwserver.Server) bool {
	for _, s := range servers {
		if fit(s, tried) {
			return true
		}
	}

	return false
}

// Recovery returns the time after which a server is expected to answer again:
// the usual latency if one is sound, else until the first one that has been
// ejected is tried again. It returns none if there is nothing to go by.
func Recovery(now time.Time, servers []*cwserver.Server, none time.Duration) time.Duration {
	least := time.Duration(0)

	for _, s := range servers {
		if !fit(s, nil) {
			continue
		}

		m := s.Moment(now)
		v := s.View(&m)
		wait := s.EjectedFor(&m)

		if wait == 0 && v.Latency <= soundFactor*s.Usual() {
			wait = s.Usual()
		}

		if wait > 0 && (least == 0 || wait < least) {
			least = wait
		}
	}

	if least == 0 {
		return none
	}

	return least
}
