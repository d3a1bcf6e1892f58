package cwmesh

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// maxLost is the maximum number of lost services that a heartbeat names: some 30 bytes each,
// so that it fits into one packet.
const maxLost = 16

// Lost is what an entry VM says of the services of which it reaches no server.
type Lost struct {
	Services []carobward.Service
	// More is set if there are more than Services has.
	More bool
}

// Has reports whether the entry VM may reach no server of a service.
func (l *Lost) Has(s carobward.Service) bool { return l.More || slices.Contains(l.Services, s) }

// Any reports whether it reaches no server of some service.
func (l *Lost) Any() bool { return l.More || len(l.Services) > 0 }

// newLost returns a Lost that names as many of the services as a heartbeat may.
func newLost(list []carobward.Service) Lost {
	return Lost{Services: list[:min(maxLost, len(list))], More: len(list) > maxLost}
}

// Lost returns what the peers are told of the services of which this entry VM reaches no server.
func (m *Mesh) Lost(now time.Time) Lost {
	if m.LostServices == nil {
		return Lost{}
	}

	return newLost(m.LostServices(now))
}

func encodeLost(l Lost, b *cwwire.Beat) {
	for _, s := range l.Services {
		b.Lost = append(b.Lost, string(s))
	}

	b.LostMore = l.More
}

func decodeLost(b *cwwire.Beat) Lost {
	l := Lost{More: b.GetLostMore() || len(b.GetLost()) > maxLost}
	for _, s := range b.GetLost()[:min(maxLost, len(b.GetLost()))] {
		l.Services = append(l.Services, carobward.Service(s))
	}

	return l
}

// NearRelays returns the entry VMs of this failure domain that may take requests for a service
// from this one: those that take callers and do not say that they reach no server of it.
func (t *Table) NearRelays(s carobward.Service, now time.Time) []Node {
	var list []Node

	for _, p := range t.Live(now) {
		if p.State == Ready && p.Relay != "" && !p.Lost.Has(s) {
			list = append(list, p.Node)
		}
	}

	return list
}

// FarRelays returns entry VMs of another failure domain that may take requests, without those that
// are known to reach no server of some service: named has those that its summary names, others
// further ones, of which less is known. If the summary names nobody, none takes callers there.
func (t *Table) FarRelays(d carobward.Domain, now time.Time) (named, others []Node) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	o := t.others[d]
	if o == nil || now.Sub(o.Made) >= domainTimeout || len(o.Nodes) == 0 {
		return nil, nil
	}

	for _, n := range o.Nodes {
		if n.Relay != "" && !slices.Contains(o.Lost, n.ID) {
			named = append(named, n)
		}
	}

	for _, n := range o.contacts {
		isNamed := slices.ContainsFunc(o.Nodes, func(s Node) bool { return s.ID == n.ID })
		if n.Relay != "" && !isNamed {
			others = append(others, n)
		}
	}

	return named, others
}
