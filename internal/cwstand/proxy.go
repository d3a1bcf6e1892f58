package cwstand

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// ProxyFault is what a Proxy does to the connections through it.
type ProxyFault uint8

// The faults of a Proxy.
const (
	// ProxyPasses passes all bytes on.
	ProxyPasses ProxyFault = iota
	// ProxyDelays passes bytes on late.
	ProxyDelays
	// ProxyLosesRequests passes nothing on to the server.
	ProxyLosesRequests
	// ProxyLosesReplies passes nothing back from the server.
	ProxyLosesReplies
	// ProxyResets resets connections, those that are open and those that come.
	ProxyResets
)

// proxyDelay is how late bytes are under ProxyDelays.
const proxyDelay = 40 * time.Millisecond

// Proxy stands between two programs and harms their connections as it is told.
// Bytes that it holds back are lost, as behind a partition.
type Proxy struct {
	*acceptor
	to carobward.Address

	mutex sync.Mutex
	fault ProxyFault
	// open has the callers' connections, and what happened to each.
	open map[net.Conn]proxyMark
}

// proxyMark is what happened to one connection.
type proxyMark uint8

const (
	markNone proxyMark = iota
	// markSilent: it carries nothing any more, in either direction, and stays
	// open.
	markSilent
	// markForgotten: it is reset by the next byte.
	markForgotten
)

// NewProxy returns a proxy to a server that takes connections from the
// listener until Close.
func NewProxy(ln net.Listener, to carobward.Address) *Proxy {
	p := &Proxy{to: to, open: map[net.Conn]proxyMark{}}
	p.acceptor = accept(ln, p.serve)

	return p
}

// Set switches a fault on, or all off with ProxyPasses.
func (p *Proxy) Set(f ProxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.fault = f
}

// Silence makes the connections that are open now carry nothing for good. New
// ones are as the fault says.
func (p *Proxy) Silence() { p.markAll(markSilent) }

// Forget makes the connections that are open now be reset by the next byte.
func (p *Proxy) Forget() { p.markAll(markForgotten) }

func (p *Proxy) markAll(m proxyMark) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for c := range p.open {
		p.open[c] = m
	}
}

func (p *Proxy) mark(c net.Conn) proxyMark {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.open[c]
}

// note adds a caller's connection, and returns what forgets it.
func (p *Proxy) note(c net.Conn) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open[c] = markNone

	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		delete(p.open, c)
	}
}

func (p *Proxy) current() ProxyFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.fault
}

func (p *Proxy) serve(c net.Conn) {
	if p.current() == ProxyResets {
		reset(c)

		return
	}

	s, err := net.Dial("tcp", string(p.to))
	if err != nil {
		return
	}

	defer p.note(c)()

	var group conc.WaitGroup

	mark := func() proxyMark { return p.mark(c) }

	group.Go(func() { p.copy(c, s, ProxyLosesReplies, mark) })
	p.copy(s, c, ProxyLosesRequests, mark)
	group.Wait()
}

// copy passes bytes on until either side ends, and drops them under one fault
// and on a silent connection.
func (p *Proxy) copy(to, from net.Conn, loses ProxyFault, mark func() proxyMark) {
	const size = 16 << 10

	defer func() { _, _ = to.Close(), from.Close() }()

	buffer := make([]byte, size)

	for {
		n, err := from.Read(buffer)

		m, fault := mark(), p.current()

		switch {
		case m == markForgotten && n > 0, fault == ProxyResets:
			reset(to)
			reset(from)

			return
		case m == markSilent, fault == loses:
			n = 0
		case fault == ProxyDelays:
			time.Sleep(proxyDelay)
		}

		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}

		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}

			return
		}
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	_ = c.Close()
}
