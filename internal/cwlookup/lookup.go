// Package cwlookup tells callers which entry VMs to send their requests to.
package cwlookup

import (
	"cmp"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// Endpoint is one entry VM that a caller may use.
type Endpoint struct {
	// Address is where the entry VM accepts callers' requests.
	Address carobward.Address `json:"address"`
	// Lookup is where it accepts lookups. The replies have its own tickets.
	Lookup carobward.Address `json:"lookup"`
	// VM is the id of the entry VM.
	VM carobward.VMID `json:"vm"`
	// Domain is the failure domain of the entry VM.
	Domain carobward.Domain `json:"domain"`
}

// Reply is the reply to a lookup: which addresses the caller may use.
type Reply struct {
	// Use lists the addresses in the order to try them.
	Use []Endpoint `json:"use"`
	// Keep is how long the reply may be kept, in seconds.
	Keep int `json:"keep"`
	// Width is how many entry VMs of each failure domain are assigned to the
	// target that was asked for. The caller passes it with its next lookup.
	Width int `json:"width,omitempty"`
	// Ticket is the prefix of tickets for requests that run at most once: the
	// caller appends a dot and a number of its own. The entry VM that replied
	// owns these tickets, so a caller that does its lookups at the entry VM it
	// sends requests to gets tickets that need not be relayed to another owner.
	Ticket string `json:"ticket,omitempty"`
}

// The maximum numbers of addresses in a reply: of the caller's own failure
// domain, and of others.
const (
	maxNear = 2
	maxFar  = 2
)

// Choose returns the addresses for a caller, spread by rendezvous hashing:
// first those in its own failure domain, then one each of other failure
// domains. Suspect entry VMs come after all live ones; leaving and dead ones
// are left out.
func Choose(peers []carobward.Peer, caller string, domain carobward.Domain) []Endpoint {
	best := rankPeers(peers, caller)

	var near, far []carobward.Peer

	seen := map[carobward.Domain]bool{domain: true}

	for _, p := range best {
		switch {
		case p.Domain == domain && len(near) < maxNear:
			near = append(near, p)
		case !seen[p.Domain] && len(far) < maxFar:
			seen[p.Domain] = true
			far = append(far, p)
		}
	}

	chosen := slices.Concat(near, far)
	slices.SortStableFunc(chosen, func(a, b carobward.Peer) int { return cmp.Compare(a.State, b.State) })

	var use []Endpoint
	for _, p := range chosen {
		use = append(use, Endpoint{Address: p.Callers, Lookup: p.Lookup, VM: p.ID, Domain: p.Domain})
	}

	return use
}

// rankPeers returns the live and suspect peers, sorted by state and then by
// their rendezvous weight for a key. A peer without a configuration would
// refuse each request, so it is left out if any other one has a configuration.
func rankPeers(peers []carobward.Peer, key string) []carobward.Peer {
	eligible := make([]ranked, 0, len(peers))

	configured := slices.ContainsFunc(peers, func(p carobward.Peer) bool { return p.Revision > 0 })

	for i := range peers {
		p := &peers[i]
		if configured && p.Revision == 0 {
			continue
		}

		if p.State == carobward.PeerLive || p.State == carobward.PeerSuspect {
			eligible = append(eligible, ranked{p, cwrank.Weight(string(p.ID), key)})
		}
	}

	slices.SortStableFunc(eligible, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.peer.State, b.peer.State), cmp.Compare(b.weight, a.weight))
	})

	all := make([]carobward.Peer, len(eligible))
	for i := range eligible {
		all[i] = *eligible[i].peer
	}

	return all
}

// ranked is a peer with its weight, so that each weight is computed only once.
type ranked struct {
	peer   *carobward.Peer
	weight uint64
}
