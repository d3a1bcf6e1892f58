package cwrelay

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// The number of entry VMs that are asked whether they take a request. Of several that do, the one
// with the fewest requests in progress gets it.
const (
	// nearTargets and farTargets are how many are asked at once, of this failure domain and of
	// the others. Of the latter namedTargets are of those that their failure domains name, which
	// most likely take the request; the rest spreads the requests over more.
	nearTargets  = 2
	farTargets   = 3
	namedTargets = 2
	// maxTargets is from how many entry VMs of this failure domain those that are asked are
	// drawn. They are the same for some time, so that connections to them are used again, and
	// differ between entry VMs, so that all are drawn equally often.
	maxTargets = 8
)

// Peer is an entry VM that may take requests for a service.
type Peer struct {
	ID carobward.VMID
	// Address is that of its listener for requests that are passed on.
	Address carobward.Address
}

// PickNear draws the entry VMs of this failure domain to ask: one to which there is a connection,
// if there is any, and others at random.
func PickNear(self carobward.VMID, list []Peer, isConnected func(Peer) bool) []Peer {
	weight := func(p Peer) uint64 { return cwrank.Weight(string(p.ID), string(self)) }

	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(weight(a), weight(b)) })
	list = shuffled(list[:min(maxTargets, len(list))])

	if i := slices.IndexFunc(list, isConnected); i > 0 {
		list[0], list[i] = list[i], list[0]
	}

	return list[:min(nearTargets, len(list))]
}

// PickFar draws the entry VMs of other failure domains to ask, at random.
func PickFar(named, others []Peer) []Peer {
	named = shuffled(slices.Clone(named))
	first := min(namedTargets, len(named))
	rest := shuffled(slices.Concat(named[first:], others))

	return slices.Concat(named[:first], rest[:min(farTargets-first, len(rest))])
}

// shuffled puts a list into a random order.
func shuffled(list []Peer) []Peer {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list
}
