package cwgateway

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwrelay"
)

// lostService is a service of which this entry VM reaches no server, as shown to operators.
type lostService struct {
	Service carobward.Service `json:"service"`
	// For is for how long none has been reached, Servers how many were contacted meanwhile.
	For     string `json:"for"`
	Servers int    `json:"servers"`
}

// lostServices returns the services of which this entry VM reaches no server.
func (g *Gateway) lostServices(now time.Time) []lostService {
	list := []lostService{}

	for _, l := range g.front.Losses() {
		list = append(list, lostService{l.Service, now.Sub(l.Since).Round(time.Millisecond).String(), l.Servers})
	}

	return list
}

// announceClaims tells the peers at once if the services have changed of which this entry VM
// says that it reaches no server.
func (g *Gateway) announceClaims(now time.Time) {
	claims := g.front.Claims(now)
	if slices.Equal(claims, g.claims) {
		return
	}

	g.log.Info("Peers are told which services are not reached.", "services", claims, "before", g.claims)
	g.claims = claims
	g.mesh.HeartbeatDomain()
}

// newRelay returns the client that passes requests to other entry VMs.
func (g *Gateway) newRelay() *cwrelay.Client {
	return cwrelay.New(cwrelay.Options{
		Self: g.Self.ID, Near: g.nearRelays, Far: g.farRelays, Dial: g.Key.Dial, Replies: g.replies, Clock: g.Clock, Log: g.Log,
	})
}

// nearRelays returns the entry VMs of this failure domain that may reach servers of a service.
func (g *Gateway) nearRelays(s carobward.Service, now time.Time) []cwrelay.Peer {
	return relayPeers(g.table.NearRelays(s, now))
}

// farRelays returns some entry VMs of the other failure domains that may reach servers.
func (g *Gateway) farRelays(now time.Time, allowed func(carobward.Domain) bool) (named, others []cwrelay.Peer) {
	for _, d := range g.table.Domains(now) {
		if !allowed(d.Domain) {
			continue
		}

		n, o := g.table.FarRelays(d.Domain, now)
		named, others = append(named, relayPeers(n)...), append(others, relayPeers(o)...)
	}

	return named, others
}

func relayPeers(nodes []cwmesh.Node) []cwrelay.Peer {
	list := make([]cwrelay.Peer, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, cwrelay.Peer{ID: n.ID, Address: n.Relay})
	}

	return list
}
