package cwroute

import (
	"math/rand/v2"
	"time"

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
	for _, s := range servers {
		if fit(s, tried) && !s.Ejected(now) {
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

	count, start := n, rng.IntN(n)
	if w.Sample > 0 {
		count = w.Sample
	}

	var p pick

	for i := range n {
		s := servers[(start+i)%n]
		if !fit(s, tried) || (!ejected && s.Ejected(now)) || w.full(now, s) {
			continue
		}

		p.add(s, cost(now, s), rng)

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
}

func (p *pick) add(s *cwserver.Server, cost float64, rng *rand.Rand) {
	switch {
	case p.server == nil || cost < p.least*(1-tie):
		p.server, p.least, p.ties = s, cost, 1
	case cost <= p.least*(1+tie):
		p.ties++
		if rng.IntN(p.ties) == 0 {
			p.server = s
		}
	}
}

// full tells whether a server should get no more calls.
func (w Wait) full(now time.Time, s *cwserver.Server) bool {
	if w.Queue == 0 {
		return false
	}

	if s.Running.Load() >= s.Limit() {
		return true
	}

	slots := float64(s.Slots())

	return slots > 0 && s.Load(now)+1 > slots*w.Queue
}

// cost is the expected time to a reply in nanoseconds. Below one round the
// share of taken slots breaks ties, since the load is an estimate.
func cost(now time.Time, s *cwserver.Server) float64 {
	latency := float64(s.Latency(now))
	slots := float64(max(1, s.Slots()))
	load := (s.Load(now) + 1) / slots

	if load <= 1 {
		return (latency + 1) * (1 + spread*load)
	}

	return (latency + 1) * (spread + load)
}

// spread is how much a server whose slots are just full costs over an idle
// one.
const spread = 0.5
