package cwgateway

import (
	"time"

	"github.com/juju/errors"

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

	var change change

	for i := range items {
		it := &items[i]

		switch {
		case g.Adapter.IsRouting(it.Key):
			g.configure(it)
		case it.Key == carobward.KeyFleet && !it.Gone:
			g.told(it)
		case g.Adapter.IsBackend(it.Key):
			g.read(it, first, &change)
		default:
			// It counts before the servers of the same change get their first request.
			g.evacuate(it, now)
		}
	}

	g.logUnusable(change.wrong)
	g.keeper.HandleChanges(items)

	if first && len(change.list) > 0 {
		g.log.Info("The first list of servers.", "servers", len(change.list))
	}

	if len(change.list)+len(change.gone) > 0 {
		g.putServers(&change, now)
	}

	g.ready()
}

// change is what changed in the list of servers.
type change struct {
	list  []carobward.Backend
	gone  []carobward.Instance
	wrong []error
}

// read takes a changed entry of a server.
func (g *Gateway) read(it *carobward.Item, first bool, c *change) {
	instance := g.Adapter.Instance(it.Key)

	if it.Gone {
		delete(g.unusable, instance)
		c.gone = append(c.gone, instance)
		g.log.Info("A server is gone.", "server", instance, "index", it.Index)

		return
	}

	b, err := g.entry(it, first)
	if err != nil {
		// It may be another writer's. Until its server writes again nobody knows
		// where it is, or whether it takes work. What is in flight there goes on.
		c.gone = append(c.gone, instance)
		c.wrong = append(c.wrong, err)

		return
	}

	c.list = append(c.list, b)
}

// putServers brings the table of servers up to date.
func (g *Gateway) putServers(c *change, now time.Time) {
	for _, b := range g.servers.Put(c.list, c.gone, now) {
		g.log.Info("A server has started again.", "server", b.Instance, "address", b.Address, "before", b.Start)
		g.link.Drop(b.Address)
	}

	g.link.Retain(g.servers.HasAddress)
}

// entry reads a server's entry. Of the first list only servers that leave are logged: a
// line for each would be a thousand at the start of each of hundreds of small entry
// VMs.
func (g *Gateway) entry(it *carobward.Item, first bool) (carobward.Backend, error) {
	b, err := g.Adapter.Backend(it.Key, it.Value)
	if err == nil && b.Start == 0 && g.servers.Start(b.Instance) != 0 {
		// Servers that say when they started always do.
		err = errors.Annotatef(errNoStart, "%s", it.Key)
	}

	if err != nil {
		g.unusable[g.Adapter.Instance(it.Key)] = true

		return b, err
	}

	if back := g.unusable[b.Instance]; back || !first || b.Leaving {
		delete(g.unusable, b.Instance)
		g.log.Info("A server's entry.", "server", b.Instance, "address", b.Address, "service", b.Service,
			"leaving", b.Leaving, "warmup", b.Warmup.String(), "start", b.Start, "unusable", back, "index", it.Index)
	}

	return b, nil
}

// errNoStart is the error of an entry without the start of its server's process, which
// the server had named before.
const errNoStart = errors.ConstError("gateway: the entry lacks the start of the process")

// unusableLines is how many unusable entries of one change are logged each.
const unusableLines = 5

// logUnusable logs entries that can't be used, a few of them each: another writer may
// spoil hundreds at once.
func (g *Gateway) logUnusable(wrong []error) {
	for i, err := range wrong {
		if i == unusableLines {
			g.log.Info("Further entries of servers can't be used.", "entries", len(wrong)-i)

			return
		}

		g.log.Error(err, "An entry of a server can't be used, the server gets no requests.")
	}
}

// told takes the list of entry VMs that the store has.
func (g *Gateway) told(it *carobward.Item) {
	list, err := cwmesh.DecodeFleet(it.Value)
	if err != nil {
		g.log.Error(err, "The list of entry VMs can't be read.", "index", it.Index)

		return
	}

	g.table.AddListed(list, g.Clock.Now())
	g.mesh.HeartbeatDomain()
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

	g.quota.SetTeams(r.Teams)
	g.front.SetRoutes(cwroutes.New(r))
	g.link.SetConns(leastConns(r))
	g.setColdBounds()
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
