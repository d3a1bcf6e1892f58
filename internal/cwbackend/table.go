// Package cwbackend has the table of backend servers: which there are, which
// of them this entry VM sends requests to, and what its own requests and
// health checks told it of each.
package cwbackend

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
)

// The sets of servers that an entry VM sends to. They keep the connections of
// all entry VMs few, and are wide enough that a look at some of them finds one
// that is fast and has room.
const (
	// knownNear is how many servers of its own failure domain an entry VM
	// knows at least, if there are as many. Bytes between failure domains are
	// paid for.
	knownNear = 8
	// knownFar is how many of the others it knows, if there are as many, for when
	// the near ones have no room or are lost.
	knownFar = 4
	// knownBy is how many entry VMs of its failure domain know a server at
	// least, so that it stays in use when some of them are lost.
	knownBy = 4
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
	shares     *shares
	// now is when entries were last taken.
	now time.Time
	// alone tells that no other entry VM is known to share the servers yet.
	alone bool
	// groups has the servers of each service, and mine those that this entry VM sends to.
	groups map[carobward.Service]*group
	mine   map[carobward.Service]*known
	// speakers are servers that have said something that other entry VMs may lack.
	speakers *speakers
	// addresses counts the servers at each address.
	addresses map[carobward.Address]int
	// cold has what cold servers of each service bear, sharers who divides that and the
	// limits that servers name, near the number of near servers of each service.
	cold    map[carobward.Service]ColdBound
	sharers sharers
	near    map[carobward.Service]int
	// evacuated has the failure domains whose servers get nothing.
	evacuated map[carobward.Domain]bool
}

// New returns an empty table for an entry VM, which sends to all servers before
// SetNeighbours is called.
func New(self VM) *Table {
	return &Table{
		self: self, byInstance: map[carobward.Instance]*Server{}, shares: newShares(self.ID), alone: true,
		groups: map[carobward.Service]*group{}, mine: map[carobward.Service]*known{}, addresses: map[carobward.Address]int{},
		speakers: newSpeakers(),
		near:     map[carobward.Service]int{}, evacuated: map[carobward.Domain]bool{},
	}
}

// Put takes new and changed entries, and the instances that are gone. It returns the
// servers that started again under their instance, as they were before.
func (t *Table) Put(list []carobward.Backend, gone []carobward.Instance, now time.Time) []carobward.Backend {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var ended []carobward.Backend

	t.now = now
	changed := map[carobward.Service]bool{}

	for _, b := range list {
		s := t.byInstance[b.Instance]
		if s == nil {
			t.add(newServer(b, t.speakers, now), changed)

			continue
		}

		switch old := s.Backend(); compareStart(b, old) {
		case older:
			// A late word of a process that has ended.
		case same:
			t.update(s, b, changed)
		case newer:
			// Nothing that was known of the process before holds for this one.
			t.remove(s, changed)

			next := newServer(b, t.speakers, now)
			next.follows = now
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
		if !g.warms.IsZero() && !now.Before(g.warms) {
			changed[service] = true
		}
	}

	for service := range changed {
		t.arrange(service)
	}

	return ended
}

// add takes a server and notes its service as changed; the mutex is held.
func (t *Table) add(s *Server, changed map[carobward.Service]bool) {
	b := s.Backend()
	t.byInstance[b.Instance] = s
	t.shares.add(b.Instance)
	t.addresses[b.Address]++
	t.join(s, &b)

	changed[b.Service] = true
}

// remove forgets a server and notes its service as changed; the mutex is held.
func (t *Table) remove(s *Server, changed map[carobward.Service]bool) {
	b := s.Backend()
	t.leave(s, &b)
	delete(t.byInstance, b.Instance)
	t.shares.remove(b.Instance)
	t.forget(b.Address)

	changed[b.Service] = true
}

// update takes a changed entry of the same process. Most changes, as of its state, move no
// server from one entry VM to another; the mutex is held.
func (t *Table) update(s *Server, b carobward.Backend, changed map[carobward.Service]bool) {
	old, cold := s.Backend(), s.isCold(t.now)

	if moves := old.Service != b.Service || old.Domain != b.Domain; moves {
		t.leave(s, &old)
		defer t.join(s, &b)

		changed[old.Service], changed[b.Service] = true, true
	}

	if old.Address != b.Address {
		t.forget(old.Address)
		t.addresses[b.Address]++
	}

	s.update(b, t.now)

	if s.isCold(t.now) != cold {
		changed[b.Service] = true
	}
}

// forget counts a server at an address less; the mutex is held.
func (t *Table) forget(a carobward.Address) {
	if t.addresses[a]--; t.addresses[a] <= 0 {
		delete(t.addresses, a)
	}
}

// HasAddress tells whether a server is at an address.
func (t *Table) HasAddress(a carobward.Address) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.addresses[a] > 0
}

