// Package cwlink carries calls to servers over HTTP/1.1. It keeps a
// pool of connections a server, sends each call at most once, and knows
// whether a byte of it was ever taken by the kernel.
package cwlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Options bound the connections.
type Options struct {
	// Conns is the number of connections that one server takes. All entry
	// VMs share them.
	Conns int
	// Keep is how long a connection may be idle and still be used.
	Keep time.Duration
	// Dial bounds the time to open a connection, so that a server that
	// does not answer leaves time for another one.
	Dial time.Duration
	// Header is the largest reply header in bytes.
	Header carobward.ByteCount
}

// Link is the Servers of the product.
type Link struct {
	options Options
	clock   carobward.Clock
	share   atomic.Int64
	buffers sync.Pool

	mutex  sync.RWMutex
	pools  map[carobward.Address]*pool
	fleet  fleet
	closed bool
}

// New returns a Link without connections, for a fleet of one entry VM.
func New(o Options, clock carobward.Clock) *Link {
	l := &Link{options: o, clock: clock, pools: map[carobward.Address]*pool{}}
	l.share.Store(int64(o.Conns))

	return l
}

// Exchange sends a call once and returns the whole reply, or a Failure. It
// is NotRun only where the kernel took no byte of the call.
func (l *Link) Exchange(ctx context.Context, to carobward.Address, call *carobward.Call) (*carobward.Reply, error) {
	p, err := l.pool(to)
	if err != nil {
		return nil, notRun(err)
	}

	c, err := l.conn(ctx, p, call)
	if err != nil {
		return nil, notRun(err)
	}

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	t := l.trip(c.Conn, call)
	reply, err := t.run()

	l.end(&t)

	// A context that ended has closed the connection or is about to.
	if stop() && err == nil && t.again {
		p.put(c, l.clock.Now(), l.most())
	} else {
		p.drop(c)
	}

	if err != nil && t.sent == 0 {
		return nil, notRun(err)
	}

	if err != nil {
		return nil, carobward.NewFailure(carobward.Unknown, status(err), 0, err)
	}

	return reply, nil
}

func notRun(err error) error {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, err)
}

func status(err error) int {
	if cwframe.IsTimeout(err) {
		return fasthttp.StatusGatewayTimeout
	}

	return fasthttp.StatusBadGateway
}

// Tick closes connections that have been idle for too long.
func (l *Link) Tick(now time.Time) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()

	for _, p := range l.pools {
		p.tick(now, l.options.Keep, l.most())
	}
}

// Retain closes and forgets the connections to servers that are not on the
// list. A call in flight goes on.
func (l *Link) Retain(list []carobward.VM) {
	keep := make(map[carobward.Address]bool, len(list))
	for i := range list {
		keep[list[i].Address] = true
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	for a, p := range l.pools {
		if !keep[a] {
			p.close()
			delete(l.pools, a)
		}
	}
}

// Close closes all idle connections and refuses new calls. Calls in flight
// go on, and their connections are closed after them.
func (l *Link) Close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()

	l.Retain(nil)
}

func (l *Link) pool(to carobward.Address) (*pool, error) {
	l.mutex.RLock()
	p, closed := l.pools[to], l.closed
	l.mutex.RUnlock()

	if closed {
		return nil, ErrClosed
	}

	if p != nil {
		return p, nil
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.closed {
		return nil, ErrClosed
	}

	if p = l.pools[to]; p == nil {
		p = &pool{address: to}
		l.pools[to] = p
	}

	return p, nil
}

func (l *Link) conn(ctx context.Context, p *pool, call *carobward.Call) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}

	now := l.clock.Now()
	keep := l.options.Keep

	if call.Fresh {
		keep = 0
	}

	c, err := p.take(now, keep, l.most())
	if c != nil || err != nil {
		return c, err
	}

	d := net.Dialer{Deadline: now.Add(min(l.options.Dial, call.Deadline.Sub(now)))}

	n, err := d.DialContext(ctx, "tcp", string(p.address))
	if err != nil {
		p.drop(nil)

		return nil, errors.Annotate(err, "link")
	}

	return &conn{Conn: n}, nil
}
