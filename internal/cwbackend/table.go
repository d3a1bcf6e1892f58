// Package cwbackend keeps the table of backend servers: which servers exist, which subset of
// them this entry VM sends requests to, and what its requests and health checks show about
// each server.
package cwbackend

import (
	"cmp"
	"math"
	"slices"
	"sync"
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

// VM is an entry VM.
type VM struct {
	ID     carobward.VMID
	Domain carobward.Domain
	// Regions has the region of each failure domain.
	Regions map[carobward.Domain]carobward.Region
}

// Table is the table of servers. It is safe for use by several goroutines.
type Table struct {
	self VM

	mutex      sync.RWMutex
	byInstance map[carobward.Instance]*Server
	placement  *placement
	// now is the time of the last Put.
	now time.Time
	// alone is set until the first call to SetNeighbours.
	alone bool
	// groups has all servers of each service, subsets those that this entry VM sends to.
	groups  map[carobward.Service]*group
	subsets map[carobward.Service]*subset
	// announcers are the servers whose announcements other entry VMs may lack.
	announcers *announcers
	// addresses counts the servers at each address.
	addresses map[carobward.Address]int
	// warmupBounds has the rates for servers that are warming up, by service. sharers are the
	// entry VMs that divide these rates and the limits that servers announce. nearCounts has
	// the number of near servers of each service.
	warmupBounds map[carobward.Service]WarmupBound
	sharers      sharers
	nearCounts   map[carobward.Service]int
	// evacuated has the failure domains whose servers get no traffic.
	evacuated map[carobward.Domain]bool
}

// New returns an empty table for an entry VM. All servers are in its subsets until
// SetNeighbours is called.
func New(self VM) *Table {
	return &Table{
		self: self, byInstance: map[carobward.Instance]*Server{}, placement: newPlacement(self.ID), alone: true,
		groups: map[carobward.Service]*group{}, subsets: map[carobward.Service]*subset{}, addresses: map[carobward.Address]int{},
		announcers: newAnnouncers(),
		nearCounts: map[carobward.Service]int{}, evacuated: map[carobward.Domain]bool{},
	}
}

// Put applies new and changed entries and removes the instances in gone. It returns the
// previous entries of servers whose process restarted under the same instance.
func (t *Table) Put(list []carobward.Backend, gone []carobward.Instance, now time.Time) []carobward.Backend {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var ended []carobward.Backend

	t.now = now
	changed := map[carobward.Service]bool{}

	for _, b := range list {
		s := t.byInstance[b.Instance]
		if s == nil {
			t.add(newServer(b, t.announcers, now), changed)

			continue
		}

		switch old := s.Backend(); compareStart(b, old) {
		case older:
			// A late entry of a process that has ended.
		case same:
			t.update(s, b, changed)
		case newer:
			// State of the previous process does not apply to the new one.
			t.remove(s, changed)

			next := newServer(b, t.announcers, now)
			next.replacedAt = now
			t.add(next, changed)

			ended = append(ended, old)

			s.end()
		}
	}

	for _, i := range gone {
		if s := t.byInstance[i]; s != nil {
			t.remove(s, changed)
		}
	}

	for service, g := range t.groups {
		if !g.warmAt.IsZero() && !now.Before(g.warmAt) {
			changed[service] = true
		}
	}

	for service := range changed {
		t.selectSubset(service)
	}

	return ended
}

// add adds a server and marks its service as changed. The mutex must be held.
func (t *Table) add(s *Server, changed map[carobward.Service]bool) {
	b := s.Backend()
	t.byInstance[b.Instance] = s
	t.placement.add(b.Instance)
	t.addresses[b.Address]++
	t.addToGroup(s, &b)

	changed[b.Service] = true
}

// remove removes a server and marks its service as changed. The mutex must be held.
func (t *Table) remove(s *Server, changed map[carobward.Service]bool) {
	b := s.Backend()
	t.removeFromGroup(s, &b)
	delete(t.byInstance, b.Instance)
	t.placement.remove(b.Instance)
	t.removeAddress(b.Address)

	changed[b.Service] = true
}

// update applies a changed entry of the same process. Most changes, such as of the state,
// leave the subsets as they are. The mutex must be held.
func (t *Table) update(s *Server, b carobward.Backend, changed map[carobward.Service]bool) {
	old, warming := s.Backend(), s.isWarming(t.now)

	if moves := old.Service != b.Service || old.Domain != b.Domain; moves {
		t.removeFromGroup(s, &old)
		defer t.addToGroup(s, &b)

		changed[old.Service], changed[b.Service] = true, true
	}

	if old.Address != b.Address {
		t.removeAddress(old.Address)
		t.addresses[b.Address]++
	}

	s.update(b, t.now)

	if s.isWarming(t.now) != warming {
		changed[b.Service] = true
	}
}

// removeAddress removes a server from the count of its address. The mutex must be held.
func (t *Table) removeAddress(a carobward.Address) {
	if t.addresses[a]--; t.addresses[a] <= 0 {
		delete(t.addresses, a)
	}
}

// HasAddress reports whether any server listens at the address.
func (t *Table) HasAddress(a carobward.Address) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.addresses[a] > 0
}

// The results of compareStart.
const (
	older = iota - 1
	same
	newer
)

// compareStart compares the start times of the processes of two entries of an instance.
// Entries without a start time count as the same process.
func compareStart(b, than carobward.Backend) int {
	if b.Start == 0 || than.Start == 0 {
		return same
	}

	return cmp.Compare(b.Start, than.Start)
}

