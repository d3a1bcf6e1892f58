package cwlink

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// Errors of a call that gets no connection.
const (
	ErrConnsInUse  = errors.ConstError("link: all connections to the server are in use")
	ErrClosed      = errors.ConstError("link: stopped")
	ErrNotReusable = errors.ConstError("link: the connection carries no further call")
)

// conn is one connection to a server. It carries one call at a time and has no
// buffers while it is idle.
type conn struct {
	net.Conn
	lastUsed time.Time
	// lastReply is when it last carried a reply. It may be released without one.
	lastReply time.Time
	// keepAlive is the idle timeout that the server announced, or 0.
	keepAlive time.Duration
}

// keepAliveFraction is the fraction of a server's idle timeout for which an idle
// connection is used. A call that is sent while the server closes the connection
// is lost.
const keepAliveFraction = 0.8

// idleLimits are the limits on how long a connection may be idle and still be
// used.
type idleLimits struct {
	// fallback applies if the server announces no idle timeout.
	fallback time.Duration
	// maximum bounds the idle timeout that the server announces.
	maximum time.Duration
}

// usable reports whether the idle time of a connection is within the limits.
func (c *conn) usable(now time.Time, limits idleLimits) bool {
	limit := limits.fallback
	if c.keepAlive > 0 {
		limit = min(limits.maximum, time.Duration(keepAliveFraction*float64(c.keepAlive)))
	}

	return now.Sub(c.lastUsed) < limit
}

// pool holds the connections to one server.
type pool struct {
	address carobward.Address

	mutex  sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// take returns the most recently used idle connection that is within the idle
// limits, still open and has no unread bytes. If there is none, it reserves room
// for a new connection within maxConns and returns nil.
func (p *pool) take(now time.Time, limits idleLimits, maxConns int) (*conn, error) {
	for {
		c, err := p.popOrReserve(now, limits, maxConns)
		if c == nil || cwsocket.Peek(c.Conn) == cwsocket.Idle {
			return c, err
		}

		p.drop(c)
	}
}

// takeRecent returns the most recently used idle connection if it carried a reply since a time, is
// usable, still open and has no unread bytes, or nil.
func (p *pool) takeRecent(since, now time.Time, limits idleLimits) *conn {
	for {
		c := p.popRecent(since, now, limits)
		if c == nil || cwsocket.Peek(c.Conn) == cwsocket.Idle {
			return c
		}

		p.drop(c)
	}
}

func (p *pool) popRecent(since, now time.Time, limits idleLimits) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if !p.lastRecent(since) || !p.idle[len(p.idle)-1].usable(now, limits) {
		return nil
	}

	return p.popIdle()
}

// hasRecent reports whether the most recently used idle connection carried a reply since a time.
func (p *pool) hasRecent(since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.lastRecent(since)
}

// lastRecent is hasRecent; p.mutex must be held.
func (p *pool) lastRecent(since time.Time) bool {
	last := len(p.idle) - 1

	return last >= 0 && !p.idle[last].lastReply.Before(since)
}

// popIdle removes the most recently used idle connection; p.mutex must be held and there must be
// one.
func (p *pool) popIdle() *conn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]

	return c
}

// state reports whether there is a usable idle connection, and else whether there are
// connections that are all in use.
func (p *pool) state(now time.Time, limits idleLimits) (idle, inUse bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	last := len(p.idle) - 1
	idle = last >= 0 && p.idle[last].usable(now, limits)

	return idle, !idle && p.open > len(p.idle)
}

// openCount returns the number of open connections, including reserved ones.
func (p *pool) openCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.open
}

func (p *pool) popOrReserve(now time.Time, limits idleLimits, maxConns int) (*conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	last := len(p.idle) - 1
	if last >= 0 && p.idle[last].usable(now, limits) {
		return p.popIdle(), nil
	}

	p.trim(maxConns - 1)

	if p.open >= maxConns {
		return nil, ErrConnsInUse
	}

	p.open++

	return nil, nil
}

// put returns a connection without pending bytes to the pool.
func (p *pool) put(c *conn, now time.Time, maxConns int) {
	c.lastUsed = now

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed || p.open > maxConns {
		p.open--

		_ = c.Close()

		return
	}

	p.idle = append(p.idle, c)
}

// drop closes a connection and frees its room in the pool. c is nil if dialing
// failed.
func (p *pool) drop(c *conn) {
	if c != nil {
		_ = c.Close()
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open--
}

// tick closes connections that have been idle for too long or exceed maxConns.
func (p *pool) tick(now time.Time, limits idleLimits, maxConns int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	expired := 0
	for expired < len(p.idle) && !p.idle[expired].usable(now, limits) {
		expired++
	}

	p.prune(expired)
	p.trim(maxConns)
}

// addIdleTime adds to the idle time of all idle connections.
func (p *pool) addIdleTime(by time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for _, c := range p.idle {
		c.lastUsed, c.lastReply = c.lastUsed.Add(-by), c.lastReply.Add(-by)
	}
}

// closeIdleSince closes the connections that have been idle since before a given
// time.
func (p *pool) closeIdleSince(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	n := 0
	for n < len(p.idle) && p.idle[n].lastUsed.Before(before) {
		n++
	}

	p.prune(n)
}

// trim closes idle connections until at most maxConns are open or none is idle.
// The caller holds the mutex.
func (p *pool) trim(maxConns int) {
	p.prune(min(max(0, p.open-maxConns), len(p.idle)))
}

// close closes the idle connections. Those in use are closed when they are
// released.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true
	p.prune(len(p.idle))
}

// prune closes the n connections that have been idle for the longest time. The
// caller holds the mutex.
func (p *pool) prune(n int) {
	for _, c := range p.idle[:n] {
		_ = c.Close()
	}

	left := copy(p.idle, p.idle[n:])
	clear(p.idle[left:])
	p.idle = p.idle[:left]
	p.open -= n
}
