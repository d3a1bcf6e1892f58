package cwbackend

import (
	"slices"
	"time"

	"carobward.example/carobward"
)

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
