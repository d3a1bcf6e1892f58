package cwroute

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// LeastTime chooses the server with the shortest expected time to a reply, at
// random among equal ones. Its zero value compares all servers and considers
// none of them full.
type LeastTime struct {
	// Sample is how many servers are drawn at random and compared; zero means
	// all of them.
	Sample int
	// MaxPerSlot is the highest expected number of calls per slot of a server;
	// the server gets no call beyond it. Zero means no limit.
	MaxPerSlot float64
	// Domain is this entry VM's failure domain, and CrossDomainTime the
	// additional round-trip time of a call to another one. Servers in Domain
	// are preferred until their load makes them slower by CrossDomainTime.
	Domain          carobward.Domain
	CrossDomainTime time.Duration
	// Ignore is the set of signals left out of the choice, to measure what they
	// contribute.
	Ignore Signals
}

// Signals is a set of signals about servers.
type Signals uint8

// The signals.
const (
	// Reports are the servers' load reports, which show the calls of other
	// entry VMs.
	Reports Signals = 1 << iota
	// Latencies are slow replies and overdue calls.
	Latencies
)

// ignoreSignals removes the signals in Ignore from a view.
func (l LeastTime) ignoreSignals(m *cwserver.Moment, v *cwserver.View) {
	if l.Ignore&Reports != 0 {
		v.Load = float64(v.Running)
	}

	if l.Ignore&Latencies != 0 {
		v.Latency = m.UsualLatency()
	}
}

// tieTolerance is the fraction by which two expected times may differ and still
// count as equal.
const tieTolerance = 0.1

// Choose implements Policy. It also returns nil if all servers are full.
func (l LeastTime) Choose(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if s := l.best(now, servers, tried, rng, false); s != nil {
		return s
	}

	return l.lastResort(now, servers, tried, rng)
}

// lastResort chooses among the ejected servers if no other one is eligible.
func (l LeastTime) lastResort(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	m := servers[0].Moment(now)

	for _, s := range servers {
		if eligible(s, tried) && !s.Ejected(&m) {
			return nil
		}
	}

	return l.best(now, servers, tried, rng, true)
}

func (l LeastTime) best(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand, ejected bool) *cwserver.Server {
	n := len(servers)
	if n == 0 {
		return nil
	}

	count, next := n, rng.IntN(n)
	if l.Sample > 0 {
		count = l.Sample
	}

	m := servers[0].Moment(now)

	sel := selection{random: rng.Uint64()}

	for range n {
		s := servers[next]
		if next++; next == n {
			next = 0
		}

		if !eligible(s, tried) || (!ejected && s.Ejected(&m)) {
			continue
		}

		v := s.View(&m)
		if l.Ignore != 0 {
			l.ignoreSignals(&m, &v)
		}

		if l.isFull(&v) {
			continue
		}

		sel.add(s, cost(&v)+l.distanceCost(s))

		if count--; count == 0 {
			break
		}
	}

	return sel.server
}

// selection is the best server so far while servers are compared.
type selection struct {
	server   *cwserver.Server
	bestCost float64
	ties     int
	random   uint64
}

// add compares one more server. Servers with equal costs are each kept with the
// same probability.
func (p *selection) add(s *cwserver.Server, cost float64) {
	switch {
	case p.server == nil || cost < p.bestCost*(1-tieTolerance):
		p.server, p.bestCost, p.ties = s, cost, 1
	case cost <= p.bestCost*(1+tieTolerance):
		p.ties++
		if p.intN(uint64(p.ties)) == 0 {
			p.server = s
		}
	}
}

// intN returns a random number below n by one step of a linear congruential
// generator, which costs a fraction of what the random source costs that seeded
// it.
func (p *selection) intN(n uint64) uint64 {
	const multiplier, increment, half = 6364136223846793005, 1442695040888963407, 32

	p.random = p.random*multiplier + increment

	return (p.random >> half) * n >> half
}

// isFull reports whether a server should get no more calls.
func (l LeastTime) isFull(v *cwserver.View) bool {
	if l.MaxPerSlot == 0 {
		return false
	}

	if v.Running >= v.Limit {
		return true
	}

	// One call of this entry VM is always allowed. An entry VM whose call ends
	// is the first to learn of the free slot, so one without any call there
	// would never get a slot.
	return v.Running > 0 && v.Slots > 0 && v.Load+1 > v.Slots*l.MaxPerSlot
}

// distanceCost is the additional time in nanoseconds of a call to a server in
// another failure domain.
func (l LeastTime) distanceCost(s *cwserver.Server) float64 {
	if s.Domain == l.Domain {
		return 0
	}

	return float64(l.CrossDomainTime)
}

// fullSlotsCost is the fraction by which a server with all slots in use costs
// more than an idle one.
const fullSlotsCost = 0.5

// cost is the expected time to a reply in nanoseconds. While a slot is free the
// cost still rises with the fraction of slots in use, because the load is only
// an estimate.
func cost(v *cwserver.View) float64 {
	latency := float64(v.Latency) + 1

	load := (v.Load + 1) / max(1, v.Slots)
	if load <= 1 {
		return latency * (1 + fullSlotsCost*load)
	}

	return latency * (fullSlotsCost + load)
}
