package cwgateway

import (
	"math"
	"math/rand/v2"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwhold"
	"carobward.example/carobward/internal/cwmesh"
)

// lookupQuery is a caller's query for the addresses to use for a host.
type lookupQuery struct {
	domain carobward.Domain
	region carobward.Region
	host   string
}

// Distances of entry VMs from a caller, nearest first.
const (
	inDomain = iota
	inRegion
	inAllowedRegion
	anywhere
)

// addresses returns the entry VMs to which a caller should connect. All of them take callers.
func (g *Gateway) addresses(q lookupQuery) []carobward.Address {
	if q.region == "" {
		q.region = g.Regions[q.domain]
	}

	byDomain := map[carobward.Domain][]carobward.Address{}
	remote := 0

	for _, s := range g.table.Domains(g.Clock.Now()) {
		byDomain[s.Domain] = g.remoteAddresses(s.Domain)
		remote += len(byDomain[s.Domain])
	}

	local := g.localAddresses(g.front.ServicesOf(q.host))
	byDomain[g.Self.Domain] = local.named(remote)

	return sampleAddresses(nearest(q, byDomain, g.Regions, g.front.AllowedRegions(q.host)))
}

// nearest returns the addresses of the caller's own failure domain. While there are fewer
// than minAddresses, it adds those of the caller's region, then those of the regions where the
// host's requests are allowed, and finally all others.
func nearest(
	q lookupQuery, byDomain map[carobward.Domain][]carobward.Address, regions map[carobward.Domain]carobward.Region, allowed []carobward.Region,
) []carobward.Address {
	var byDistance [anywhere + 1][]carobward.Address

	for d, list := range byDomain {
		distance := anywhere

		switch region := regions[d]; {
		case d == q.domain:
			distance = inDomain
		case region == q.region:
			distance = inRegion
		case slices.Contains(allowed, region):
			distance = inAllowedRegion
		}

		byDistance[distance] = append(byDistance[distance], list...)
	}

	var list []carobward.Address

	for distance, more := range byDistance {
		// A few allowed entry VMs are better than more of them in regions where the host's
		// requests must not go.
		if len(list) >= minAddresses || distance == anywhere && len(list) > 0 && len(allowed) > 0 {
			break
		}

		list = append(list, more...)
	}

	return list
}

// sampleAddresses returns at most maxAddresses of the addresses, a random sample if there
// are more: all entry VMs get callers, not only the first by name.
func sampleAddresses(list []carobward.Address) []carobward.Address {
	if len(list) <= maxAddresses {
		return list
	}

	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list[:maxAddresses]
}

// localAddresses has the addresses of this failure domain's entry VMs that take callers.
type localAddresses struct {
	// ready has those that reach all services that the callers want, lost those that do not.
	ready, lost []carobward.Address
	// starting has those that are starting, while they are named, see cwhold.NamesStarting.
	starting []carobward.Address
}

// localAddresses returns this failure domain's entry VMs for callers of some services.
func (g *Gateway) localAddresses(services []carobward.Service) localAddresses {
	var l localAddresses

	add := func(s cwmesh.State, a carobward.Address, lost cwmesh.Lost) {
		switch {
		case s == cwmesh.Starting:
			l.starting = append(l.starting, a)
		case s != cwmesh.Ready:
		case slices.ContainsFunc(services, lost.Has):
			l.lost = append(l.lost, a)
		default:
			l.ready = append(l.ready, a)
		}
	}

	now := g.Clock.Now()
	add(g.mesh.State(), g.Self.Callers, g.mesh.Lost(now))

	for _, p := range g.table.Live(now) {
		if p.IsProven(now) {
			add(p.State, p.Callers, p.Lost)
		}
	}

	if !cwhold.NamesStarting(now.Sub(g.started), len(l.ready)+len(l.lost), len(l.starting)) {
		l.starting = nil
	}

	return l
}

// minReaching is the least share of a failure domain's entry VMs that its callers are left to
// when the others are not named: each of them gets three times its callers at most.
const minReaching = 1.0 / 3

// named returns the addresses to name, given how many entry VMs of other failure domains may be
// named instead. Entry VMs that do not reach a service that the callers want are left out as long
// as enough others remain; with fewer, all are named and pass on what they can't serve.
func (l *localAddresses) named(remote int) []carobward.Address {
	enough := int(math.Ceil(minReaching * float64(len(l.ready)+len(l.lost))))

	switch {
	case len(l.ready) >= enough:
		return slices.Concat(l.ready, l.starting)
	case len(l.ready) == 0 && remote >= enough:
		return nil
	default:
		return slices.Concat(l.ready, l.lost, l.starting)
	}
}

// remoteAddresses returns the addresses of another failure domain's entry VMs that are known
// to take callers.
func (g *Gateway) remoteAddresses(domain carobward.Domain) []carobward.Address {
	var list []carobward.Address
	for _, n := range g.table.Callable(domain, g.Clock.Now()) {
		list = append(list, n.Callers)
	}

	return list
}
