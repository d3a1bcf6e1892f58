// Package cwbackend has the table of backend servers: which there are, which
// of them this entry VM sends requests to, and what its own requests and
// health checks told it of each.
package cwbackend

import (
	"cmp"
	"math"
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
	// mine has the servers of each service that this entry VM sends to.
	mine map[carobward.Service]*known
	// cold has what cold servers of each service bear, sharers who divides that and the
	// limits that servers name, near the number of near servers of each service.
	cold    map[carobward.Service]ColdBound
	sharers sharers
	near    map[carobward.Service]int
	// evacuated has the failure domains whose servers get nothing.
	evacuated map[carobward.Domain]bool
	// counts has the number of the servers of each service that may get requests,
	// emptied of those in evacuated failure domains.
	counts  map[carobward.Service]int
	emptied map[carobward.Service]int
}

// New returns an empty table for an entry VM, which sends to all servers before
// SetNeighbours is called.
func New(self VM) *Table {
	return &Table{
		self: self, byInstance: map[carobward.Instance]*Server{}, shares: newShares(self.ID), alone: true,
		evacuated: map[carobward.Domain]bool{},
	}
}

// Put takes new and changed entries, and the instances that are gone. It returns the
// servers that started again under their instance, as they were before.
func (t *Table) Put(list []carobward.Backend, gone []carobward.Instance, now time.Time) []carobward.Backend {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var ended []carobward.Backend

	for _, b := range list {
		s := t.byInstance[b.Instance]
		if s == nil {
			t.byInstance[b.Instance] = newServer(b, now)
			t.shares.add(b.Instance)

			continue
		}

		switch old := s.Backend(); compareStart(b, old) {
		case older:
			// A late word of a process that has ended.
		case same:
			s.update(b, now)
		case newer:
			// Nothing that was known of the process before holds for this one.
			t.byInstance[b.Instance] = newServer(b, now)
			t.byInstance[b.Instance].follows = now
			ended = append(ended, old)

			s.end()
		}
	}

	for _, i := range gone {
		delete(t.byInstance, i)
		t.shares.remove(i)
	}

	t.now = now
	t.arrange()

	return ended
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
		t.arrange()
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

	t.arrange()

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

	return t.counts[service] == 0 && t.emptied[service] > 0
}

// candidate is a server that this entry VM may send to.
type candidate struct {
	*place

	server *Server
}

// arrange sorts the servers by service and picks ours; the mutex is held.
func (t *Table) arrange() {
	near, far := map[carobward.Service][]candidate{}, map[distance][]candidate{}
	t.counts, t.emptied = map[carobward.Service]int{}, map[carobward.Service]int{}

	for i, s := range t.byInstance {
		b := s.Backend()

		if t.evacuated[b.Domain] {
			t.emptied[b.Service]++

			continue
		}

		t.counts[b.Service]++

		if b.Domain == t.self.Domain {
			near[b.Service] = append(near[b.Service], candidate{t.shares.places[i], s})
		} else {
			at := distance{b.Service, t.self.Regions[b.Domain]}
			far[at] = append(far[at], candidate{t.shares.places[i], s})
		}
	}

	t.mine, t.near = map[carobward.Service]*known{}, map[carobward.Service]int{}

	for service, list := range near {
		t.near[service] = len(list)
		t.mine[service] = &known{near: t.pickNear(list, t.cold[service])}
	}

	for at, list := range far {
		if t.mine[at.service] == nil {
			t.mine[at.service] = &known{}
		}

		m := t.mine[at.service]
		usual, spare := t.pickFar(list, t.farCount(len(near[at.service])))
		m.far, m.spare = append(m.far, usual...), append(m.spare, spare...)
	}
}

// known are the servers of a service that an entry VM sends to: near ones, some of other
// failure domains, and more of those for when few of the near ones can be used.
type known struct{ near, far, spare []*Server }

// distance are the servers of a service in a region that are not near. An entry VM knows
// some in each region, since requests may have their homes in any.
type distance struct {
	service carobward.Service
	region  carobward.Region
}

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

// toFront brings those few of a list to its front that this entry VM comes first
// for the most.
func toFront(list []candidate, few int) {
	for n := range few {
		best := n

		for i := n + 1; i < len(list); i++ {
			if list[i].compare(list[best].place) < 0 {
				best = i
			}
		}

		list[n], list[best] = list[best], list[n]
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

// VMs returns all servers as lines of a VM list.
func (t *Table) VMs() []carobward.VM {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	list := make([]carobward.VM, 0, len(t.byInstance))

	for _, s := range t.byInstance {
		b := s.Backend()
		list = append(list, carobward.VM{Address: b.Address, Service: b.Service, Domain: b.Domain})
	}

	return list
}

// CountOf returns the number of servers of a service that are not in evacuated failure
// domains.
func (t *Table) CountOf(service carobward.Service) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.counts[service]
}

// Count returns the number of servers.
func (t *Table) Count() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return len(t.byInstance)
}
