package cwbench

import (
	"time"

	"carobward.example/carobward/internal/cwlimit"
	"carobward.example/carobward/internal/cwserver"
)

// gate lets calls wait at the entry VM in the product's queue.
type gate struct {
	entry   *entry
	queue   *cwlimit.Queue
	waiting map[*cwlimit.Waiter]*call
	looking bool
}

// The gate's bounds, as the product has them.
const (
	gateMost = 1000
	gateLook = 5 * time.Millisecond
)

func newGate(e *entry) *gate {
	return &gate{entry: e, queue: cwlimit.NewQueue(gateMost), waiting: map[*cwlimit.Waiter]*call{}}
}

// enter begins a call, lets it wait or sheds it.
func (g *gate) enter(c *call) {
	if g.queue.Len() == 0 {
		if s := g.entry.choose(c); s != nil {
			g.begin(c, s)

			return
		}
	}

	deadline := epoch.Add(c.arrival.at + g.entry.run.scenario.Timeout - g.entry.run.scenario.Client)
	w := &cwlimit.Waiter{Target: c.target(), Deadline: deadline}

	if _, ok := g.queue.Add(g.entry.now(), w); !ok {
		g.entry.finish(c, shed)

		return
	}

	c.waiter = w
	g.waiting[w] = c
	g.turn()
	g.look()
}

func (g *gate) begin(c *call, s *cwserver.Server) {
	c.inside = true
	g.queue.Began(g.entry.now(), c.target())
	g.entry.begin(c, s)
}

// turn sheds what is late and begins what finds a server.
func (g *gate) turn() {
	now := g.entry.now()

	for w := g.queue.Late(now); w != nil; w = g.queue.Late(now) {
		g.entry.finish(g.remove(w), shed)
	}

	for w := g.queue.Next(); w != nil; w = g.queue.Next() {
		s := g.entry.choose(g.waiting[w])
		if s == nil {
			return
		}

		g.begin(g.remove(w), s)
	}
}

func (g *gate) remove(w *cwlimit.Waiter) *call {
	c := g.waiting[w]
	c.waiter = nil

	delete(g.waiting, w)
	g.queue.Remove(w)

	return c
}

// look takes turns for as long as calls wait.
func (g *gate) look() {
	if g.looking || g.queue.Len() == 0 {
		return
	}

	g.looking = true

	g.entry.run.timeline.after(gateLook, func() {
		g.looking = false
		g.turn()
		g.look()
	})
}

// leave ends a call, wherever it is.
func (g *gate) leave(c *call) {
	switch {
	case c.waiter != nil:
		g.remove(c.waiter)
	case c.inside:
		c.inside = false
		g.queue.Ended(g.entry.now(), c.target(), g.entry.run.timeline.now-c.began)
		g.turn()
	}
}
