// Package cwroutes looks up the route of a request in the current configuration and
// distributes a route's requests over its services by weight.
package cwroutes

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"

	"carobward.example/carobward"
)

// Table is one version of the configuration, indexed for lookups. A new version replaces
// the whole table. It is safe for concurrent use.
type Table struct {
	// Version is the version of the configuration.
	Version carobward.Version
	// Limits restrict what callers may send.
	Limits carobward.Limits

	services   map[carobward.Service]carobward.ServiceSpec
	hosts      map[string]map[string]*Route
	priorities map[carobward.Service][]int
	// keyed has the priorities of the routes that need an API key, sorted.
	keyed []int
	// routePriorities has the routes' own priorities by service, sorted. They don't depend on
	// the teams' priorities.
	routePriorities map[carobward.Service][]int
	// teamsByKey maps the hash of each API key to its team. hasTeams is set if there
	// are any teams.
	teamsByKey map[carobward.KeyHash]*carobward.Team
	hasTeams   bool
}

// Route is a route with the counter that distributes its requests.
type Route struct {
	carobward.Route

	totalWeight int
	sequence    atomic.Uint64
}

// New returns the table of a configuration.
func New(r *carobward.Routing) *Table {
	t := &Table{
		Version:    r.Version,
		Limits:     r.Limits,
		services:   r.Services,
		hosts:      make(map[string]map[string]*Route, len(r.Hosts)),
		priorities: map[carobward.Service][]int{},
		teamsByKey: indexTeams(r.Teams),
		hasTeams:   len(r.Teams) > 0,

		routePriorities: map[carobward.Service][]int{},
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

// indexTeams maps the hash of each API key to its team.
func indexTeams(teams []carobward.Team) map[carobward.KeyHash]*carobward.Team {
	all := make(map[carobward.KeyHash]*carobward.Team, len(teams))

	for i := range teams {
		for _, k := range teams[i].Keys {
			all[k] = &teams[i]
		}
	}

	return all
}

// NeedsKey reports whether a request of a route needs an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.HasTeams() && !r.Anonymous }

// HasTeams reports whether callers authenticate by API key.
func (t *Table) HasTeams() bool { return t.hasTeams }

// Team returns the team of an API key, or nil. The lookup is by the key's hash, whose bytes
// a caller can't choose, so its duration reveals nothing about other keys.
func (t *Table) Team(key []byte) *carobward.Team {
	if key == nil {
		return nil
	}

	return t.teamsByKey[carobward.HashKey(key)]
}

func (t *Table) newRoute(r carobward.Route, teams []carobward.Team) *Route {
	out := &Route{Route: r}
	if out.Objective <= 0 {
		// Without an objective any reply in time is equally good; an objective of zero
		// would make each request overdue at once.
		out.Objective = r.Timeout
	}

	// Entry VMs start at random points of the sequence, so that they do not all send to the
	// same service at the same time.
	out.sequence.Store(rand.Uint64())

	for _, s := range r.Shares {
		out.totalWeight += s.Weight
		t.routePriorities[s.Service] = insertSorted(t.routePriorities[s.Service], r.Priority)

		if r.Anonymous || len(teams) == 0 {
			t.addPriority(s.Service, r.Priority)

			continue
		}

		t.keyed = insertSorted(t.keyed, r.Priority)

		for i := range teams {
			t.addPriority(s.Service, Priority(&r, &teams[i]))
		}
	}

	return out
}

// Priority returns the priority of a team's requests on a route. Team may be nil.
func Priority(r *carobward.Route, team *carobward.Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}

	return r.Priority
}

// addPriority adds a priority to the sorted list of a service's priorities.
func (t *Table) addPriority(s carobward.Service, priority int) {
	t.priorities[s] = insertSorted(t.priorities[s], priority)
}

// insertSorted adds a number to a sorted list unless the list has it.
func insertSorted(list []int, n int) []int {
	at, found := slices.BinarySearch(list, n)
	if found {
		return list
	}

	return slices.Insert(list, at, n)
}

// KeyedRank returns the rank of a route's priority among those of all routes that need an
// API key, 0 being the most urgent.
func (t *Table) KeyedRank(priority int) int {
	rank, _ := slices.BinarySearch(t.keyed, priority)

	return rank
}

// Rank returns the rank of a priority among those of a service, 0 being the most urgent, and
// the number of ranks.
func (t *Table) Rank(s carobward.Service, priority int) (int, int) {
	list := t.priorities[s]

	for i, p := range list {
		if p == priority {
			return i, len(list)
		}
	}

	return 0, len(list)
}

// Competes reports whether requests of several priorities or teams compete for a service's
// servers.
func (t *Table) Competes(s carobward.Service) bool {
	return len(t.priorities[s]) > 1 || t.hasTeams && len(t.priorities[s]) > 0
}

// AllowedRegions returns the regions that all routes of a host allow. Routes without
// allowed regions are ignored.
func (t *Table) AllowedRegions(host string) []carobward.Region {
	var regions []carobward.Region

	first := true

	for _, r := range t.hosts[hostName(host)] {
		if len(r.AllowedRegions) == 0 {
			continue
		}

		if first {
			regions, first = slices.Clone(r.AllowedRegions), false

			continue
		}

		regions = slices.DeleteFunc(regions, func(h carobward.Region) bool { return !slices.Contains(r.AllowedRegions, h) })
	}

	return regions
}

// ServicesOf returns the services to which requests of a host may go.
func (t *Table) ServicesOf(host string) []carobward.Service {
	var list []carobward.Service

	for _, r := range t.hosts[hostName(host)] {
		for _, s := range r.Shares {
			if !slices.Contains(list, s.Service) {
				list = append(list, s.Service)
			}
		}
	}

	return list
}

// Service returns the operators' configuration of a service.
func (t *Table) Service(s carobward.Service) carobward.ServiceSpec { return t.services[s] }

// Services returns the operators' configuration of each service. The map must not be
// modified.
func (t *Table) Services() map[carobward.Service]carobward.ServiceSpec { return t.services }

// Find returns the route with the longest prefix of a path, or nil. The path may include a
// query.
func (t *Table) Find(host, path string) *Route {
	byPrefix := t.hosts[hostName(host)]
	if byPrefix == nil {
		return nil
	}

	path, _, _ = strings.Cut(path, "?")

	// Each prefix ends in a slash, so prefixes can end only here.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}

	return nil
}

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}

	return strings.ToLower(host)
}

// goldenStep is 2^64 divided by the golden ratio: the step of the sequence that distributes
// requests. Its multiples modulo 2^64 divide the range evenly, whatever their number.
const goldenStep = 0x9E3779B97F4A7C15

// Pick returns the service of the next request. Any sequence of consecutive requests is
// split close to the weights; random picks would be only in the long run.
func (r *Route) Pick() carobward.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}

	place := float64(r.sequence.Add(goldenStep)) / math.MaxUint64 * float64(r.totalWeight)

	for _, s := range r.Shares {
		if place < float64(s.Weight) {
			return s.Service
		}

		place -= float64(s.Weight)
	}

	return r.Shares[len(r.Shares)-1].Service
}
