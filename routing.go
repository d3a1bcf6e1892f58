package carobward

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Routing is one version of the operators' configuration as an entry VM uses
// it. It is not changed once it is in force.
type Routing struct {
	// Version rises from one configuration to the next.
	Version Version
	// Services has the groups of servers by name.
	Services map[Service]ServiceSpec
	// Limits bound what callers may send.
	Limits Limits
	// Hosts has the routes by the Host that they serve.
	Hosts map[string][]Route
	// Teams are those whose callers show a key. Where there are none nobody needs one.
	Teams []Team
}

// ServiceSpec is what the operator says of a group of servers.
type ServiceSpec struct {
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// Conns is how many connections one server takes from all entry VMs.
	Conns int
	// Warmup is how long a server is cold after its start, WarmupRate how many requests
	// a second it tolerates while it is; 0 where there is no bound.
	Warmup     time.Duration
	WarmupRate float64
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// Header and Body are the largest request header and body in bytes.
	Header ByteCount
	Body   ByteCount
	// HeaderTime bounds the time to send a header, Idle the time that a
	// connection waits for its next request.
	HeaderTime time.Duration
	Idle       time.Duration
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   RouteName
	Prefix string
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Timeout bounds the time until a request's final answer.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth the most.
	Objective time.Duration
	// Priority is the rank under overload; 0 is served first.
	Priority int
	// Shares has the services with their shares of the requests.
	Shares []Share
	// Attempts is the most servers that one request is sent to.
	Attempts int
	// Homes are the regions that its requests may be sent to; none: any.
	Homes []Region
	// Anonymous tells that its requests need no key.
	Anonymous bool
}

// Share is a service's share of a route's requests.
type Share struct {
	Service Service
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Backend is a backend server as the platform's list shows it.
type Backend struct {
	Instance Instance
	Start    Start
	Address  Address
	Service  Service
	Domain   Domain
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving tells that it takes no new work and will end.
	Leaving bool
	// Warmup is how much longer it is slow after its start, from the time at
	// which the entry was written.
	Warmup time.Duration
}

// Validate returns all that is wrong with a configuration, or nil.
func (r *Routing) Validate() error {
	wrong := checkTeams(r.Teams)

	for _, list := range r.Hosts {
		for i := range list {
			for _, one := range r.check(&list[i]) {
				wrong = append(wrong, "route "+string(list[i].Name)+": "+one)
			}
		}
	}

	if len(wrong) > 0 {
		return errors.New("configuration: " + strings.Join(wrong, "; "))
	}

	return nil
}

// check returns what is wrong with one route.
func (r *Routing) check(o *Route) []string {
	var wrong []string

	need := func(ok bool, text string) {
		if !ok {
			wrong = append(wrong, text)
		}
	}

	need(strings.HasPrefix(o.Prefix, "/") && strings.HasSuffix(o.Prefix, "/"), "the prefix must begin and end with a slash")
	need(o.Timeout > 0, "the timeout must be above zero")
	need(o.Attempts > 0, "the number of attempts must be above zero")

	total := 0

	for _, s := range o.Shares {
		_, known := r.Services[s.Service]
		need(known, "there is no service "+string(s.Service))
		need(s.Weight >= 0, "the weight of "+string(s.Service)+" must not be below zero")
		total += s.Weight
	}

	need(total > 0, "it has no service with a weight above zero")

	return wrong
}
