package cwroutes

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

func newTable() *Table {
	route := func(name, prefix string, priority int, shares ...carobward.Share) carobward.Route {
		return carobward.Route{Name: carobward.RouteName(name), Prefix: prefix, Priority: priority, Shares: shares}
	}

	return New(&carobward.Routing{Version: 7, Hosts: map[string][]carobward.Route{
		"a.example": {
			route("all", "/", 5, carobward.Share{Service: "records", Weight: 1}),
			route("sheets", "/sheets/", 2, carobward.Share{Service: "records", Weight: 90}, carobward.Share{Service: "fees", Weight: 10}),
			route("old", "/sheets/old/", 0, carobward.Share{Service: "fees", Weight: 1}),
		},
		"b.example": {route("only", "/b/", 0, carobward.Share{Service: "fees", Weight: 1})},
	}})
}

func TestFind(t *testing.T) {
	for name, c := range map[string]struct{ host, path, want string }{
		"longest prefix":     {"a.example", "/sheets/old/1", "old"},
		"shorter prefix":     {"a.example", "/sheets/new/1", "sheets"},
		"prefix itself":      {"a.example", "/sheets/", "sheets"},
		"partial segment":    {"a.example", "/sheetsold", "all"},
		"no trailing slash":  {"a.example", "/sheets", "all"},
		"slash in the query": {"a.example", "/x?/sheets/old/", "all"},
		"with a query":       {"a.example", "/sheets/old/?a=/b/", "old"},
		"port":               {"A.example:80", "/sheets/", "sheets"},
		"other host":         {"b.example", "/sheets/", ""},
		"unknown host":       {"c.example", "/", ""},
		"no path":            {"b.example", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := newTable().Find(c.host, c.path); r != nil {
				got = string(r.Name)
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPick verifies that any sequence of requests is split close to the weights, even a
// short one.
func TestPick(t *testing.T) {
	for n, within := range map[int]float64{10: 0.11, 100: 0.02, 5000: 0.002} {
		r := newTable().Find("a.example", "/sheets/")
		fees := 0

		for range n {
			if r.Pick() == "fees" {
				fees++
			}
		}

		// Compares numbers of requests: as fractions, 0.1 - 0.08 exceeds 0.02 by rounding.
		if off := math.Abs(float64(fees) - 0.1*float64(n)); off > within*float64(n) {
			t.Errorf("%d of %d requests go to fees, want a tenth", fees, n)
		}
	}
}

func TestRank(t *testing.T) {
	table := newTable()

	for name, c := range map[string]struct {
		service     carobward.Service
		priority    int
		rank, ranks int
	}{
		"least urgent":    {"records", 5, 1, 2},
		"most urgent":     {"records", 2, 0, 2},
		"other service":   {"fees", 2, 1, 2},
		"unknown service": {"x", 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rank, ranks := table.Rank(c.service, c.priority)
			if rank != c.rank || ranks != c.ranks {
				t.Errorf("got rank %d of %d", rank, ranks)
			}
		})
	}
}

// TestObjective verifies that the objective of a route defaults to its timeout.
func TestObjective(t *testing.T) {
	for name, c := range map[string]struct{ objective, want time.Duration }{
		"not set": {0, 2 * time.Second},
		"set":     {time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(&carobward.Routing{Hosts: map[string][]carobward.Route{"h": {{
				Prefix: "/", Timeout: 2 * time.Second, Objective: c.objective, Shares: []carobward.Share{{Service: "a", Weight: 1}},
			}}}})

			if got := table.Find("h", "/").Objective; got != c.want {
				t.Errorf("got %s", got)
			}
		})
	}
}

// TestAllowedRegions checks the regions that all routes of a host allow.
func TestAllowedRegions(t *testing.T) {
	type regions = []carobward.Region

	for name, c := range map[string]struct {
		routes []regions
		want   regions
	}{
		"no routes":              {nil, nil},
		"no regions":             {[]regions{nil, nil}, nil},
		"one route":              {[]regions{{"n", "s"}}, regions{"n", "s"}},
		"intersection":           {[]regions{{"n", "s"}, {"s", "e"}}, regions{"s"}},
		"one unrestricted route": {[]regions{{"n"}, nil}, regions{"n"}},
		"empty intersection":     {[]regions{{"n"}, {"s"}}, regions{}},
	} {
		t.Run(name, func(t *testing.T) {
			var routes []carobward.Route
			for i, h := range c.routes {
				routes = append(routes, carobward.Route{Prefix: fmt.Sprintf("/%d/", i), AllowedRegions: h})
			}

			got := New(&carobward.Routing{Hosts: map[string][]carobward.Route{"a.example": routes}}).AllowedRegions("A.example:80")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestKeyedRank verifies that a team's requests are ranked among the routes that need a key.
func TestKeyedRank(t *testing.T) {
	shares := []carobward.Share{{Service: "records", Weight: 1}}
	teams := []carobward.Team{{Name: "club", HasPriority: true, Priority: 9}}
	hosts := map[string][]carobward.Route{"a.example": {
		{Prefix: "/", Priority: 5, Shares: shares}, {Prefix: "/b/", Priority: 2, Shares: shares},
		{Prefix: "/c/", Priority: 2, Shares: shares}, {Prefix: "/free/", Priority: 1, Anonymous: true, Shares: shares},
	}}

	for name, c := range map[string]struct {
		teams          []carobward.Team
		priority, want int
	}{
		"most urgent":  {teams, 2, 0},
		"least urgent": {teams, 5, 1},
		"no teams":     {nil, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(&carobward.Routing{Hosts: hosts, Teams: c.teams})

			if got := table.KeyedRank(c.priority); got != c.want {
				t.Errorf("rank %d, want %d", got, c.want)
			}
		})
	}
}
