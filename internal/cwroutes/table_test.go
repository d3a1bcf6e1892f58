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
	one := func(name, prefix string, priority int, shares ...carobward.Share) carobward.Route {
		return carobward.Route{Name: carobward.RouteName(name), Prefix: prefix, Priority: priority, Shares: shares}
	}

	return New(&carobward.Routing{Version: 7, Hosts: map[string][]carobward.Route{
		"a.example": {
			one("all", "/", 5, carobward.Share{Service: "records", Weight: 1}),
			one("sheets", "/sheets/", 2, carobward.Share{Service: "records", Weight: 90}, carobward.Share{Service: "fees", Weight: 10}),
			one("old", "/sheets/old/", 0, carobward.Share{Service: "fees", Weight: 1}),
		},
		"b.example": {one("only", "/b/", 0, carobward.Share{Service: "fees", Weight: 1})},
	}})
}

func TestFind(t *testing.T) {
	for name, c := range map[string]struct{ host, path, want string }{
		"the longest":          {"a.example", "/sheets/old/1", "old"},
		"a shorter one":        {"a.example", "/sheets/new/1", "sheets"},
		"the prefix itself":    {"a.example", "/sheets/", "sheets"},
		"not a whole segment":  {"a.example", "/sheetsold", "all"},
		"without the slash":    {"a.example", "/sheets", "all"},
		"a slash in the query": {"a.example", "/x?/sheets/old/", "all"},
		"with a query":         {"a.example", "/sheets/old/?a=/b/", "old"},
		"a port":               {"A.example:80", "/sheets/", "sheets"},
		"another host":         {"b.example", "/sheets/", ""},
		"an unknown host":      {"c.example", "/", ""},
		"no path":              {"b.example", "", ""},
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

// TestPick wants each run of requests to be split close to the weights, also
// a short one.
func TestPick(t *testing.T) {
	for n, within := range map[int]float64{10: 0.11, 100: 0.02, 5000: 0.002} {
		r := newTable().Find("a.example", "/sheets/")
		fees := 0

		for range n {
			if r.Pick() == "fees" {
				fees++
			}
		}

		// Counted in requests: as a share 0.1 - 0.08 is above 0.02 by rounding.
		if off := math.Abs(float64(fees) - 0.1*float64(n)); off > within*float64(n) {
			t.Errorf("%d of %d requests, want a tenth", fees, n)
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
		"the least urgent":   {"records", 5, 1, 2},
		"the most urgent":    {"records", 2, 0, 2},
		"one of two":         {"fees", 2, 1, 2},
		"an unknown service": {"x", 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rank, ranks := table.Rank(c.service, c.priority)
			if rank != c.rank || ranks != c.ranks {
				t.Errorf("%d of %d", rank, ranks)
			}
		})
	}
}

// TestObjective wants a route without an objective to have its timeout as one.
func TestObjective(t *testing.T) {
	for name, c := range map[string]struct{ objective, want time.Duration }{
		"none": {0, 2 * time.Second},
		"one":  {time.Second, time.Second},
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

// TestHomes has the homes of the routes of a host against those that all have.
func TestHomes(t *testing.T) {
	type homes = []carobward.Region

	for name, c := range map[string]struct {
		routes []homes
		want   homes
	}{
		"no routes":             {nil, nil},
		"no homes":              {[]homes{nil, nil}, nil},
		"one route":             {[]homes{{"n", "s"}}, homes{"n", "s"}},
		"what both have":        {[]homes{{"n", "s"}, {"s", "e"}}, homes{"s"}},
		"one that binds none":   {[]homes{{"n"}, nil}, homes{"n"}},
		"nothing that all have": {[]homes{{"n"}, {"s"}}, homes{}},
	} {
		t.Run(name, func(t *testing.T) {
			var routes []carobward.Route
			for i, h := range c.routes {
				routes = append(routes, carobward.Route{Prefix: fmt.Sprintf("/%d/", i), Homes: h})
			}

			got := New(&carobward.Routing{Hosts: map[string][]carobward.Route{"a.example": routes}}).Homes("A.example:80")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
