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

// ProxyFault is a fault that a Proxy injects into connections.
type ProxyFault uint8

// The faults of a Proxy.
const (
	// ProxyPasses forwards all data: no fault.
	ProxyPasses ProxyFault = iota
	// ProxyDelays forwards data after a delay.
	ProxyDelays
	// ProxyLosesRequests drops the data sent to the server.
	ProxyLosesRequests
	// ProxyLosesReplies drops the data sent by the server.
	ProxyLosesReplies
	// ProxyResets resets new connections at once and open ones when they next
	// carry data.
	ProxyResets
	// ProxyLosesAll drops the data of both directions.
	ProxyLosesAll
	// ProxyRefusesNew resets new connections at once and forwards the data of those that
	// are open.
	ProxyRefusesNew
)

// proxyDelay is the delay of ProxyDelays.
const proxyDelay = 40 * time.Millisecond

// Proxy is a TCP proxy that injects faults into the connections between two
// programs. Data that it withholds is lost, as in a network partition.
type Proxy struct {
	*acceptor
	to carobward.Address

	mutex sync.Mutex
	fault ProxyFault
	// sources is nil if all connections have the same fault.
	sources Sources
	// open maps each open client connection to the fault of its own.
	open map[net.Conn]proxyMark
}

// Sources tells connections apart by who opened them.
type Sources interface {
	// Fault returns the fault of the connections of whoever has opened one, in place of the
	// proxy's, or ProxyPasses.
	Fault(c net.Conn) ProxyFault
}

// proxyMark is a fault of a single connection.
type proxyMark uint8

const (
	markNone proxyMark = iota
	// markBlackhole keeps the connection open and drops the data of both directions.
	markBlackhole
	// markResetOnData resets the connection when it next carries data.
	markResetOnData
)

// NewProxy returns a proxy that forwards connections from the listener to a
// server until Close.
func NewProxy(ln net.Listener, to carobward.Address) *Proxy {
	p := &Proxy{to: to, open: map[net.Conn]proxyMark{}}
	p.acceptor = accept(ln, p.serve)

	return p
}

// SetFault sets the fault. ProxyPasses removes it.
func (p *Proxy) SetFault(f ProxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.fault = f
}

// SetSources gives connections faults by who opened them.
func (p *Proxy) SetSources(s Sources) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.sources = s
}

// Blackhole makes the proxy drop all data of the connections that are open now, for as
// long as they last. New connections follow the fault set with SetFault.
func (p *Proxy) Blackhole() { p.markAll(markBlackhole) }

// ResetOnData makes the proxy reset each of the connections that are open now when it next
// carries data.
func (p *Proxy) ResetOnData() { p.markAll(markResetOnData) }

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

// track adds a client connection and returns a function that removes it.
func (p *Proxy) track(c net.Conn) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open[c] = markNone

	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		delete(p.open, c)
	}
}

// current returns the fault of a connection.
func (p *Proxy) current(c net.Conn) ProxyFault {
	p.mutex.Lock()
	fault, sources := p.fault, p.sources
	p.mutex.Unlock()

	if sources == nil {
		return fault
	}

	if f := sources.Fault(c); f != ProxyPasses {
		return f
	}

	return fault
}

func (p *Proxy) serve(c net.Conn) {
	if f := p.current(c); f == ProxyResets || f == ProxyRefusesNew {
		reset(c)

		return
	}

	s, err := net.Dial("tcp", string(p.to))
	if err != nil {
		return
	}

	defer p.track(c)()

	var group conc.WaitGroup

	state := func() (proxyMark, ProxyFault) { return p.mark(c), p.current(c) }

	group.Go(func() { p.copy(c, s, ProxyLosesReplies, state) })
	p.copy(s, c, ProxyLosesRequests, state)
	group.Wait()
}

// copy forwards data until either side closes. It drops data while the fault is
// dropOn, and on a connection marked by Blackhole.
func (p *Proxy) copy(to, from net.Conn, dropOn ProxyFault, state func() (proxyMark, ProxyFault)) {
	const size = 16 << 10

	defer func() { _, _ = to.Close(), from.Close() }()

	buffer := make([]byte, size)

	for {
		n, err := from.Read(buffer)

		m, fault := state()

		switch {
		case m == markResetOnData && n > 0, fault == ProxyResets:
			reset(to)
			reset(from)

			return
		case m == markBlackhole, fault == dropOn, fault == ProxyLosesAll:
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

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	_ = c.Close()
}
