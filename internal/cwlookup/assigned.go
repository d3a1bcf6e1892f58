package cwlookup

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// BaseWidth is how many entry VMs of each failure domain serve a target with a
// low request rate: two, so that after the loss of one there is another one
// with up-to-date state of the target's servers.
const BaseWidth = 2

// AssignedVMs returns the entry VMs that are assigned to a target: of each
// failure domain the first ones by rendezvous weight, as many as width. The
// fewer they are, the more of the load on the target's servers each of them
// sees. All entry VMs compute the same assignment as long as they agree on the
// live peers, and a request to any other entry VM is served, too.
func AssignedVMs(peers []carobward.Peer, target carobward.TargetName, width int) []carobward.Peer {
	counts := map[carobward.Domain]int{}

	var chosen []carobward.Peer

	for _, p := range rankPeers(peers, string(target)) {
		if counts[p.Domain] < width {
			counts[p.Domain]++

			chosen = append(chosen, p)
		}
	}

	return chosen
}

// rankOf returns how many entry VMs of its own failure domain have a higher
// rendezvous weight for a target than self.
func rankOf(peers []carobward.Peer, target carobward.TargetName, self *carobward.Peer) int {
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
