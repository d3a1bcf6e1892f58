package cwroutes

import (
	"testing"

	"carobward.example/carobward"
)

// TestRouteRank checks that the ranks of routes don't depend on the priorities of teams.
func TestRouteRank(t *testing.T) {
	route := func(priority int) carobward.Route {
		return carobward.Route{Prefix: string(rune('a' + priority)), Priority: priority, Shares: []carobward.Share{{Service: "records", Weight: 1}}}
	}

	teams := []carobward.Team{{Name: "a", Priority: 1, HasPriority: true}}

	for name, c := range map[string]struct {
		routes      []carobward.Route
		teams       []carobward.Team
		priority    int
		rank, ranks int
	}{
		"most urgent":          {[]carobward.Route{route(3), route(0), route(5)}, nil, 0, 0, 3},
		"least urgent":         {[]carobward.Route{route(3), route(0), route(5)}, nil, 5, 2, 3},
		"with a team":          {[]carobward.Route{route(3), route(0), route(5)}, teams, 3, 1, 3},
		"routes of equal rank": {[]carobward.Route{route(3), route(3)}, teams, 3, 0, 1},
		"no routes":            {nil, nil, 3, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(&carobward.Routing{Hosts: map[string][]carobward.Route{"a.example": c.routes}, Teams: c.teams})

			rank, ranks := table.RouteRank("records", c.priority)
			if rank != c.rank || ranks != c.ranks {
				t.Errorf("got rank %d of %d", rank, ranks)
			}
		})
	}
}
