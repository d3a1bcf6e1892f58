package cwroute

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// Wait takes the server with the least expected time to a reply, ties at
// random. Its zero value looks at all servers and has no limits.
type Wait struct {
	// Sample is how many servers are drawn at random and compared; zero means
	// all of them.
	Sample int
	// Queue is how many calls a server may be expected to hold for each of its
	// slots; more are not sent. Zero means no limit.
	Queue float64
	// Domain is our own failure domain, and Far is what a call to another one
	// takes longer, there and back. So near servers go first until they are
	// that much busier.
	Domain carobward.Domain
	Far    time.Duration
	// Ignore leaves knowledge out, to measure what it is worth.
	Ignore Knowledge
}

// Knowledge is a set of what is known of servers.
type Knowledge uint8

// The kinds of knowledge.
const (
	// Reports are the load reports, so what others send.
	Reports Knowledge = 1 << iota
	// Latencies are slow replies and calls out for long.
	Latencies
)

// blind forgets what is to be ignored.
func (w Wait) blind(m *cwserver.Moment, v *cwserver.View) {
	if w.Ignore&Reports != 0 {
		v.Load = float64(v.Running)
	}

	if w.Ignore&Latencies != 0 {
		v.Latency = m.Usual()
	}
}

// tie is the share by which two expected times may differ and still be a tie.
const tie = 0.1

// Choose implements Policy. It returns nil also where all servers are full.
func (w Wait) Choose(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if s := w.best(now, servers, tried, rng, false); s != nil {
		return s
	}

	return w.last(now, servers, tried, rng)
}

// last ignores ejection, where all others leave or had the request before.
func (w Wait) last(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	m := servers[0].Moment(now)

	for _, s := range servers {
		if fit(s, tried) && !s.Ejected(&m) {
			return nil
		}
	}

	return w.best(now, servers, tried, rng, true)
}

func (w Wait) best(now time.Time, servers, tried []*cwserver.Server, rng *rand.Rand, ejected bool) *cwserver.Server {
	n := len(servers)
	if n == 0 {
		return nil
	}

	count, next := n, rng.IntN(n)
	if w.Sample > 0 {
		count = w.Sample
	}

	m := servers[0].Moment(now)

	p := pick{random: rng.Uint64()}

	for range n {
		s := servers[next]
		if next++; next == n {
			next = 0
		}

		if !fit(s, tried) || (!ejected && s.Ejected(&m)) {
			continue
		}

		v := s.View(&m)
		if w.Ignore != 0 {
			w.blind(&m, &v)
		}

		if w.full(&v) {
			continue
		}

		p.add(s, cost(&v)+w.distance(s))

		if count--; count == 0 {
			break
		}
	}

	return p.server
}

// pick is the best server so far.
type pick struct {
	server *cwserver.Server
	least  float64
	ties   int
	random uint64
}

// add keeps each of those that tie with the same chance.
func (p *pick) add(s *cwserver.Server, cost float64) {
	switch {
	case p.server == nil || cost < p.least*(1-tie):
		p.server, p.least, p.ties = s, cost, 1
	case cost <= p.least*(1+tie):
		p.ties++
		if p.below(uint64(p.ties)) == 0 {
			p.server = s
		}
	}
}

// below returns a number below n. One step of a linear congruential generator
// is a fraction of the cost of the source that the first number came from.
func (p *pick) below(n uint64) uint64 {
	const multiplier, increment, half = 6364136223846793005, 1442695040888963407, 32

	p.random = p.random*multiplier + increment

	return (p.random >> half) * n >> half
}

// full tells whether a server should get no more calls.
func (w Wait) full(v *cwserver.View) bool {
	if w.Queue == 0 {
		return false
	}

	if v.Running >= v.Limit {
		return true
	}

	// One call of ours is always allowed. Whose calls end there knows first
	// that a slot is free, so the others would never get one.
	return v.Running > 0 && v.Slots > 0 && v.Load+1 > v.Slots*w.Queue
}

// distance is what a call takes longer because of where the server is.
func (w Wait) distance(s *cwserver.Server) float64 {
	if s.Domain == w.Domain {
		return 0
	}

	return float64(w.Far)
}

// spread is how much a server whose slots are just full costs over an idle
// one.
const spread = 0.5

// cost is the expected time to a reply in nanoseconds. Below one round the
// share of taken slots breaks ties, since the load is an estimate.
func cost(v *cwserver.View) float64 {
	latency := float64(v.Latency) + 1

	load := (v.Load + 1) / max(1, v.Slots)
	if load <= 1 {
		return latency * (1 + spread*load)
	}

	return latency * (spread + load)
}
