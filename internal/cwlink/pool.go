package cwlink

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// The errors of a call for which there is no connection.
const (
	ErrConns  = errors.ConstError("link: all connections to the server are in use")
	ErrClosed = errors.ConstError("link: stopped")
	ErrSpent  = errors.ConstError("link: the connection carries no further call")
)

// conn is one connection to a server. It carries one call at a time, and
// holds no buffers while it is idle.
type conn struct {
	net.Conn
	used time.Time
	// keep is how long the server keeps it open while it is idle, where the
	// server said so.
	keep time.Duration
}

// keepShare is the part of the time that a server keeps an idle connection
// for which it is used: a call that crosses the server's close is lost.
const keepShare = 0.8

// idling bounds how long a connection may be idle and still be used.
type idling struct {
	// usual holds where the server does not say how long it keeps one.
	usual time.Duration
	// most bounds what the server says.
	most time.Duration
}

// fit tells whether a connection has been idle within the bounds.
func (c *conn) fit(now time.Time, i idling) bool {
	bound := i.usual
	if c.keep > 0 {
		bound = min(i.most, time.Duration(keepShare*float64(c.keep)))
	}

	return now.Sub(c.used) < bound
}

// pool holds the connections to one server.
type pool struct {
	address carobward.Address

	mutex  sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// take returns the connection that was used last if it has been idle within
// the bounds and is still whole. Without one it makes room for a new
// connection within most and returns nil.
func (p *pool) take(now time.Time, i idling, most int) (*conn, error) {
	for {
		c, err := p.pop(now, i, most)
		if c == nil || cwsocket.Peek(c.Conn) == cwsocket.Idle {
			return c, err
		}

		p.drop(c)
	}
}

// hasIdle tells whether there is an idle connection that may be used.
func (p *pool) hasIdle(now time.Time, i idling) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	last := len(p.idle) - 1

	return last >= 0 && p.idle[last].fit(now, i)
}

func (p *pool) pop(now time.Time, i idling, most int) (*conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	last := len(p.idle) - 1
	if last >= 0 && p.idle[last].fit(now, i) {
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]

		return c, nil
	}

	p.trim(most - 1)

	if p.open >= most {
		return nil, ErrConns
	}

	p.open++

	return nil, nil
}

// put gives a connection back on which nothing is outstanding.
func (p *pool) put(c *conn, now time.Time, most int) {
	c.used = now

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed || p.open > most {
		p.open--

		_ = c.Close()

		return
	}

	p.idle = append(p.idle, c)
}

// drop closes a connection for good. A nil one was never dialled.
func (p *pool) drop(c *conn) {
	if c != nil {
		_ = c.Close()
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open--
}

// tick closes connections that have been idle for too long or are more than
// most.
func (p *pool) tick(now time.Time, i idling, most int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	old := 0
	for old < len(p.idle) && !p.idle[old].fit(now, i) {
		old++
	}

	p.prune(old)
	p.trim(most)
}

// age makes the idle connections idle for longer.
func (p *pool) age(by time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for _, c := range p.idle {
		c.used = c.used.Add(-by)
	}
}

// retire closes the connections that have been idle since before a time.
func (p *pool) retire(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	n := 0
	for n < len(p.idle) && p.idle[n].used.Before(before) {
		n++
	}

	p.prune(n)
}

// trim closes idle connections until there are most, or none is idle. The
// mutex is held.
func (p *pool) trim(most int) {
	p.prune(min(max(0, p.open-most), len(p.idle)))
}

// close closes the idle connections; those in use are closed when they are
// given back.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true
	p.prune(len(p.idle))
}

// prune closes the n connections that have been idle for the longest. The
// mutex is held.
func (p *pool) prune(n int) {
	for _, c := range p.idle[:n] {
		_ = c.Close()
	}

	left := copy(p.idle, p.idle[n:])
	clear(p.idle[left:])
	p.idle = p.idle[:left]
	p.open -= n
}
