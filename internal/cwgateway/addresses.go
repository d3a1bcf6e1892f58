package cwgateway

import (
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

	byDomain := map[carobward.Domain][]carobward.Address{g.Self.Domain: g.localAddresses()}
	for _, s := range g.table.Domains(g.Clock.Now()) {
		byDomain[s.Domain] = g.remoteAddresses(s.Domain)
	}

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

// localAddresses returns the addresses of this failure domain's entry VMs that take callers.
// While most of them start, those that are starting are included, see cwhold.NamesStarting.
func (g *Gateway) localAddresses() []carobward.Address {
	var ready, starting []carobward.Address

	add := func(s cwmesh.State, a carobward.Address) {
		switch s {
		case cwmesh.Ready:
			ready = append(ready, a)
		case cwmesh.Starting:
			starting = append(starting, a)
		case cwmesh.Leaving:
		}
	}

	now := g.Clock.Now()
	add(g.mesh.State(), g.Self.Callers)

	for _, p := range g.table.Live(now) {
		add(p.State, p.Callers)
	}

	if cwhold.NamesStarting(now.Sub(g.started), len(ready), len(starting)) {
		return append(ready, starting...)
	}

	return ready
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
