package cwroutes

import (
	"slices"

	"carobward.example/carobward"
)

// RouteRank returns the rank of a route's own priority among those of all routes of a service,
// 0 being the most urgent, and the number of ranks. It ignores the teams' priorities, so that
// it also orders the requests of a single team.
func (t *Table) RouteRank(s carobward.Service, priority int) (int, int) {
	list := t.routePriorities[s]
	at, _ := slices.BinarySearch(list, priority)

	return at, len(list)
}
