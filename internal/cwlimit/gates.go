package cwlimit

import (
	"sync"

	"carobward.example/carobward"
)

// Gates holds the gates of all services.
type Gates struct {
	most  int
	clock carobward.Clock

	mutex sync.RWMutex
	gates map[carobward.Service]*Gate
}

// NewGates returns gates at each of which most requests can wait.
func NewGates(most int, clock carobward.Clock) *Gates {
	return &Gates{most: most, clock: clock, gates: map[carobward.Service]*Gate{}}
}

// Of returns the gate of a service.
func (g *Gates) Of(s carobward.Service) *Gate {
	g.mutex.RLock()
	one := g.gates[s]
	g.mutex.RUnlock()

	if one != nil {
		return one
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	if one = g.gates[s]; one == nil {
		one = NewGate(g.most, g.clock)
		g.gates[s] = one
	}

	return one
}

// Tick drops the gates at which nothing waits or runs. A request that holds
// one still may enter it; the next ones get a new gate.
func (g *Gates) Tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	for s, one := range g.gates {
		if one.idle() {
			delete(g.gates, s)
		}
	}
}
