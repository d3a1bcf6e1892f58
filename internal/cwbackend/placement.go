package cwbackend

import (
	"cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// placement ranks this entry VM among those of its failure domain for each server by
// rendezvous hashing; the ranks decide on its subset. They are kept and updated: a change of a
// neighbour costs one step per server, a new server one step per neighbour. It is not safe for
// concurrent use.
type placement struct {
	self uint64
	// neighbours has the hashes of the other entry VMs of the failure domain.
	neighbours map[carobward.VMID]uint64
	places     map[carobward.Instance]*place
}

// place is the rank of this entry VM for one server.
type place struct {
	// hash is the server's hash, own the weight of this entry VM for the server.
	hash uint64
	own  uint64
	// rank is how many neighbours have a higher weight.
	rank int
}

func newPlacement(self carobward.VMID) *placement {
	return &placement{
		self: cwrank.Hash(string(self)), neighbours: map[carobward.VMID]uint64{},
		places: map[carobward.Instance]*place{},
	}
}

// count returns the number of entry VMs in the failure domain, including this one.
func (s *placement) count() int { return 1 + len(s.neighbours) }

// add adds a server.
func (s *placement) add(i carobward.Instance) {
	p := &place{hash: cwrank.Hash(string(i))}
	p.own = cwrank.Mix(s.self, p.hash)

	for _, n := range s.neighbours {
		if cwrank.Mix(n, p.hash) > p.own {
			p.rank++
		}
	}

	s.places[i] = p
}

// remove removes a server.
func (s *placement) remove(i carobward.Instance) { delete(s.places, i) }

// setNeighbours sets the other entry VMs of the failure domain. It reports whether they
// changed.
func (s *placement) setNeighbours(list []carobward.VMID) bool {
	stay := make(map[carobward.VMID]bool, len(list))
	changed := false

	for _, id := range list {
		stay[id] = true

		if _, ok := s.neighbours[id]; !ok {
			s.neighbours[id] = cwrank.Hash(string(id))
			s.updateRanks(s.neighbours[id], 1)

			changed = true
		}
	}

	for id, hash := range s.neighbours {
		if !stay[id] {
			s.updateRanks(hash, -1)
			delete(s.neighbours, id)

			changed = true
		}
	}

	return changed
}

// updateRanks updates the ranks for a neighbour that was added (1) or removed (-1).
func (s *placement) updateRanks(hash uint64, by int) {
	for _, p := range s.places {
		if cwrank.Mix(hash, p.hash) > p.own {
			p.rank += by
		}
	}
}

// compare orders servers by the rank of this entry VM, best first.
func (p *place) compare(q *place) int {
	return cmp.Or(cmp.Compare(p.rank, q.rank), cmp.Compare(q.own, p.own), cmp.Compare(p.hash, q.hash))
}
