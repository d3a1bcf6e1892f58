package carobward_test

import (
	"strings"
	"testing"
	"time"

	"carobward.example/carobward"
)

func TestValidate(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*carobward.Route)
		want   []string
	}{
		"valid":                          {func(*carobward.Route) {}, nil},
		"a weight of zero":               {func(r *carobward.Route) { r.Shares = append(r.Shares, carobward.Share{Service: "fees"}) }, nil},
		"no service":                     {func(r *carobward.Route) { r.Shares = nil }, []string{"no service with a weight"}},
		"an unknown service":             {func(r *carobward.Route) { r.Shares[0].Service = "x" }, []string{"there is no service x"}},
		"a negative weight":              {func(r *carobward.Route) { r.Shares[0].Weight = -1 }, []string{"must not be below zero", "no service with a weight"}},
		"no timeout":                     {func(r *carobward.Route) { r.Timeout = 0 }, []string{"timeout"}},
		"a prefix without a final slash": {func(r *carobward.Route) { r.Prefix = "/sheets" }, []string{"slash"}},
		"all at once": {
			func(r *carobward.Route) { r.Prefix, r.Timeout, r.Attempts = "", 0, 0 },
			[]string{"route lookup", "slash", "timeout", "attempts"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			route := carobward.Route{
				Name: "lookup", Prefix: "/sheets/", Timeout: time.Second, Attempts: 2,
				Shares: []carobward.Share{{Service: "records", Weight: 1}},
			}
			c.change(&route)

			r := &carobward.Routing{
				Services: map[carobward.Service]carobward.ServiceSpec{"records": {}, "fees": {}},
				Hosts:    map[string][]carobward.Route{"a.example": {route}},
			}

			err := r.Validate()
			if (err == nil) != (len(c.want) == 0) {
				t.Fatalf("got error %v", err)
			}

			for _, part := range c.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
}
