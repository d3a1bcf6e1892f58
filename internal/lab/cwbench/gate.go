package cwbench

import (
	"time"

	"carobward.example/carobward/internal/cwlimit"
	"carobward.example/carobward/internal/cwserver"
)

// gate queues calls at the entry VM while no server has room. It uses the queue of
// the product.
type gate struct {
	entry   *entry
	queue   *cwlimit.Queue
	waiting map[*cwlimit.Waiter]*call
	polling bool
}

// Limits of the gate, the same as those of the product.
const (
	maxWaiting = 1000
	gatePoll   = 5 * time.Millisecond
)

func newGate(e *entry) *gate {
	return &gate{entry: e, queue: cwlimit.NewQueue(maxWaiting), waiting: map[*cwlimit.Waiter]*call{}}
}

// enter starts, queues or sheds a call.
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
	g.dispatch()
	g.poll()
}

func (g *gate) begin(c *call, s *cwserver.Server) {
	c.admitted = true
	g.queue.Began(g.entry.now(), c.target())
	g.entry.begin(c, s)
}

// dispatch sheds the calls that would end too late and starts queued calls for
// which there is a server.
func (g *gate) dispatch() {
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

// poll calls dispatch at intervals while calls are queued.
func (g *gate) poll() {
	if g.polling || g.queue.Len() == 0 {
		return
	}

	g.polling = true

	g.entry.run.timeline.after(gatePoll, func() {
		g.polling = false
		g.dispatch()
		g.poll()
	})
}

// leave ends a call, whether it is queued or admitted.
func (g *gate) leave(c *call) {
	switch {
	case c.waiter != nil:
		g.remove(c.waiter)
	case c.admitted:
		c.admitted = false
		g.queue.Ended(g.entry.now(), c.target(), g.entry.run.timeline.now-c.began)
		g.dispatch()
	}
}
