package cwlookup

import (
	"cmp"
	"slices"

	"carobward.example/carobward"
)

// Base is how many entry VMs of each failure domain carry a target that is
// not hot: two, so that the loss of one leaves one that knows the servers.
const Base = 2

// Carriers returns the entry VMs that carry a target: of each failure domain
// the first width by rendezvous weight. Few of them see more of what the
// target's servers hold. All entry VMs come to the same answer, but for what
// they know of each other, and a request to any other VM is served, too.
func Carriers(peers []carobward.Peer, target carobward.TargetName, width int) []carobward.Peer {
	taken := map[carobward.Domain]int{}

	var chosen []carobward.Peer

	for _, p := range rank(peers, string(target)) {
		if taken[p.Domain] < width {
			taken[p.Domain]++

			chosen = append(chosen, p)
		}
	}

	return chosen
}

// place returns how many entry VMs of its failure domain go before one among
// a target's carriers.
func place(peers []carobward.Peer, target carobward.TargetName, self *carobward.Peer) int {
	near := slices.DeleteFunc(slices.Clone(peers), func(p carobward.Peer) bool { return p.Domain != self.Domain })

	slices.SortFunc(near, func(a, b carobward.Peer) int {
		return cmp.Compare(weight(b.ID, string(target)), weight(a.ID, string(target)))
	})

	return slices.IndexFunc(near, func(p carobward.Peer) bool { return p.ID == self.ID })
}
