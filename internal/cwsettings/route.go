package cwsettings

import (
	"time"

	"carobward.example/carobward"
)

// Route has parameters of the choice of servers and entry VMs that an entry
// VM cannot observe.
type Route struct {
	// Far is the additional round-trip time of a call to a server in another
	// failure domain.
	Far carobward.Duration `json:"far"`
	// Rate is the number of requests per second for one target that one entry
	// VM should forward. At a higher rate, callers are told to use more entry
	// VMs.
	Rate float64 `json:"rate"`
}

// The default values of Route.
const (
	defaultRouteFar  = 1500 * time.Microsecond
	defaultRouteRate = 3000
)

// maxRouteRate is more than one entry VM can forward.
const maxRouteRate = 1_000_000

func defaultRoute() Route {
	return Route{Far: carobward.Duration(defaultRouteFar), Rate: defaultRouteRate}
}

func (r *Route) validate(fail reportFunc) {
	if r.Far < 0 || r.Far.Std() > maxTime {
		fail("route.far", `want a time from 0s to %s, such as "1500us", got %s`, maxTime, r.Far.Std())
	}

	if !(r.Rate >= 1 && r.Rate <= maxRouteRate) {
		fail("route.rate", `want the requests a second of one target, from 1 to %d, got %v`, maxRouteRate, r.Rate)
	}
}
