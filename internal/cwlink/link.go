// Package cwlink carries calls to servers over HTTP/1.1. It keeps a
// pool of connections a server, sends each call at most once, and knows
// whether a byte of it was ever taken by the kernel.
package cwlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Options bound the connections.
type Options struct {
	// Conns is the number of connections that one server takes. All entry
	// VMs share them.
	Conns int
	// Keep is how long a connection may be idle and still be used where its
	// server does not say how long it keeps one.
	Keep time.Duration
	// KeepMost bounds what servers say of that. 0: Keep.
	KeepMost time.Duration
	// Dial bounds the time to open a connection, so that a server that
	// does not answer leaves time for another one.
	Dial time.Duration
	// Header is the largest reply header in bytes.
	Header carobward.ByteCount
	// Dialect is how servers are spoken to. Nil: the product's own protocol.
	Dialect carobward.Dialect
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
	if o.Dialect == nil {
		o.Dialect = Own{}
	}

	l := &Link{options: o, clock: clock, pools: map[carobward.Address]*pool{}}
	l.share.Store(int64(o.Conns))

	return l
}

// Exchange sends a call once and returns the whole reply, or a Failure. It
// is NotRun only where the kernel took no byte of the call.
func (l *Link) Exchange(ctx context.Context, to carobward.Address, call *carobward.Call) (*carobward.Reply, error) {
	h, err := l.Hold(ctx, to, call.Deadline, call.Fresh)
	if err != nil {
		return nil, err
	}

	defer h.Release()

	return h.Exchange(ctx, call)
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
		p.tick(now, l.idling(), l.most())
	}
}

// idling returns how long a connection may be idle.
func (l *Link) idling() idling {
	return idling{usual: l.options.Keep, most: max(l.options.Keep, l.options.KeepMost)}
}

// Retain closes and forgets the connections to servers that are not to be kept. A call in
// flight goes on.
func (l *Link) Retain(keep func(carobward.Address) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	for a, p := range l.pools {
		if !keep(a) {
			p.close()
			delete(l.pools, a)
		}
	}
}

// none keeps no connection.
func none(carobward.Address) bool { return false }

// Suspended counts a time that the clock did not towards the idle time of connections:
// servers may have closed them meanwhile.
func (l *Link) Suspended(by time.Duration) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()

	for _, p := range l.pools {
		p.age(by)
	}
}

// Drop closes the connections to a server that has started again: the idle ones now,
// those in use when they are given back.
func (l *Link) Drop(at carobward.Address) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if p := l.pools[at]; p != nil {
		p.close()
		delete(l.pools, at)
	}
}

// Close closes all idle connections and refuses new calls. Calls in flight
// go on, and their connections are closed after them.
func (l *Link) Close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()

	l.Retain(none)
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
