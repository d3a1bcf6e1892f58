package cwentry

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// listener bounds the open connections and tells a caller that it refuses
// why.
type listener struct {
	net.Listener
	options ServerOptions
	refusal []byte

	mutex sync.Mutex
	open  int
	byIP  map[netip.Addr]int
	// parting counts the refused connections that still get their answer.
	parting chan struct{}
}

// The bounds of telling a caller that its connection is refused.
const (
	partingMost  = 64
	partingTime  = time.Second
	partingBytes = 64 << 10
)

func newListener(ln net.Listener, o ServerOptions, vm carobward.VMID) *listener {
	const body = `{"title":"Service Unavailable","status":503,` +
		`"detail":"this entry VM has too many connections, or too many from your IP number","verdict":"not-run","id":""}`

	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"+
		"Content-Type: application/problem+json\r\n%s: not-run\r\n%s: %s\r\n%s: 1\r\n%s: 1000\r\nContent-Length: %d\r\n\r\n%s",
		carobward.HeaderVerdict, carobward.HeaderVM, vm, carobward.HeaderRetryAfter, carobward.HeaderRetryMillis, len(body), body)

	return &listener{
		Listener: ln, options: o, refusal: []byte(refusal),
		byIP: map[netip.Addr]int{}, parting: make(chan struct{}, partingMost),
	}
}

// Accept returns the next connection within the bounds.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		from := ip(c)
		if l.enter(from) {
			return &counted{Conn: c, listener: l, from: from}, nil
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

// refuse answers on a connection without reading a request.
func (l *listener) refuse(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(partingTime))

	if _, err := c.Write(l.refusal); err != nil {
		_ = c.Close()

		return
	}

	l.part(c)
}

// part closes a connection on which the caller may still be sending: a close
// with unread bytes would reset the connection and lose our answer.
func (l *listener) part(c net.Conn) {
	select {
	case l.parting <- struct{}{}:
	default:
		_ = c.Close()

		return
	}

	go func() {
		defer func() { <-l.parting }()
		defer func() { _ = c.Close() }()

		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}

		_ = c.SetReadDeadline(time.Now().Add(partingTime))
		_, _ = io.CopyN(io.Discard, c, partingBytes)
	}()
}

// counted is a connection that is counted until it is closed.
type counted struct {
	net.Conn
	listener *listener
	from     netip.Addr
	closed   atomic.Bool
	// refused tells that a request on it was not read to its end.
	refused atomic.Bool
}

// Close closes the connection.
func (c *counted) Close() error {
	if c.closed.Swap(true) {
		return nil
	}

	c.listener.leave(c.from)

	if c.refused.Load() {
		c.listener.part(c.Conn)

		return nil
	}

	return c.Conn.Close()
}

// conn returns the TCP connection of a request.
func conn(r *fasthttp.RequestCtx) net.Conn {
	if c, ok := r.Conn().(*counted); ok {
		return c.Conn
	}

	return r.Conn()
}
