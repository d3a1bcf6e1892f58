// Package cwprobe checks the health and load of servers that have no fresh
// traffic, within the measuring budget. See docs/design/budget.md.
package cwprobe

import (
	"hash/fnv"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// Mine returns the servers that an entry VM probes: each goes to the VM with
// the highest hash of both, so that two do not probe the same, and only the
// servers of a VM that comes or goes change hands.
func Mine(self carobward.VMID, vms []carobward.VMID, servers []*cwserver.Server) []*cwserver.Server {
	sums := make([]uint64, len(vms))
	for i, v := range vms {
		sums[i] = sum(string(v))
	}

	var mine []*cwserver.Server

	for _, s := range servers {
		if own := sum(string(s.Address)); vms[highest(own, sums)] == self {
			mine = append(mine, s)
		}
	}

	return mine
}

func highest(own uint64, sums []uint64) int {
	place, best := 0, uint64(0)

	for i, v := range sums {
		if score := mix(own ^ v); score > best {
			place, best = i, score
		}
	}

	return place
}

func sum(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))

	return mix(h.Sum64())
}

// mix spreads the last bytes, in which the ids differ, over the whole sum: the
// finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// due is a server that should be probed, and since when nothing was heard.
type due struct {
	server *cwserver.Server
	heard  time.Time
}

// pick returns the servers that have not been heard for longer than fresh,
// nor probed, those first that were not for the longest.
func pick(now time.Time, servers []*cwserver.Server, probed map[carobward.Address]time.Time, fresh time.Duration) []*cwserver.Server {
	var all []due

	for _, s := range servers {
		heard := s.Report().At
		if p := probed[s.Address]; p.After(heard) {
			heard = p
		}

		if now.Sub(heard) >= fresh {
			all = append(all, due{s, heard})
		}
	}

	slices.SortStableFunc(all, func(a, b due) int { return a.heard.Compare(b.heard) })

	picked := make([]*cwserver.Server, 0, len(all))
	for _, d := range all {
		picked = append(picked, d.server)
	}

	return picked
}
