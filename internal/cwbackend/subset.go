package cwbackend

import (
	"math"
	"slices"
	"time"

	"carobward.example/carobward"
)

// The sizes of the subsets of servers that entry VMs send to. They keep the number of
// connections from all entry VMs low, but are large enough that a random sample contains a
// fast server with free slots.
const (
	// subsetNear is the least number of servers from its own failure domain in an entry VM's
	// subset, if that many exist. Near servers are preferred since traffic between failure
	// domains is billed.
	subsetNear = 8
	// subsetFar is the number of servers from other failure domains in the subset, if that
	// many exist, for when the near ones have no free slots or are lost.
	subsetFar = 4
	// minHolders is the least number of entry VMs of its failure domain that have a server in
	// their subset, so that the server stays in use when some of them are lost.
	minHolders = 4
)

// selectAll selects the subsets of all services. The mutex must be held.
func (t *Table) selectAll() {
	for service := range t.groups {
		t.selectSubset(service)
	}
}

// selectSubset selects the subset of a service. The mutex must be held.
func (t *Table) selectSubset(service carobward.Service) {
	g := t.groups[service]
	if g == nil {
		delete(t.subsets, service)
		delete(t.nearCounts, service)

		return
	}

	g.warmAt = time.Time{}
	if t.warmupBounds[service].Rate > 0 {
		g.warmAt = t.lastWarmAt(g.near)
	}

	t.nearCounts[service] = len(g.near)
	m := &subset{near: t.pickNear(g.near, t.warmupBounds[service])}

	for _, list := range g.far {
		usual, spare := t.pickFar(list, t.farCount(len(g.near)))
		m.far, m.spare = append(m.far, usual...), append(m.spare, spare...)
	}

	t.subsets[service] = m
}

// lastWarmAt returns when the last of the servers is warmed up, or the zero time if all are.
// The mutex must be held.
func (t *Table) lastWarmAt(list []candidate) time.Time {
	last := time.Time{}

	for i := range list {
		if warm := list[i].server.warmAt(); warm.After(t.now) && warm.After(last) {
			last = warm
		}
	}

	return last
}

// subset has the servers of a service that this entry VM sends to: near ones, some of other
// failure domains, and spare ones of other failure domains for when few near ones are usable.
type subset struct{ near, far, spare []*Server }

// farCount returns the number of servers of other failure domains in the subset, given the
// number of near ones. If this failure domain has no servers, for example because it is
// evacuated, servers of others take their place: with subsetFar alone, its requests would
// concentrate on a few servers of the other failure domains.
func (t *Table) farCount(near int) int {
	if near == 0 {
		return subsetNear + subsetFar
	}

	return subsetFar
}

// holders returns how many entry VMs of the failure domain have a server in their subset, given
// the number of near servers of the service. For each server, they are the ones that rank first
// by hash.
func (t *Table) holders(servers int) int {
	if t.alone || servers <= subsetNear {
		return math.MaxInt
	}

	return max(minHolders, (t.placement.count()*subsetNear+servers-1)/servers)
}

// pickNear returns the near servers of the subset. Each server is in the subsets of the same
// number of entry VMs, so that none is left out and a change on either side moves few. That
// number is minHolders, or more where subsets would otherwise have fewer than subsetNear
// servers. A server that is warming up is in the subset of each entry VM that may send to it,
// so that its rate can be used.
func (t *Table) pickNear(list []candidate, bound WarmupBound) []*Server {
	each, first := t.holders(len(list)), 0
	if each == math.MaxInt {
		return servers(list)
	}

	for i := range list {
		if rank := list[i].rank; rank < each || rank < bound.budget() && list[i].server.isWarming(t.now) {
			list[i], list[first] = list[first], list[i]
			first++
		}
	}

	// The hash may leave this entry VM with too few.
	if lack := subsetNear/2 - first; lack > 0 {
		toFront(list[first:], lack)
		first += lack
	}

	return servers(list[:first])
}

// pickFar returns the servers of other failure domains in the subset, and further ones as
// spares: those for which this entry VM ranks best among its neighbours.
func (t *Table) pickFar(list []candidate, count int) (usual, spare []*Server) {
	if t.alone || len(list) <= count {
		return servers(list), nil
	}

	all := min(len(list), subsetNear+subsetFar)
	toFront(list, all)

	return servers(list[:count]), servers(list[count:all])
}

// toFront moves the given number of servers for which this entry VM ranks best to the front of
// the list, in order. It takes one pass.
func toFront(list []candidate, few int) {
	before := func(a, b candidate) int { return a.compare(b.place) }
	slices.SortFunc(list[:few], before)

	for i := few; i < len(list); i++ {
		if list[i].compare(list[few-1].place) >= 0 {
			continue
		}

		at, _ := slices.BinarySearchFunc(list[:few], list[i], before)
		one := list[few-1]
		copy(list[at+1:few], list[at:few-1])
		list[at], list[i] = list[i], one
	}
}

func servers(list []candidate) []*Server {
	all := make([]*Server, len(list))
	for i := range list {
		all[i] = list[i].server
	}

	return all
}
