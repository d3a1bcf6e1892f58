package cwstand

import (
	"io"
	"maps"
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
	// silent has the connections that carry nothing any more, in either
	// direction, and stay open.
	silent map[net.Conn]bool
	open   map[net.Conn]bool
}

// NewProxy returns a proxy to a server that takes connections from the
// listener until Close.
func NewProxy(ln net.Listener, to carobward.Address) *Proxy {
	p := &Proxy{to: to, silent: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
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
func (p *Proxy) Silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	maps.Copy(p.silent, p.open)
}

func (p *Proxy) isSilent(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.silent[c]
}

// note adds a caller's connection, and returns what forgets it.
func (p *Proxy) note(c net.Conn) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open[c] = true

	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		delete(p.open, c)
		delete(p.silent, c)
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

	silent := func() bool { return p.isSilent(c) }

	group.Go(func() { p.copy(c, s, ProxyLosesReplies, silent) })
	p.copy(s, c, ProxyLosesRequests, silent)
	group.Wait()
}

// copy passes bytes on until either side ends, and drops them under one fault
// and while the connection is silent.
func (p *Proxy) copy(to, from net.Conn, loses ProxyFault, silent func() bool) {
	const size = 16 << 10

	defer func() { _, _ = to.Close(), from.Close() }()

	buffer := make([]byte, size)

	for {
		n, err := from.Read(buffer)

		switch p.current() {
		case loses:
			n = 0
		case ProxyDelays:
			time.Sleep(proxyDelay)
		case ProxyResets:
			reset(to)
			reset(from)

			return
		default:
		}

		if n > 0 && !silent() {
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
