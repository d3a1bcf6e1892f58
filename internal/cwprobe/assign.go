// Package cwprobe checks the health and load of servers that have had no recent
// traffic, within the measurement budget. See docs/design/budget.md.
package cwprobe

import (
	"hash/fnv"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// Assigned returns the servers that an entry VM probes, by rendezvous hashing:
// each server is probed by the entry VM whose id, hashed together with the
// server's address, gives the highest value. So no two entry VMs with the same
// list of entry VMs probe the same server, and when an entry VM joins or leaves,
// only the servers that it probes are reassigned.
func Assigned(self carobward.VMID, vms []carobward.VMID, servers []*cwserver.Server) []*cwserver.Server {
	hashes := make([]uint64, len(vms))
	for i, v := range vms {
		hashes[i] = hash(string(v))
	}

	var mine []*cwserver.Server

	for _, s := range servers {
		if own := hash(string(s.Address)); vms[highestScore(own, hashes)] == self {
			mine = append(mine, s)
		}
	}

	return mine
}

func highestScore(own uint64, hashes []uint64) int {
	index, best := 0, uint64(0)

	for i, v := range hashes {
		if score := mix(own ^ v); score > best {
			index, best = i, score
		}
	}

	return index
}

func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))

	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64. It spreads the last bytes, in which the
// ids differ, over the whole hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// dueServer is a server to probe, with the time of its last report or probe.
type dueServer struct {
	server   *cwserver.Server
	lastSeen time.Time
}

// pickDue returns the servers whose last report and last probe are at least as
// old as fresh, those with the oldest first.
func pickDue(now time.Time, servers []*cwserver.Server, probed map[carobward.Address]time.Time, fresh time.Duration) []*cwserver.Server {
	var all []dueServer

	for _, s := range servers {
		lastSeen := s.Report().At
		if p := probed[s.Address]; p.After(lastSeen) {
			lastSeen = p
		}

		if now.Sub(lastSeen) >= fresh {
			all = append(all, dueServer{s, lastSeen})
		}
	}

	slices.SortStableFunc(all, func(a, b dueServer) int { return a.lastSeen.Compare(b.lastSeen) })

	picked := make([]*cwserver.Server, 0, len(all))
	for _, d := range all {
		picked = append(picked, d.server)
	}

	return picked
}
