package cwgateway

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwroutes"
)

// changed takes changes of the copy of the store: a configuration comes into
// force, and the table of servers follows the list.
func (g *Gateway) changed(items []carobward.Item) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	now := g.Clock.Now()
	first := g.servers.Count() == 0

	var (
		list []carobward.Backend
		gone []carobward.Instance
	)

	for i := range items {
		it := &items[i]

		switch {
		case g.Adapter.IsRouting(it.Key):
			g.configure(it)
		case it.Key == carobward.KeyFleet && !it.Gone:
			g.told(it)
		case !g.Adapter.IsBackend(it.Key):
		case it.Gone:
			instance := g.Adapter.Instance(it.Key)
			gone = append(gone, instance)
			g.log.Info("A server is gone.", "server", instance, "index", it.Index)
		default:
			if b, ok := g.entry(it, first); ok {
				list = append(list, b)
			}
		}
	}

	g.keeper.Took(items)

	if first && len(list) > 0 {
		g.log.Info("The first list of servers.", "servers", len(list))
	}

	if len(list)+len(gone) > 0 {
		g.servers.Put(list, gone, now)
		g.link.Retain(g.servers.VMs())
	}

	g.ready()
}

// entry reads a server's entry and tells whether it can be used. Of the first list
// only servers that leave are logged: a line for each would be a thousand at the
// start of each of hundreds of small entry VMs.
func (g *Gateway) entry(it *carobward.Item, first bool) (carobward.Backend, bool) {
	b, err := g.Adapter.Backend(it.Key, it.Value)
	if err != nil {
		g.log.Error(err, "An entry of a server can't be read, its last one stands.", "index", it.Index)

		return b, false
	}

	if !first || b.Leaving {
		g.log.Info("A server's entry.", "server", b.Instance, "address", b.Address, "service", b.Service,
			"leaving", b.Leaving, "warmup", b.Warmup.String(), "index", it.Index)
	}

	return b, true
}

// told takes the list of entry VMs that the store has.
func (g *Gateway) told(it *carobward.Item) {
	list, err := cwmesh.DecodeFleet(it.Value)
	if err != nil {
		g.log.Error(err, "The list of entry VMs can't be read.", "index", it.Index)

		return
	}

	g.table.Told(list, g.Clock.Now())
	g.mesh.Tell()
}

// configure puts a configuration in force if it is newer than the one there.
func (g *Gateway) configure(it *carobward.Item) {
	if it.Gone {
		g.log.Info("The store has no configuration, the last one stays in force.", "index", it.Index)

		return
	}

	r, err := g.Adapter.Routing(it.Value)
	if err == nil {
		err = r.Validate()
	}

	if err != nil {
		g.log.Error(err, "A configuration can't be used, the last one stays in force.", "index", it.Index)

		return
	}

	if old := g.front.Routes(); old != nil && old.Version >= r.Version {
		g.log.Info("A configuration is older than the one in force.", "version", r.Version, "force", old.Version)

		return
	}

	g.front.SetRoutes(cwroutes.New(r))
	g.link.SetConns(leastConns(r))
	g.log.Info("A configuration is in force.", "version", r.Version, "index", it.Index)
}

// leastConns returns how many connections a server takes in any case.
func leastConns(r *carobward.Routing) int {
	least := 0

	for _, s := range r.Services {
		if s.Conns > 0 && (least == 0 || s.Conns < least) {
			least = s.Conns
		}
	}

	if least == 0 {
		return connsFirst
	}

	return least
}