// The order of two entries of an instance by the start of their processes.
const (
	older = iota - 1
	same
	newer
)

// compareStart tells whether an entry is of the same process as another one. An entry
// that does not say when its process started is of the same.
func compareStart(b, than carobward.Backend) int {
	if b.Start == 0 || than.Start == 0 {
		return same
	}

	return cmp.Compare(b.Start, than.Start)
}

// SetNeighbours tells which other entry VMs of the failure domain share the
// servers. Those of other failure domains share them among themselves.
func (t *Table) SetNeighbours(list []carobward.VMID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.shares.set(list) || t.alone {
		t.alone = false
		t.arrangeAll()
	}
}

// SetEvacuated tells whether the operators evacuate a failure domain. Its servers get
// nothing then: no request, no second one, no look. What is under way there ends as it
// would. It returns how many servers that concerns.
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

// Emptied tells whether a service has servers, all of them in evacuated failure
// domains.
func (t *Table) Emptied(service carobward.Service) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	g := t.groups[service]

	return g != nil && g.count == 0 && g.emptied > 0
}

// candidate is a server that this entry VM may send to.
type candidate struct {
	*place

	server *Server
}

// group has the servers of a service, kept apart as entries come and go: sorting all servers
// anew at each change would cost the more the more servers there are and the more of them
// change.
type group struct {
	near []candidate
	// far has those of other failure domains by their region. An entry VM knows some in each,
	// since requests may have their homes in any.
	far map[carobward.Region][]candidate
	// count is the number of those that may get requests, emptied of those in evacuated
	// failure domains, which are in neither list.
	count, emptied int
	// warms is when the last of the near ones that were cold when ours were picked is not any
	// more: then fewer entry VMs need to know them.
	warms time.Time
}

// join puts a server with an entry into its group; the mutex is held.
func (t *Table) join(s *Server, b *carobward.Backend) {
	g := t.groups[b.Service]
	if g == nil {
		g = &group{far: map[carobward.Region][]candidate{}}
		t.groups[b.Service] = g
	}

	if t.evacuated[b.Domain] {
		g.emptied++

		return
	}

	g.count++

	list := g.list(t, b)
	*list = append(*list, candidate{t.shares.places[b.Instance], s})
	g.put(t, b, *list)
}

// leave takes a server with an entry out of its group; the mutex is held.
func (t *Table) leave(s *Server, b *carobward.Backend) {
	g := t.groups[b.Service]

	if t.evacuated[b.Domain] {
		g.emptied--
	} else {
		g.count--
	}

	list := *g.list(t, b)
	if i := slices.IndexFunc(list, func(c candidate) bool { return c.server == s }); i >= 0 {
		last := len(list) - 1
		list[i], list[last] = list[last], candidate{}
		g.put(t, b, list[:last])
	}

	if g.count == 0 && g.emptied == 0 {
		delete(t.groups, b.Service)
	}
}

// list returns the list of a group that an entry belongs to.
func (g *group) list(t *Table, b *carobward.Backend) *[]candidate {
	if b.Domain == t.self.Domain {
		return &g.near
	}

	list := g.far[t.self.Regions[b.Domain]]

	return &list
}

// put stores that list after it was changed.
func (g *group) put(t *Table, b *carobward.Backend, list []candidate) {
	if b.Domain == t.self.Domain {
		g.near = list

		return
	}

	g.far[t.self.Regions[b.Domain]] = list
}

// regroup sorts all servers anew, as where failure domains are evacuated; the mutex is held.
func (t *Table) regroup() {
	t.groups = map[carobward.Service]*group{}

	for _, s := range t.byInstance {
		b := s.Backend()
		t.join(s, &b)
	}

	t.arrangeAll()
}

// arrangeAll picks ours of all services; the mutex is held.
func (t *Table) arrangeAll() {
	for service := range t.groups {
		t.arrange(service)
	}
}

