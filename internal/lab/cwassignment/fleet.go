// Package cwassignment models which entry VMs are assigned to which targets:
// how evenly targets are distributed, what moves when an entry VM is lost, and
// how the width of a hot target develops as callers follow the lookup replies.
package cwassignment

import (
	"fmt"
	"hash/fnv"
	"slices"

	"carobward.example/carobward"
)

// domains is the number of failure domains, to which entry VMs are assigned in
// turn.
const domains = 3

// Choice returns the entry VMs assigned to a target, width of them in each
// failure domain. cwlookup.AssignedVMs is one.
type Choice func(peers []carobward.Peer, target carobward.TargetName, width int) []carobward.Peer

// Peers returns a number of entry VMs, spread over three failure domains in
// turn.
func Peers(n int) []carobward.Peer {
	all := make([]carobward.Peer, n)
	for i := range all {
		all[i] = carobward.Peer{
			ID:      carobward.VMID(fmt.Sprintf("vm-%02d", i)),
			Domain:  carobward.Domain(fmt.Sprintf("domain-%d", i%domains)),
			Callers: carobward.Address(fmt.Sprintf("10.0.0.%d:7000", i)),
			State:   carobward.PeerLive,
		}
	}

	return all
}

// Target returns the name of the target with a number.
func Target(i int) carobward.TargetName { return carobward.TargetName(fmt.Sprintf("target-%d", i)) }

// Without returns the entry VMs except one.
func Without(all []carobward.Peer, lost carobward.VMID) []carobward.Peer {
	return slices.DeleteFunc(slices.Clone(all), func(p carobward.Peer) bool { return p.ID == lost })
}

// IDs returns the set of the entry VMs' ids.
func IDs(peers []carobward.Peer) map[carobward.VMID]bool {
	all := map[carobward.VMID]bool{}
	for _, p := range peers {
		all[p.ID] = true
	}

	return all
}

// Naive chooses by the hash of the target's name modulo the number of entry VMs
// in each failure domain, the simplest method.
func Naive(peers []carobward.Peer, target carobward.TargetName, width int) []carobward.Peer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(target))

	byDomain := map[carobward.Domain][]carobward.Peer{}
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}

	var chosen []carobward.Peer

	for _, candidates := range byDomain {
		first := int(h.Sum64() % uint64(len(candidates)))
		for i := range min(width, len(candidates)) {
			chosen = append(chosen, candidates[(first+i)%len(candidates)])
		}
	}

	return chosen
}
