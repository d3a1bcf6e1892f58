package cwgateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
)

// TestAllowedRegions has two regions with a server and an entry VM each. From either entry VM, a
// request must reach no server outside its route's allowed regions and is refused if these have
// no servers. If all regions are allowed, it stays in the entry VM's region.
func TestAllowedRegions(t *testing.T) {
	regions := map[carobward.Domain]carobward.Region{"a": "north", "b": "south"}
	withRegions := func(r cwstand.MetadataRoute, allowed ...string) cwstand.MetadataRoute {
		r = maps.Clone(r)
		r["allowed_regions"] = allowed

		return r
	}

	for name, c := range map[string]struct {
		routes []cwstand.MetadataRoute
		// want is how many requests each server gets from both entry VMs, in the order north,
		// south.
		want [2]int
	}{
		"all regions":      {[]cwstand.MetadataRoute{safeRoute("fees"), unsafeRoute()}, [2]int{12, 12}},
		"one region":       {[]cwstand.MetadataRoute{withRegions(safeRoute("fees"), "south"), withRegions(unsafeRoute(), "south")}, [2]int{0, 24}},
		"one region each":  {[]cwstand.MetadataRoute{withRegions(safeRoute("fees"), "south"), withRegions(unsafeRoute(), "north")}, [2]int{12, 12}},
		"no servers there": {[]cwstand.MetadataRoute{withRegions(safeRoute("fees"), "east"), withRegions(unsafeRoute(), "east")}, [2]int{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			servers := []*cwstand.Upstream{f.upstream(t, "fees", "i-north"), f.upstream(t, "fees", "i-south")}
			f.store.Put("servers/i-south", cwstand.ServerEntry("fees", servers[1].Address(), "b", "ready"))
			f.configure(c.routes...)

			for i, d := range []carobward.Domain{"a", "b"} {
				v := f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) { o.Self.Domain, o.Regions = d, regions })
				v.waitReady(t)

				for n := range 6 {
					for method, path := range map[string]string{http.MethodGet: readPath, http.MethodPost: chargePath} {
						got := v.send(method, path, fmt.Sprint(method, i, n), "")
						if refused := got.status == http.StatusServiceUnavailable; refused != (c.want == [2]int{}) {
							t.Errorf("%s: unexpected answer %+v", path, got)
						}
					}
				}
			}

			if got := [2]int{len(servers[0].Runs()), len(servers[1].Runs())}; got != c.want {
				t.Errorf("requests at servers %v, want %v", got, c.want)
			}
		})
	}
}
