package cwroutes

import (
	"testing"

	"carobward.example/carobward"
)

// TestCompetes checks at which services requests compete: those with several priorities, and
// all if there are teams.
func TestCompetes(t *testing.T) {
	route := func(name, prefix string, priority int, s carobward.Service) carobward.Route {
		return carobward.Route{Name: carobward.RouteName(name), Prefix: prefix, Priority: priority, Shares: []carobward.Share{{Service: s, Weight: 1}}}
	}
	hosts := map[string][]carobward.Route{"a.example": {
		route("all", "/", 5, "records"), route("urgent", "/urgent/", 0, "records"), route("fees", "/fees/", 0, "fees"),
	}}

	for name, c := range map[string]struct {
		teams   []carobward.Team
		service carobward.Service
		want    bool
	}{
		"two priorities":  {nil, "records", true},
		"one priority":    {nil, "fees", false},
		"unknown service": {nil, "none", false},
		"teams":           {[]carobward.Team{{Name: "one"}}, "fees", true},
		"teams, unknown":  {[]carobward.Team{{Name: "one"}}, "none", false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := New(&carobward.Routing{Hosts: hosts, Teams: c.teams}).Competes(c.service); got != c.want {
				t.Errorf("competes: %v", got)
			}
		})
	}
}
