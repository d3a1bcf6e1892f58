package cwgateway

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestNearestAddresses verifies which failure domains' entry VMs a caller is given: those of its
// own, of its region, of the host's allowed regions, and others as the last resort. Region n has
// the failure domains n-1 and n-2.
func TestNearestAddresses(t *testing.T) {
	regions := map[carobward.Domain]carobward.Region{"n-1": "n", "n-2": "n", "s-1": "s", "s-2": "s", "e-1": "e"}
	for name, c := range map[string]struct {
		query   lookupQuery
		allowed []carobward.Region
		// ready is the number of entry VMs that take callers, by failure domain.
		ready map[carobward.Domain]int
		want  map[carobward.Domain]int
	}{
		"enough in the own failure domain": {
			lookupQuery{"n-1", "n", "h"}, nil,
			map[carobward.Domain]int{"n-1": 5, "n-2": 5, "s-1": 5},
			map[carobward.Domain]int{"n-1": 5},
		},
		"few in the own failure domain": {
			lookupQuery{"n-1", "n", "h"}, nil,
			map[carobward.Domain]int{"n-1": 2, "n-2": 5, "s-1": 5},
			map[carobward.Domain]int{"n-1": 2, "n-2": 5},
		},
		"none in the region, other allowed regions": {
			lookupQuery{"e-1", "e", "h"}, []carobward.Region{"s"},
			map[carobward.Domain]int{"n-1": 5, "n-2": 1, "s-1": 5, "s-2": 2},
			map[carobward.Domain]int{"s-1": 5, "s-2": 2},
		},
		"few in the region and in allowed regions": {
			lookupQuery{"e-1", "e", "h"}, []carobward.Region{"s"},
			map[carobward.Domain]int{"e-1": 1, "n-1": 5, "s-1": 1},
			map[carobward.Domain]int{"e-1": 1, "s-1": 1},
		},
		"few in the region, all regions allowed": {
			lookupQuery{"e-1", "e", "h"}, nil,
			map[carobward.Domain]int{"e-1": 1, "n-1": 5, "s-1": 1},
			map[carobward.Domain]int{"e-1": 1, "n-1": 5, "s-1": 1},
		},
		"none in the region, all regions allowed": {
			lookupQuery{"e-1", "e", "h"}, nil,
			map[carobward.Domain]int{"n-1": 2, "s-1": 5},
			map[carobward.Domain]int{"n-1": 2, "s-1": 5},
		},
		"none in allowed regions": {
			lookupQuery{"e-1", "", "h"}, []carobward.Region{"s"},
			map[carobward.Domain]int{"n-1": 2},
			map[carobward.Domain]int{"n-1": 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			byDomain := map[carobward.Domain][]carobward.Address{}
			for d, n := range c.ready {
				byDomain[d] = slices.Repeat([]carobward.Address{carobward.Address(d)}, n)
			}

			got := map[carobward.Domain]int{}
			for _, a := range nearest(c.query, byDomain, regions, c.allowed) {
				got[carobward.Domain(a)]++
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
