// Package cwlookup answers callers that ask which entry VMs to use.
package cwlookup

import (
	"cmp"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// Line is one address that a caller may use.
type Line struct {
	// Address takes the caller's requests.
	Address carobward.Address `json:"address"`
	// Lookup answers address questions, with tickets of this entry VM.
	Lookup carobward.Address `json:"lookup"`
	// VM is the entry VM behind it.
	VM carobward.VMID `json:"vm"`
	// Domain is its failure domain.
	Domain carobward.Domain `json:"domain"`
}

// Answer tells a caller which addresses to use, the best one first.
type Answer struct {
	// Use lists the addresses in the order to try them.
	Use []Line `json:"use"`
	// Keep is how long the answer may be kept, in seconds.
	Keep int `json:"keep"`
	// Width is how many entry VMs of each failure domain carry the target
	// that was asked for. A caller says it with its next question.
	Width int `json:"width,omitempty"`
	// Ticket starts the tickets of requests that run at most once: the
	// caller appends a dot and a number of its own. The entry VM that
	// answered owns them, so the lookup of the address that is used gives
	// the ones that need not be passed on.
	Ticket string `json:"ticket,omitempty"`
}

// The make-up of an answer.
const (
	nearMost = 2
	farMost  = 2
)

// Choose returns the addresses for a caller: its own failure domain first,
// then one each of other failure domains, spread by rendezvous hashing. One
// that is suspected comes after all that are not; one that leaves or is dead
// is left out.
func Choose(peers []carobward.Peer, caller string, domain carobward.Domain) []Line {
	best := rank(peers, caller)

	var near, far []carobward.Peer

	seen := map[carobward.Domain]bool{domain: true}

	for _, p := range best {
		switch {
		case p.Domain == domain && len(near) < nearMost:
			near = append(near, p)
		case !seen[p.Domain] && len(far) < farMost:
			seen[p.Domain] = true
			far = append(far, p)
		}
	}

	chosen := slices.Concat(near, far)
	slices.SortStableFunc(chosen, func(a, b carobward.Peer) int { return cmp.Compare(a.State, b.State) })

	var use []Line
	for _, p := range chosen {
		use = append(use, Line{Address: p.Callers, Lookup: p.Lookup, VM: p.ID, Domain: p.Domain})
	}

	return use
}

// rank sorts the fit peers by their rendezvous weight for the caller. One
// without a configuration would refuse each request, so it is left out once
// another one has any.
func rank(peers []carobward.Peer, caller string) []carobward.Peer {
	fit := make([]ranked, 0, len(peers))

	configured := slices.ContainsFunc(peers, func(p carobward.Peer) bool { return p.Revision > 0 })

	for i := range peers {
		p := &peers[i]
		if configured && p.Revision == 0 {
			continue
		}

		if p.State == carobward.PeerLive || p.State == carobward.PeerSuspect {
			fit = append(fit, ranked{p, cwrank.Weight(string(p.ID), caller)})
		}
	}

	slices.SortStableFunc(fit, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.peer.State, b.peer.State), cmp.Compare(b.weight, a.weight))
	})

	all := make([]carobward.Peer, len(fit))
	for i := range fit {
		all[i] = *fit[i].peer
	}

	return all
}

// ranked is a peer with its weight, which is worked out once.
type ranked struct {
	peer   *carobward.Peer
	weight uint64
}
