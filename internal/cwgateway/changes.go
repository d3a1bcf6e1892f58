package cwgateway

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwroutes"
)

// applyChanges handles changes of the replica of the store: it puts a new configuration in
// force and updates the table of servers.
func (g *Gateway) applyChanges(items []carobward.Item) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	now := g.Clock.Now()
	first := g.servers.Count() == 0

	var change serverChanges

	for i := range items {
		it := &items[i]

		switch {
		case g.Adapter.IsRouting(it.Key):
			g.applyConfig(it)
		case it.Key == carobward.KeyFleet && !it.Deleted:
			g.applyFleet(it)
		case g.Adapter.IsBackend(it.Key):
			g.applyServer(it, first, &change)
		default:
			// An evacuation takes effect before servers of the same change get their first request.
			g.applyEvacuation(it, now)
		}
	}

	g.logUnusable(change.errs)
	g.quarantineKeeper.HandleChanges(items)

	if first && len(change.updated) > 0 {
		g.log.Info("Received the first list of servers.", "servers", len(change.updated))
	}

	if len(change.updated)+len(change.removed) > 0 {
		g.updateServers(&change, now)
	}

	g.announceReady()

	if !g.isReady() {
		g.front.StartChanged()
	}
}

// serverChanges are the changes of the list of servers.
type serverChanges struct {
	updated []carobward.Backend
	removed []carobward.Instance
	// reverted are servers whose earlier entry had a start time that was too late.
	reverted []carobward.Instance
	errs     []error
}

// applyServer adds the change of a server entry to c.
func (g *Gateway) applyServer(it *carobward.Item, first bool, c *serverChanges) {
	instance := g.Adapter.Instance(it.Key)

	if it.Deleted {
		delete(g.unusable, instance)
		c.removed = append(c.removed, instance)
		g.log.Info("A server entry was removed.", "server", instance, "index", it.Index)

		return
	}

	known := g.unusable[instance]

	b, err := g.parseServer(it, first)
	if err != nil {
		// The value may come from another writer. Until the server writes its entry again,
		// neither its address nor whether it takes requests is known. Requests in flight
		// there go on.
		c.removed = append(c.removed, instance)

		if !known {
			c.errs = append(c.errs, err)
		}

		return
	}

	if b.Start < g.servers.Start(instance) {
		// The replica holds late entries back: this server goes on from an earlier start time.
		c.reverted = append(c.reverted, instance)
	}

	c.updated = append(c.updated, b)
}

// updateServers updates the table of servers.
func (g *Gateway) updateServers(c *serverChanges, now time.Time) {
	if len(c.reverted) > 0 {
		g.servers.Put(nil, c.reverted, now)
	}

	for _, b := range g.servers.Put(c.updated, c.removed, now) {
		g.log.Info("A server has restarted.", "server", b.Instance, "address", b.Address, "before", b.Start)
		g.link.Drop(b.Address)
	}

	g.link.Retain(g.servers.HasAddress)
}

// parseServer decodes a server entry and logs it. Of the first list it logs only servers that
// are leaving or were unusable: one line for each server would be a thousand lines at the
// start of each of hundreds of small entry VMs.
func (g *Gateway) parseServer(it *carobward.Item, first bool) (carobward.Backend, error) {
	b, err := g.Adapter.Backend(it.Key, it.Value)
	if err == nil && b.Start == 0 && g.servers.Start(b.Instance) != 0 {
		// A server that reports its start time does so in every entry.
		err = errors.Annotatef(errMissingStart, "%s", it.Key)
	}

	if err != nil {
		g.unusable[g.Adapter.Instance(it.Key)] = true

		return b, err
	}

	if wasUnusable := g.unusable[b.Instance]; wasUnusable || !first && !g.servers.IsCurrent(b) || first && b.Leaving {
		delete(g.unusable, b.Instance)
		g.log.Info("A server entry was read.", "server", b.Instance, "address", b.Address, "service", b.Service,
			"leaving", b.Leaving, "warmup", b.Warmup.String(), "start", b.Start, "unusable", wasUnusable, "index", it.Index)
	}

	return b, nil
}

// errMissingStart is the error for an entry without the start time of the server process,
// if the server's earlier entries had one.
const errMissingStart = errors.ConstError("gateway: server entry lacks the start time of the process")

// maxUnusableLines is how many unusable entries of one change are logged one by one.
const maxUnusableLines = 5

// logUnusable logs the first unusable entries of a change one by one and counts the rest:
// another writer may corrupt hundreds at once.
func (g *Gateway) logUnusable(wrong []error) {
	for i, err := range wrong {
		if i == maxUnusableLines {
			g.log.Info("Further server entries are unusable.", "entries", len(wrong)-i)

			return
		}

		g.log.Error(err, "A server entry is unusable; the server gets no requests.")
	}
}

// logRejected logs that a value is not used, once until its key has another fault or a value that is
// used: another writer may write the same one again and again.
func (g *Gateway) logRejected(it *carobward.Item, err error, message string) {
	if g.rejected[it.Key] != err.Error() {
		g.rejected[it.Key] = err.Error()
		g.log.Error(err, message, "index", it.Index)
	}
}

// applyFleet adds the entry VMs of the store's list as peers and sends them a heartbeat.
func (g *Gateway) applyFleet(it *carobward.Item) {
	list, err := cwmesh.DecodeFleet(it.Value)
	if err != nil {
		g.logRejected(it, err, "The list of entry VMs can't be decoded.")

		return
	}

	delete(g.rejected, it.Key)

	g.table.AddListed(list, g.Clock.Now())
	g.mesh.HeartbeatDomain()
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (g *Gateway) applyConfig(it *carobward.Item) {
	if it.Deleted {
		g.log.Info("The configuration was removed from the store; the last one stays in force.", "index", it.Index)

		return
	}

	r, err := g.Adapter.Routing(it.Value)
	if err == nil {
		err = r.Validate()
	}

	if err != nil {
		g.logRejected(it, err, "A configuration is invalid; the last one stays in force.")

		return
	}

	delete(g.rejected, it.Key)

	if old := g.front.Routes(); old != nil && old.Version >= r.Version {
		g.log.Info("A configuration is ignored, since it is not newer than the one in force.", "version", r.Version, "force", old.Version)

		return
	}

	for _, note := range r.Notes {
		g.log.Info("A value of the configuration was not taken as it stands.", "value", note, "version", r.Version)
	}

	g.quota.SetTeams(r.Teams)
	g.front.SetRoutes(cwroutes.New(r))
	g.link.SetConns(minConns(r))
	g.setWarmupBounds()
	g.log.Info("A new configuration is in force.", "version", r.Version, "index", it.Index)
}

// minConns returns the lowest connection limit of all services, which every server accepts.
func minConns(r *carobward.Routing) int {
	lowest := 0

	for _, s := range r.Services {
		if s.Conns > 0 && (lowest == 0 || s.Conns < lowest) {
			lowest = s.Conns
		}
	}

	if lowest == 0 {
		return defaultConns
	}

	return lowest
}
