// Package cwlink is the HTTP/1.1 client for backend servers. It keeps a
// connection pool for each server, sends each call at most once, and tracks
// whether the kernel accepted any byte of it, which decides whether a failed
// call may have run.
package cwlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwmemory"
)

// Options configure a Link.
type Options struct {
	// MaxConns is the number of connections that one server accepts. All entry
	// VMs share them.
	MaxConns int
	// IdleTimeout is how long a connection may be idle and still be used if its
	// server does not announce an idle timeout.
	IdleTimeout time.Duration
	// MaxIdleTimeout is an upper bound on the idle timeouts that servers announce.
	// If it is below IdleTimeout, IdleTimeout is the bound.
	MaxIdleTimeout time.Duration
	// DialTimeout is the timeout for opening a connection. It leaves time to try
	// another server if one does not answer.
	DialTimeout time.Duration
	// MaxHeaderSize is the maximum size of a reply header in bytes.
	MaxHeaderSize carobward.ByteCount
	// Replies is the budget for replies that are held whole, apart from short ones. Those for which there is no
	// memory are streamed, or fail if they can't be. Nil means no bound.
	Replies *cwmemory.Budget
	// Dialect is the protocol that servers use. Nil means NativeDialect.
	Dialect carobward.Dialect
	// Dial opens a connection to a server with a dialer. Nil means a TCP connection.
	Dial func(ctx context.Context, d *net.Dialer, to carobward.Address) (net.Conn, error)
}

func dialTCP(ctx context.Context, d *net.Dialer, to carobward.Address) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", string(to))
}

// Link sends calls to servers over pooled connections. It implements
// carobward.Servers.
type Link struct {
	options Options
	clock   carobward.Clock
	share   atomic.Int64
	// opened counts the connections that were opened, second those of them that were opened
	// while others to the same server were in use.
	opened, second atomic.Int64
	buffers        sync.Pool

	mutex  sync.RWMutex
	pools  map[carobward.Address]*pool
	fleet  fleet
	closed bool
}

// New returns a Link without open connections, for a fleet of one entry VM.
func New(o Options, clock carobward.Clock) *Link {
	if o.Dialect == nil {
		o.Dialect = NativeDialect{}
	}

	if o.Dial == nil {
		o.Dial = dialTCP
	}

	l := &Link{options: o, clock: clock, pools: map[carobward.Address]*pool{}}
	l.share.Store(int64(o.MaxConns))

	return l
}

// Exchange sends a call once and returns the complete reply, or a Failure. The
// verdict is NotRun only if the kernel accepted no byte of the call.
func (l *Link) Exchange(ctx context.Context, to carobward.Address, call *carobward.Call) (*carobward.Reply, error) {
	h, err := l.Hold(ctx, to, call.Deadline, call.Fresh)
	if err != nil {
		return nil, err
	}

	defer h.Release()

	return h.Exchange(ctx, call)
}

func notRunFailure(err error) error {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, err)
}

func failureStatus(err error) int {
	if cwframe.IsTimeout(err) {
		return fasthttp.StatusGatewayTimeout
	}

	return fasthttp.StatusBadGateway
}

// Tick closes connections that have been idle for too long or exceed this entry
// VM's share.
func (l *Link) Tick(now time.Time) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()

	for _, p := range l.pools {
		p.tick(now, l.idleLimits(), l.maxConns())
	}
}

// idleLimits returns the limits on the idle time of a connection.
func (l *Link) idleLimits() idleLimits {
	return idleLimits{fallback: l.options.IdleTimeout, maximum: max(l.options.IdleTimeout, l.options.MaxIdleTimeout)}
}

// Retain drops the pools of the servers for which keep returns false and closes
// their idle connections. Calls in flight go on.
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

// keepNone makes Retain drop all pools.
func keepNone(carobward.Address) bool { return false }

// Suspended adds the time for which the VM was suspended, which the clock did not
// count, to the idle time of all idle connections: servers may have closed them
// meanwhile.
func (l *Link) Suspended(by time.Duration) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()

	for _, p := range l.pools {
		p.addIdleTime(by)
	}
}

// Drop closes the connections to a server that has restarted: idle ones at once,
// those in use when they are released.
func (l *Link) Drop(at carobward.Address) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if p := l.pools[at]; p != nil {
		p.close()
		delete(l.pools, at)
	}
}

// Opened returns how many connections were opened, and how many of them were opened while
// others to the same server were in use.
func (l *Link) Opened() (all, second int64) { return l.opened.Load(), l.second.Load() }

// countOpened counts a connection that was opened to a server.
func (l *Link) countOpened(p *pool) {
	l.opened.Add(1)

	if p.openCount() > 1 {
		l.second.Add(1)
	}
}

// Close closes all idle connections and rejects new calls. Calls in flight go
// on, and their connections are closed when they end.
func (l *Link) Close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()

	l.Retain(keepNone)
}

// knownPool returns the pool of a server, or nil if there is none.
func (l *Link) knownPool(to carobward.Address) *pool {
	l.mutex.RLock()
	defer l.mutex.RUnlock()

	return l.pools[to]
}

// pool returns the pool of a server, and creates it on first use.
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
