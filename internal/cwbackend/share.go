package cwbackend

import (
	"cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// shares tells which servers an entry VM gets where the entry VMs of a failure
// domain share them by rendezvous hashing. The place of this entry VM for each
// server is kept and follows changes: a neighbour that comes or goes costs a step
// a server, a server that comes a step a neighbour. It is not safe for use by
// several goroutines.
type shares struct {
	self uint64
	// neighbours has the hash of each other entry VM of the failure domain.
	neighbours map[carobward.VMID]uint64
	places     map[carobward.Instance]*place
}

// place is where this entry VM stands for one server.
type place struct {
	// hash is the server's, own the weight of this entry VM for it.
	hash uint64
	own  uint64
	// before is how many neighbours have a higher weight.
	before int
}

func newShares(self carobward.VMID) *shares {
	return &shares{
		self: cwrank.Hash(string(self)), neighbours: map[carobward.VMID]uint64{},
		places: map[carobward.Instance]*place{},
	}
}

// count returns the number of entry VMs that share, this one among them.
func (s *shares) count() int { return 1 + len(s.neighbours) }

// add takes a server.
func (s *shares) add(i carobward.Instance) {
	p := &place{hash: cwrank.Hash(string(i))}
	p.own = cwrank.Mix(s.self, p.hash)

	for _, n := range s.neighbours {
		if cwrank.Mix(n, p.hash) > p.own {
			p.before++
		}
	}

	s.places[i] = p
}

// remove forgets a server.
func (s *shares) remove(i carobward.Instance) { delete(s.places, i) }

// set takes the other entry VMs that share. It tells whether that is a change.
func (s *shares) set(list []carobward.VMID) bool {
	stay := make(map[carobward.VMID]bool, len(list))
	changed := false

	for _, id := range list {
		stay[id] = true

		if _, ok := s.neighbours[id]; !ok {
			s.neighbours[id] = cwrank.Hash(string(id))
			s.move(s.neighbours[id], 1)

			changed = true
		}
	}

	for id, hash := range s.neighbours {
		if !stay[id] {
			s.move(hash, -1)
			delete(s.neighbours, id)

			changed = true
		}
	}

	return changed
}

// move follows a neighbour that comes (1) or goes (-1).
func (s *shares) move(hash uint64, by int) {
	for _, p := range s.places {
		if cwrank.Mix(hash, p.hash) > p.own {
			p.before += by
		}
	}
}

// compare orders servers by how much this entry VM comes first for them.
func (p *place) compare(q *place) int {
	return cmp.Or(cmp.Compare(p.before, q.before), cmp.Compare(q.own, p.own), cmp.Compare(p.hash, q.hash))
}
