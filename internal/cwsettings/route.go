package cwsettings

import (
	"time"

	"carobward.example/carobward"
)

// Route says what the choice of servers and of entry VMs can't see itself.
type Route struct {
	// Far is what a call to a server in another failure domain takes
	// longer, there and back.
	Far carobward.Duration `json:"far"`
	// Rate is how many requests a second of one target one entry VM should
	// carry; beyond it callers are told of more entry VMs.
	Rate float64 `json:"rate"`
}

// The default values of the routing.
const (
	defaultRouteFar  = 1500 * time.Microsecond
	defaultRouteRate = 3000
)

// routeRateMost is more than one entry VM can carry.
const routeRateMost = 1_000_000

func defaultRoute() Route {
	return Route{Far: carobward.Duration(defaultRouteFar), Rate: defaultRouteRate}
}

func (r *Route) validate(fail failer) {
	if r.Far < 0 || r.Far.Std() > timeHigh {
		fail("route.far", `want a time from 0s to %s, such as "1500us", got %s`, timeHigh, r.Far.Std())
	}

	if !(r.Rate >= 1 && r.Rate <= routeRateMost) {
		fail("route.rate", `want the requests a second of one target, from 1 to %d, got %v`, routeRateMost, r.Rate)
	}
}