// SetNeighbours sets the other entry VMs of the failure domain, among which its servers are
// divided into subsets. Each failure domain divides the servers on its own.
func (t *Table) SetNeighbours(list []carobward.VMID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.placement.setNeighbours(list) || t.alone {
		t.alone = false
		t.selectAll()
	}
}

// SetEvacuated starts or ends the evacuation of a failure domain by the operators. Its servers
// get no new requests, retries, hedges or health checks during that time; what is in flight
// there runs to its end. It returns the number of servers in the failure domain.
func (t *Table) SetEvacuated(d carobward.Domain, evacuated bool) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if evacuated {
		t.evacuated[d] = true
	} else {
		delete(t.evacuated, d)
	}

	t.regroup()

	count := 0

	for _, s := range t.byInstance {
		if s.Backend().Domain == d {
			count++
		}
	}

	return count
}

// AllEvacuated reports whether a service has servers and all of them are in evacuated failure
// domains.
func (t *Table) AllEvacuated(service carobward.Service) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	g := t.groups[service]

	return g != nil && g.count == 0 && g.evacuatedCount > 0
}

// candidate is a server that this entry VM may send to.
type candidate struct {
	*place

	server *Server
}

// group has the servers of a service. It is updated as entries are added and removed: rebuilding it at
// each change would cost time in proportion to the number of servers times the number of
// changes.
type group struct {
	near []candidate
	// far has the servers of other failure domains by region. A subset has some of each
	// region, since the allowed regions of a route may be any.
	far map[carobward.Region][]candidate
	// count is the number of servers that may get requests, evacuatedCount that of servers in
	// evacuated failure domains, which are in neither list.
	count, evacuatedCount int
	// warmAt is when the last near server that was warming up at the selection of the subset
	// is warmed up. From then on fewer entry VMs need to have it in their subset.
	warmAt time.Time
}

// addToGroup adds a server with its entry to the group of its service. The mutex must be held.
func (t *Table) addToGroup(s *Server, b *carobward.Backend) {
	g := t.groups[b.Service]
	if g == nil {
		g = &group{far: map[carobward.Region][]candidate{}}
		t.groups[b.Service] = g
	}

	if t.evacuated[b.Domain] {
		g.evacuatedCount++

		return
	}

	g.count++

	list := g.list(t, b)
	*list = append(*list, candidate{t.placement.places[b.Instance], s})
	g.put(t, b, *list)
}

// removeFromGroup removes a server with its entry from the group of its service. The mutex
// must be held.
func (t *Table) removeFromGroup(s *Server, b *carobward.Backend) {
	g := t.groups[b.Service]

	if t.evacuated[b.Domain] {
		g.evacuatedCount--
	} else {
		g.count--
	}

	list := *g.list(t, b)
	if i := slices.IndexFunc(list, func(c candidate) bool { return c.server == s }); i >= 0 {
		last := len(list) - 1
		list[i], list[last] = list[last], candidate{}
		g.put(t, b, list[:last])
	}

	if g.count == 0 && g.evacuatedCount == 0 {
		delete(t.groups, b.Service)
	}
}

// list returns the list of the group that an entry belongs to.
func (g *group) list(t *Table, b *carobward.Backend) *[]candidate {
	if b.Domain == t.self.Domain {
		return &g.near
	}

	list := g.far[t.self.Regions[b.Domain]]

	return &list
}

// put stores the changed list of the group that an entry belongs to.
func (g *group) put(t *Table, b *carobward.Backend, list []candidate) {
	if b.Domain == t.self.Domain {
		g.near = list

		return
	}

	g.far[t.self.Regions[b.Domain]] = list
}

// regroup rebuilds all groups, as needed when a failure domain is evacuated. The mutex must be
// held.
func (t *Table) regroup() {
	t.groups = map[carobward.Service]*group{}

	for _, s := range t.byInstance {
		b := s.Backend()
		t.addToGroup(s, &b)
	}

	t.selectAll()
}

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

// Has reports whether a server may get a request: it is in the table as the same process, is
// not leaving, and its failure domain is not evacuated.
func (t *Table) Has(b carobward.Backend) bool {
	now, ok := t.lookup(b.Instance)

	return ok && !now.Leaving && compareStart(now, b) == same && !t.isEvacuated(now.Domain)
}

func (t *Table) isEvacuated(d carobward.Domain) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.evacuated[d]
}

// HasNewer reports whether the process of a server was replaced by a newer one.
func (t *Table) HasNewer(b carobward.Backend) bool {
	now, ok := t.lookup(b.Instance)

	return ok && compareStart(now, b) == newer
}

// Start returns the start time of a server's process, or 0 if it is not known.
func (t *Table) Start(i carobward.Instance) carobward.Start {
	now, _ := t.lookup(i)

	return now.Start
}

// lookup returns the current entry of an instance.
func (t *Table) lookup(i carobward.Instance) (carobward.Backend, bool) {
	t.mutex.RLock()
	s := t.byInstance[i]
	t.mutex.RUnlock()

	if s == nil {
		return carobward.Backend{}, false
	}

	return s.Backend(), true
}

// CountOf returns the number of servers of a service outside evacuated failure domains.
func (t *Table) CountOf(service carobward.Service) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	if g := t.groups[service]; g != nil {
		return g.count
	}

	return 0
}

// Count returns the number of servers.
func (t *Table) Count() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return len(t.byInstance)
}
