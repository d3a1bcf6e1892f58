package cwentry

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// listener bounds the number of open connections. It answers a connection over
// the bounds with the reason before it closes it. The listener below it sees to it that
// what was written to a connection outlives its close.
type listener struct {
	net.Listener
	options ServerOptions
	refusal []byte

	mutex sync.Mutex
	open  int
	byIP  map[netip.Addr]int
}

// refusalTimeout limits the write of a refusal to a caller that doesn't read.
const refusalTimeout = time.Second

func newListener(ln net.Listener, o ServerOptions, vm carobward.VMID) *listener {
	const body = `{"title":"Service Unavailable","status":503,` +
		`"detail":"this entry VM has too many connections, or too many from your IP number","verdict":"not-run","id":""}`

	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
		"Content-Type: application/problem+json\r\n%s: not-run\r\n%s: %s\r\n%s: 1\r\n%s: 1000\r\nContent-Length: %d\r\n\r\n%s",
		carobward.HeaderVerdict, carobward.HeaderVM, vm, carobward.HeaderRetryAfter, carobward.HeaderRetryMillis, len(body), body)

	return &listener{
		Listener: ln, options: o, refusal: []byte(refusal),
		byIP: map[netip.Addr]int{},
	}
}

// Accept returns the next connection that is within the bounds, and refuses
// others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		from := ip(c)
		if l.enter(from) {
			return &countedConn{Conn: c, listener: l, from: from}, nil
		}

		l.refuse(c)
	}
}

func ip(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}

	return netip.Addr{}
}

func (l *listener) enter(from netip.Addr) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.open >= l.options.Conns || l.byIP[from] >= l.options.ConnsPerIP {
		return false
	}

	l.open++
	l.byIP[from]++

	return true
}

func (l *listener) leave(from netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.open--

	if l.byIP[from]--; l.byIP[from] == 0 {
		delete(l.byIP, from)
	}
}

// refuse answers a connection with 503 without reading a request.
func (l *listener) refuse(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write(l.refusal) // A caller that has gone needs none.
	_ = c.Close()
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	listener *listener
	from     netip.Addr
	closed   atomic.Bool
}

// Close closes the connection. It has no effect after the first call.
func (c *countedConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}

	c.listener.leave(c.from)

	return c.Conn.Close()
}

// conn returns the underlying connection of a request.
func conn(r *fasthttp.RequestCtx) net.Conn {
	if c, ok := r.Conn().(*countedConn); ok {
		return c.Conn
	}

	return r.Conn()
}