// arrange picks ours of the servers of a service; the mutex is held.
func (t *Table) arrange(service carobward.Service) {
	g := t.groups[service]
	if g == nil {
		delete(t.mine, service)
		delete(t.near, service)

		return
	}

	g.warms = time.Time{}
	if t.cold[service].Rate > 0 {
		g.warms = t.warms(g.near)
	}

	t.near[service] = len(g.near)
	m := &known{near: t.pickNear(g.near, t.cold[service])}

	for _, list := range g.far {
		usual, spare := t.pickFar(list, t.farCount(len(g.near)))
		m.far, m.spare = append(m.far, usual...), append(m.spare, spare...)
	}

	t.mine[service] = m
}

// warms returns when the last of the cold ones of some servers is not cold any more, zero where
// none is cold; the mutex is held.
func (t *Table) warms(list []candidate) time.Time {
	last := time.Time{}

	for i := range list {
		if warm := list[i].server.warmAt(); warm.After(t.now) && warm.After(last) {
			last = warm
		}
	}

	return last
}

// known are the servers of a service that an entry VM sends to: near ones, some of other
// failure domains, and more of those for when few of the near ones can be used.
type known struct{ near, far, spare []*Server }

// farCount returns how many servers of other failure domains this entry VM knows
// beside so many near ones. Where its own failure domain has none (it may be
// evacuated), the others take the place of those: by knownFar alone the requests of
// two other failure domains would crowd on a few servers each.
func (t *Table) farCount(near int) int {
	if near == 0 {
		return knownNear + knownFar
	}

	return knownFar
}

// knowers returns how many entry VMs of the failure domain know one of so many near
// servers of a service, the first ones by hash.
func (t *Table) knowers(servers int) int {
	if t.alone || servers <= knownNear {
		return math.MaxInt
	}

	return max(knownBy, (t.shares.count()*knownNear+servers-1)/servers)
}

// pickNear returns the servers of the own failure domain that this entry VM sends
// to. Each server is known to the same number of the entry VMs there, so that no
// server is left out, and a change of either side moves few. That number is
// knownBy, or more where it takes that for an entry VM to know so many servers. A cold
// server is known to as many as may send to it, so that what it bears can be used.
func (t *Table) pickNear(list []candidate, cold ColdBound) []*Server {
	each, first := t.knowers(len(list)), 0
	if each == math.MaxInt {
		return servers(list)
	}

	for i := range list {
		if before := list[i].before; before < each || before < cold.most() && list[i].server.isCold(t.now) {
			list[i], list[first] = list[first], list[i]
			first++
		}
	}

	// Chance may leave this entry VM with few.
	if lack := knownNear/2 - first; lack > 0 {
		toFront(list[first:], lack)
		first += lack
	}

	return servers(list[:first])
}

// pickFar returns the servers of the other failure domains that this entry VM
// sends to, and further ones in spare: those that it is the first for of its own.
func (t *Table) pickFar(list []candidate, most int) (usual, spare []*Server) {
	if t.alone || len(list) <= most {
		return servers(list), nil
	}

	all := min(len(list), knownNear+knownFar)
	toFront(list, all)

	return servers(list[:most]), servers(list[most:all])
}

// toFront brings those few of a list to its front, in their order, that this entry VM comes
// first for the most. It takes one pass.
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

// Has tells whether a server is still in the table as the same process, and neither
// leaving nor in an evacuated failure domain: whether it may get a request now.
func (t *Table) Has(b carobward.Backend) bool {
	now, ok := t.present(b.Instance)

	return ok && !now.Leaving && compareStart(now, b) == same && !t.isEvacuated(now.Domain)
}

func (t *Table) isEvacuated(d carobward.Domain) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.evacuated[d]
}

// HasNewer tells whether a server has started again since.
func (t *Table) HasNewer(b carobward.Backend) bool {
	now, ok := t.present(b.Instance)

	return ok && compareStart(now, b) == newer
}

// Start returns the start of a server's process as the table has it, or 0.
func (t *Table) Start(i carobward.Instance) carobward.Start {
	now, _ := t.present(i)

	return now.Start
}

// present returns a server as the table has it.
func (t *Table) present(i carobward.Instance) (carobward.Backend, bool) {
	t.mutex.RLock()
	s := t.byInstance[i]
	t.mutex.RUnlock()

	if s == nil {
		return carobward.Backend{}, false
	}

	return s.Backend(), true
}

// CountOf returns the number of servers of a service that are not in evacuated failure
// domains.
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
