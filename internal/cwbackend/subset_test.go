package cwbackend

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// subsetsOf returns the subsets of an entry VM, sorted by instance.
func subsetsOf(t *Table) map[string][]carobward.Instance {
	all := map[string][]carobward.Instance{}

	for service, m := range t.subsets {
		for part, list := range map[string][]*Server{"near": m.near, "far": m.far, "spare": m.spare} {
			key := string(service) + " " + part

			for _, s := range list {
				all[key] = append(all[key], s.Backend().Instance)
			}

			slices.SortFunc(all[key], cmp.Compare)
		}
	}

	return all
}

// TestIncrementalSubsets applies random changes of servers, entry VMs and evacuations to a
// table, and checks that it selects the same subsets as a new table with the final state. It
// guards against errors in incremental updates.
func TestIncrementalSubsets(t *testing.T) {
	const (
		steps   = 400
		servers = 120
		vms     = 40
		domains = 4
	)

	rnd := rand.New(rand.NewPCG(3, 1))
	self := VM{ID: "front-0", Domain: "d-0", Regions: map[carobward.Domain]carobward.Region{"d-0": "a", "d-1": "a", "d-2": "b", "d-3": "b"}}
	table, now := New(self), time.Now()
	list, neighbours, evacuated := map[carobward.Instance]carobward.Backend{}, map[carobward.VMID]bool{}, map[carobward.Domain]bool{}

	for step := range steps {
		i := carobward.Instance(fmt.Sprint("i-", rnd.IntN(servers)))

		switch rnd.IntN(6) {
		case 0:
			delete(list, i)
			table.Put(nil, []carobward.Instance{i}, now)
		case 1:
			id := carobward.VMID(fmt.Sprint("front-", 1+rnd.IntN(vms)))
			if neighbours[id] = !neighbours[id]; !neighbours[id] {
				delete(neighbours, id)
			}

			table.SetNeighbours(keysOf(neighbours))
		case 2:
			d := carobward.Domain(fmt.Sprint("d-", rnd.IntN(domains)))
			evacuated[d] = !evacuated[d]
			table.SetEvacuated(d, evacuated[d])
		default:
			b := carobward.Backend{
				Instance: i, Address: carobward.Address(fmt.Sprint("10.0.0.1:", rnd.IntN(servers))), Leaving: rnd.IntN(2) == 0,
				Service: carobward.Service(fmt.Sprint("s-", rnd.IntN(3))), Domain: carobward.Domain(fmt.Sprint("d-", rnd.IntN(domains))),
				Start: max(list[i].Start, carobward.Start(1+rnd.IntN(2))),
			}
			list[i] = b
			table.Put([]carobward.Backend{b}, nil, now)
		}

		fresh := New(self)
		for d, is := range evacuated {
			fresh.SetEvacuated(d, is)
		}

		var all []carobward.Backend
		for _, b := range list {
			all = append(all, b)
		}

		fresh.Put(all, nil, now)

		if !table.alone {
			fresh.SetNeighbours(keysOf(neighbours))
		}

		if diff := gocmp.Diff(subsetsOf(fresh), subsetsOf(table)); diff != "" {
			t.Fatalf("step %d: %s", step, diff)
		}

		if diff := gocmp.Diff(fresh.addresses, table.addresses); diff != "" {
			t.Fatalf("step %d: %s", step, diff)
		}
	}
}

func keysOf(all map[carobward.VMID]bool) []carobward.VMID {
	var list []carobward.VMID
	for id := range all {
		list = append(list, id)
	}

	return list
}
