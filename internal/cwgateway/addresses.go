package cwgateway

import (
	"math/rand/v2"
	"slices"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// asker is a caller that asks which addresses to use for a host.
type asker struct {
	domain carobward.Domain
	region carobward.Region
	host   string
}

// The distances of entry VMs from a caller; the nearest that are enough are named.
const (
	inDomain = iota
	inRegion
	inHome
	anywhere
)

// addresses returns the addresses that a caller should use, of the entry VMs that take
// callers.
func (g *Gateway) addresses(a asker) []carobward.Address {
	if a.region == "" {
		a.region = g.Regions[a.domain]
	}

	byDomain := map[carobward.Domain][]carobward.Address{g.Self.Domain: g.near()}
	for _, s := range g.table.Domains(g.Clock.Now()) {
		byDomain[s.Domain] = g.callable(s.Domain)
	}

	return drawn(nearest(a, byDomain, g.Regions, g.front.AllowedRegions(a.host)))
}

// nearest returns the addresses of the nearest failure domains that have enough: the
// caller's own, or else those of its region; then of the regions to which the host's
// requests may go, and of any as the last resort.
func nearest(
	a asker, byDomain map[carobward.Domain][]carobward.Address, regions map[carobward.Domain]carobward.Region, homes []carobward.Region,
) []carobward.Address {
	var byDistance [anywhere + 1][]carobward.Address

	for d, list := range byDomain {
		n := anywhere

		switch region := regions[d]; {
		case d == a.domain:
			n = inDomain
		case region == a.region:
			n = inRegion
		case slices.Contains(homes, region):
			n = inHome
		}

		byDistance[n] = append(byDistance[n], list...)
	}

	var list []carobward.Address

	for n, more := range byDistance {
		// Few entry VMs near by are better than any where requests must not go.
		if len(list) >= nearLeast || n == anywhere && len(list) > 0 && len(homes) > 0 {
			break
		}

		list = append(list, more...)
	}

	return list
}

// drawn returns as many addresses as a caller takes, drawn at random where there
// are more: each entry VM gets callers, not only the first by name.
func drawn(list []carobward.Address) []carobward.Address {
	if len(list) <= addressesMost {
		return list
	}

	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list[:addressesMost]
}

// near returns the addresses of the entry VMs of this failure domain that take
// callers.
func (g *Gateway) near() []carobward.Address {
	var list []carobward.Address

	if g.isReady() {
		list = append(list, g.Self.Callers)
	}

	for _, p := range g.table.Live(g.Clock.Now()) {
		if p.State == cwmesh.Ready {
			list = append(list, p.Callers)
		}
	}

	return list
}

// callable returns the addresses of some entry VMs of another failure domain.
func (g *Gateway) callable(domain carobward.Domain) []carobward.Address {
	var list []carobward.Address
	for _, n := range g.table.Callable(domain, g.Clock.Now()) {
		list = append(list, n.Callers)
	}

	return list
}
