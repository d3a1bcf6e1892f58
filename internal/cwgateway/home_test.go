package cwgateway

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestAddressesRegion has callers of failure domains and regions against the failure
// domains of the entry VMs that they are named: their own, their region's, the homes' of
// the host, and others as the last resort. Region n has the failure domains n-1 and n-2.
func TestAddressesRegion(t *testing.T) {
	regions := map[carobward.Domain]carobward.Region{"n-1": "n", "n-2": "n", "s-1": "s", "s-2": "s", "e-1": "e"}
	for name, c := range map[string]struct {
		asker asker
		homes []carobward.Region
		// ready has the number of entry VMs of each failure domain.
		ready map[carobward.Domain]int
		want  map[carobward.Domain]int
	}{
		"the own failure domain": {
			asker{"n-1", "n", "h"}, nil,
			map[carobward.Domain]int{"n-1": 5, "n-2": 5, "s-1": 5},
			map[carobward.Domain]int{"n-1": 5},
		},
		"few there": {
			asker{"n-1", "n", "h"}, nil,
			map[carobward.Domain]int{"n-1": 2, "n-2": 5, "s-1": 5},
			map[carobward.Domain]int{"n-1": 2, "n-2": 5},
		},
		"none in the region, the host has homes": {
			asker{"e-1", "e", "h"}, []carobward.Region{"s"},
			map[carobward.Domain]int{"n-1": 5, "n-2": 1, "s-1": 5, "s-2": 2},
			map[carobward.Domain]int{"s-1": 5, "s-2": 2},
		},
		"few in the region and in homes": {
			asker{"e-1", "e", "h"}, []carobward.Region{"s"},
			map[carobward.Domain]int{"e-1": 1, "n-1": 5, "s-1": 1},
			map[carobward.Domain]int{"e-1": 1, "s-1": 1},
		},
		"few in the region, no homes": {
			asker{"e-1", "e", "h"}, nil,
			map[carobward.Domain]int{"e-1": 1, "n-1": 5, "s-1": 1},
			map[carobward.Domain]int{"e-1": 1, "n-1": 5, "s-1": 1},
		},
		"none in the region, no homes": {
			asker{"e-1", "e", "h"}, nil,
			map[carobward.Domain]int{"n-1": 2, "s-1": 5},
			map[carobward.Domain]int{"n-1": 2, "s-1": 5},
		},
		"no home is there": {
			asker{"e-1", "", "h"}, []carobward.Region{"s"},
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
			for _, a := range nearest(c.asker, byDomain, regions, c.homes) {
				got[carobward.Domain(a)]++
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
