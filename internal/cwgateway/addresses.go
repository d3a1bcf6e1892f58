package cwgateway

import (
	"math/rand/v2"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
)

// addresses returns the addresses that a caller should use: those of the entry
// VMs that take callers, of its own failure domain where there are enough.
func (g *Gateway) addresses(domain carobward.Domain) []carobward.Address {
	if domain != g.Self.Domain {
		if list := g.contacts(domain); len(list) >= nearLeast {
			return list
		}
	}

	list := g.near()

	// Without enough near ones any will do.
	if len(list) < nearLeast || domain != g.Self.Domain {
		for _, s := range g.table.Domains(g.Clock.Now()) {
			list = append(list, g.contacts(s.Domain)...)
		}
	}

	return drawn(list)
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

// contacts returns the addresses of some entry VMs of another failure domain.
func (g *Gateway) contacts(domain carobward.Domain) []carobward.Address {
	var list []carobward.Address
	for _, n := range g.table.Contacts(domain, addressesMost, g.Clock.Now()) {
		list = append(list, n.Callers)
	}

	return list
}
