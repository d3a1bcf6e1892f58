package cwlookup

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
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
	own := cwrank.Weight(string(self.ID), string(target))
	before := 0

	for i := range peers {
		p := &peers[i]
		if p.Domain == self.Domain && p.State != carobward.PeerDead && cwrank.Weight(string(p.ID), string(target)) > own {
			before++
		}
	}

	return before
}
