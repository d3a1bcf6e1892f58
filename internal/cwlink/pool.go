// Package cwlink carries calls to backend servers over HTTP/1.1. It keeps a
// pool of connections a server, sends each call at most once, and knows
// whether a byte of it was ever handed to a socket.
package cwlink

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrConns tells that all connections to the server are in use.
const ErrConns = errors.ConstError("link: all connections to the server are in use")

// conn is one connection to a server. It carries one call at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	used   time.Time
}

// pool holds the connections to one server.
type pool struct {
	address carobward.Address
	most    int

	mutex sync.Mutex
	idle  []*conn
	open  int
}

// take returns an idle connection that is still whole, the one used last
// first, or nil when a new one may be dialled.
func (p *pool) take(now time.Time, keep time.Duration) (*conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]

		if now.Sub(c.used) < keep && quiet(c.Conn) {
			return c, nil
		}

		p.open--

		_ = c.Close()
	}

	if p.open >= p.most {
		return nil, ErrConns
	}

	p.open++

	return nil, nil
}

// put gives a connection back on which nothing is outstanding.
func (p *pool) put(c *conn, now time.Time) {
	c.used = now

	p.mutex.Lock()
	defer p.mutex.Unlock()

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

// prune closes connections that have been idle for longer than keep, the
// oldest first.
func (p *pool) prune(now time.Time, keep time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].used) >= keep {
		_ = p.idle[old].Close()
		old++
	}

	p.idle = append(p.idle[:0], p.idle[old:]...)
	p.open -= old
}
