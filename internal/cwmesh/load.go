package cwmesh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

const (
	// maxLoads is the maximum number of services whose load a message carries, those with
	// the most requests: about 25 bytes each. maxLoadBytes bounds the size of all together,
	// so that a dozen summaries fit the receive buffer whatever the services are called.
	maxLoads     = 16
	maxLoadBytes = 600
	// loadTimeout is the age up to which the load of another failure domain is used: one
	// heartbeat interval until it is summed there, one until it is passed on here, and two
	// for lost heartbeats.
	loadTimeout = 4 * heartbeatInterval
	// loadScale converts a rate to the unit of messages, a tenth of a request a second.
	loadScale = 10
)

var _ carobward.FleetLoad = (*Mesh)(nil)

// Load implements carobward.FleetLoad. The load of this failure domain is that of this entry
// VM and the live peers. Peers that send no load of the service count as without load.
func (m *Mesh) Load(s carobward.Service, now time.Time) []carobward.DomainLoad {
	peers, domains := m.Table.Live(now), m.Table.recentSummaries(now)
	if len(peers)+len(domains) == 0 {
		return nil
	}

	own := carobward.DomainLoad{Domain: m.Table.Self().Domain, At: now, VMs: 1 + len(peers)}
	own.Service = s
	addLoad(&own.ServiceLoad, m.ownLoads(now))

	for i := range peers {
		if addLoad(&own.ServiceLoad, peers[i].Loads) && peers[i].LastSeen.Before(own.At) {
			own.At = peers[i].LastSeen
		}
	}

	list := []carobward.DomainLoad{own}

	for i := range domains {
		d := carobward.DomainLoad{Domain: domains[i].Domain, At: domains[i].Made, VMs: domains[i].Alive}
		d.Service = s
		addLoad(&d.ServiceLoad, domains[i].Loads)
		list = append(list, d)
	}

	return list
}

// addLoad adds the load of the sum's service from a list, and reports whether the list has it.
func addLoad(sum *carobward.ServiceLoad, list []carobward.ServiceLoad) bool {
	i := slices.IndexFunc(list, func(l carobward.ServiceLoad) bool { return l.Service == sum.Service })
	if i < 0 {
		return false
	}

	sum.Add(&list[i])

	return true
}

// recentSummaries returns the summaries of the other failure domains that are recent enough
// for their load to be used, in the order of their names.
func (t *Table) recentSummaries(now time.Time) []Summary {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.domains(func(o *otherDomain) bool { return now.Sub(o.Made) < loadTimeout })
}

// ownLoads returns the load at this entry VM of the maxLoads services with the most requests.
func (m *Mesh) ownLoads(now time.Time) []carobward.ServiceLoad {
	if m.OwnLoad == nil {
		return nil
	}

	return busiest(m.OwnLoad(now))
}

// sumLoads returns the load of services at this entry VM and the live peers together.
func (m *Mesh) sumLoads(now time.Time) []carobward.ServiceLoad {
	list := slices.Clone(m.ownLoads(now))

	for _, p := range m.Table.Live(now) {
		for i := range p.Loads {
			list = mergeLoad(list, &p.Loads[i])
		}
	}

	return busiest(list)
}

func mergeLoad(list []carobward.ServiceLoad, l *carobward.ServiceLoad) []carobward.ServiceLoad {
	for i := range list {
		if list[i].Service == l.Service {
			list[i].Add(l)

			return list
		}
	}

	return append(list, *l)
}

// busiest returns the maxLoads services with the most requests, those with most first.
func busiest(list []carobward.ServiceLoad) []carobward.ServiceLoad {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b carobward.ServiceLoad) int {
		return cmp.Or(cmp.Compare(b.Total(), a.Total()), cmp.Compare(a.Service, b.Service))
	})

	return sorted[:min(maxLoads, len(sorted))]
}

// encodeLoads encodes loads, as many as fit into maxLoadBytes.
func encodeLoads(list []carobward.ServiceLoad) []*cwwire.Load {
	var out []*cwwire.Load

	size := 0

	for i := range list {
		e := encodeLoad(&list[i])

		size += proto.Size(e)
		if size > maxLoadBytes {
			break
		}

		out = append(out, e)
	}

	return out
}

func encodeLoad(l *carobward.ServiceLoad) *cwwire.Load {
	e := &cwwire.Load{Service: string(l.Service), Completed: encodeRate(l.Completed), Full: encodeRate(l.Full), Waiting: uint32(max(0, l.Waiting))}

	for _, d := range l.Demand {
		e.Demand = append(e.Demand, encodeRate(d))
	}

	for n := len(e.Demand); n > 0 && e.Demand[n-1] == 0; n-- {
		e.Demand = e.Demand[:n-1]
	}

	return e
}

// decodeLoads decodes the load of services, of maxLoads at most. Demand of ranks beyond the
// last one counts as demand of the last one.
func decodeLoads(list []*cwwire.Load) []carobward.ServiceLoad {
	var out []carobward.ServiceLoad

	for _, e := range list[:min(len(list), maxLoads)] {
		l := carobward.ServiceLoad{Service: carobward.Service(e.GetService()), Completed: decodeRate(e.GetCompleted()), Full: decodeRate(e.GetFull()), Waiting: int(e.GetWaiting())}

		for i, d := range e.GetDemand() {
			l.Demand[min(i, carobward.LoadRanks-1)] += decodeRate(d)
		}

		out = append(out, l)
	}

	return out
}

func encodeRate(r carobward.Rate) uint32 {
	return uint32(min(math.MaxUint32, math.Round(loadScale*float64(max(0, r)))))
}

func decodeRate(n uint32) carobward.Rate { return carobward.Rate(float64(n) / loadScale) }
