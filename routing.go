package carobward

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Routing is one version of the operators' configuration in the form that an entry VM uses.
// It is immutable once it is effective.
type Routing struct {
	// Version rises from one configuration to the next.
	Version Version
	// Services are the groups of servers by name.
	Services map[Service]ServiceSpec
	// Limits restrict what callers may send.
	Limits Limits
	// Hosts are the routes by the Host header that they serve.
	Hosts map[string][]Route
	// Teams are the teams whose callers authenticate by API key. If there are none, no
	// request needs a key.
	Teams []Team
	// Notes are lines for the log: which values were rounded or replaced by a default.
	Notes []string
}

// ServiceSpec is the operators' configuration of a group of servers.
type ServiceSpec struct {
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// Conns is how many connections one server accepts from all entry VMs together.
	Conns int
	// Warmup is how long a server warms up after its start. WarmupRate is how many requests
	// a second it tolerates meanwhile; 0 means no limit.
	Warmup     time.Duration
	WarmupRate float64
}

// Limits restrict what a caller may send, and how long it may take.
type Limits struct {
	// Header and Body are the maximum sizes of a request's header and body.
	Header ByteCount
	Body   ByteCount
	// HeaderTime is the maximum time to receive a header, Idle the maximum time that a
	// connection waits for its next request.
	HeaderTime time.Duration
	Idle       time.Duration
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   RouteName
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request's final reply.
	Timeout time.Duration
	// Objective is the latency objective: replies within it are worth the most.
	Objective time.Duration
	// Priority is the priority under overload; 0 is served first.
	Priority int
	// Shares are the services and their shares of the requests.
	Shares []Share
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts int
	// AllowedRegions are the regions that its requests may be sent to; none means any.
	AllowedRegions []Region
	// Anonymous is set if its requests need no API key.
	Anonymous bool
}

// Share is a service's share of a route's requests.
type Share struct {
	Service Service
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Backend is a backend server as it appears in the platform's server list.
type Backend struct {
	Instance Instance
	Start    Start
	Address  Address
	Service  Service
	Domain   Domain
	// Slots is how many requests it runs concurrently.
	Slots int
	// Leaving is set if it takes no new work and will stop.
	Leaving bool
	// Warmup is how much longer it warms up after its start, counted from the time when the
	// entry was written.
	Warmup time.Duration
}

// Validate returns an error that lists all that is wrong with a configuration, or nil.
func (r *Routing) Validate() error {
	problems := checkTeams(r.Teams)

	for _, list := range r.Hosts {
		for i := range list {
			for _, problem := range r.check(&list[i]) {
				problems = append(problems, "route "+string(list[i].Name)+": "+problem)
			}
		}
	}

	if len(problems) > 0 {
		return errors.New("configuration: " + strings.Join(problems, "; "))
	}

	return nil
}

// check returns what is wrong with one route.
func (r *Routing) check(route *Route) []string {
	var problems []string

	need := func(ok bool, text string) {
		if !ok {
			problems = append(problems, text)
		}
	}

	need(strings.HasPrefix(route.Prefix, "/") && strings.HasSuffix(route.Prefix, "/"), "the prefix must begin and end with a slash")
	need(route.Timeout > 0, "the timeout must be above zero")
	need(route.Attempts > 0, "the number of attempts must be above zero")

	total := 0

	for _, s := range route.Shares {
		_, known := r.Services[s.Service]
		need(known, "there is no service "+string(s.Service))
		need(s.Weight >= 0, "the weight of "+string(s.Service)+" must not be below zero")
		total += s.Weight
	}

	need(total > 0, "it has no service with a weight above zero")

	return problems
}
