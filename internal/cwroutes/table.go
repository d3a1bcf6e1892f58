// Package cwroutes finds the route of a request in the configuration in force
// and spreads a route's requests over its services.
package cwroutes

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"

	"carobward.example/carobward"
)

// Table is one version of the configuration, made ready for look-ups. It is
// swapped as a whole and safe for use by several goroutines.
type Table struct {
	// Version is the version of the configuration.
	Version carobward.Version
	// Limits bound what callers may send.
	Limits carobward.Limits

	services map[carobward.Service]carobward.ServiceSpec
	hosts    map[string]map[string]*Route
	ranks    map[carobward.Service][]int
	// teams has the team that holds each key, teamed tells that there are teams.
	teams  map[carobward.KeyHash]*carobward.Team
	teamed bool
}

// Route is a route with the state that spreads its requests.
type Route struct {
	carobward.Route

	total int
	turn  atomic.Uint64
}

// New returns the table of a configuration.
func New(r *carobward.Routing) *Table {
	t := &Table{
		Version:  r.Version,
		Limits:   r.Limits,
		services: r.Services,
		hosts:    make(map[string]map[string]*Route, len(r.Hosts)),
		ranks:    map[carobward.Service][]int{},
		teams:    holders(r.Teams),
		teamed:   len(r.Teams) > 0,
	}

	for host, list := range r.Hosts {
		byPrefix := make(map[string]*Route, len(list))

		for i := range list {
			byPrefix[list[i].Prefix] = t.newRoute(list[i], r.Teams)
		}

		t.hosts[strings.ToLower(host)] = byPrefix
	}

	return t
}

// holders returns the team that holds each key.
func holders(teams []carobward.Team) map[carobward.KeyHash]*carobward.Team {
	all := make(map[carobward.KeyHash]*carobward.Team, len(teams))

	for i := range teams {
		for _, k := range teams[i].Keys {
			all[k] = &teams[i]
		}
	}

	return all
}

// Keyed tells whether a request of a route needs a key.
func (t *Table) Keyed(r *Route) bool { return t.HasTeams() && !r.Anonymous }

// HasTeams tells whether callers show keys.
func (t *Table) HasTeams() bool { return t.teamed }

// Team returns the team that holds a key, or nil. The key is looked up by its hash, of
// which a caller can't choose the bytes: how long it takes tells nothing of other keys.
func (t *Table) Team(key []byte) *carobward.Team {
	if key == nil {
		return nil
	}

	return t.teams[carobward.HashKey(key)]
}

func (t *Table) newRoute(r carobward.Route, teams []carobward.Team) *Route {
	out := &Route{Route: r}
	if out.Objective <= 0 {
		// Without an objective an answer in time is as good as any; a zero would
		// take each one for overdue at once.
		out.Objective = r.Timeout
	}

	// Entry VMs start at different places of the sequence, so that their
	// requests do not go to the same part at the same time.
	out.turn.Store(rand.Uint64())

	for _, s := range r.Shares {
		out.total += s.Weight

		if r.Anonymous || len(teams) == 0 {
			t.addRank(s.Service, r.Priority)

			continue
		}

		for i := range teams {
			t.addRank(s.Service, Priority(&r, &teams[i]))
		}
	}

	return out
}

// Priority returns the priority of a team's requests on a route. Team may be nil.
func Priority(r *carobward.Route, team *carobward.Team) int {
	if team != nil && team.Ranked {
		return team.Priority
	}

	return r.Priority
}

// addRank keeps the priorities of a service in their order.
func (t *Table) addRank(s carobward.Service, priority int) {
	list := t.ranks[s]

	at := 0
	for at < len(list) && list[at] < priority {
		at++
	}

	if at < len(list) && list[at] == priority {
		return
	}

	list = append(list, 0)
	copy(list[at+1:], list[at:])
	list[at] = priority
	t.ranks[s] = list
}

// Rank returns how many more urgent priorities a service has, and how many
// priorities in all.
func (t *Table) Rank(s carobward.Service, priority int) (int, int) {
	list := t.ranks[s]

	for i, p := range list {
		if p == priority {
			return i, len(list)
		}
	}

	return 0, len(list)
}

// Homes returns the regions that are homes of each route of a host. Routes without homes
// bind nothing.
func (t *Table) Homes(host string) []carobward.Region {
	var homes []carobward.Region

	first := true

	for _, r := range t.hosts[hostName(host)] {
		if len(r.Homes) == 0 {
			continue
		}

		if first {
			homes, first = slices.Clone(r.Homes), false

			continue
		}

		homes = slices.DeleteFunc(homes, func(h carobward.Region) bool { return !slices.Contains(r.Homes, h) })
	}

	return homes
}

// Service returns what the operator says of a service.
func (t *Table) Service(s carobward.Service) carobward.ServiceSpec { return t.services[s] }

// Services returns what the operator says of each service. It must not be changed.
func (t *Table) Services() map[carobward.Service]carobward.ServiceSpec { return t.services }

// Find returns the route with the longest prefix of a path, or nil. The path
// may be followed by a query.
func (t *Table) Find(host, path string) *Route {
	byPrefix := t.hosts[hostName(host)]
	if byPrefix == nil {
		return nil
	}

	path, _, _ = strings.Cut(path, "?")

	// Each prefix ends in a slash, so only these places can end one.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}

	return nil
}

// hostName returns a Host without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}

	return strings.ToLower(host)
}

// golden is the step of the sequence that spreads requests: its multiples cut
// a whole evenly however many there are.
const golden = 0x9E3779B97F4A7C15

// Pick returns the service of the next request. Any run of requests is split
// close to the weights, which random picks would be only in the long run.
func (r *Route) Pick() carobward.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}

	place := float64(r.turn.Add(golden)) / math.MaxUint64 * float64(r.total)

	for _, s := range r.Shares {
		if place < float64(s.Weight) {
			return s.Service
		}

		place -= float64(s.Weight)
	}

	return r.Shares[len(r.Shares)-1].Service
}
