package cwstand

import (
	"net"
	"sync"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// acceptor serves each connection of a listener in a goroutine of its own, and
// closes all of them when it is closed.
type acceptor struct {
	ln    net.Listener
	group conc.WaitGroup

	mutex  sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// accept starts to accept connections, until the acceptor is closed. Each
// connection is closed when serve returns.
func accept(ln net.Listener, serve func(c net.Conn)) *acceptor {
	a := &acceptor{ln: ln, open: map[net.Conn]struct{}{}}

	a.group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			if !a.add(c) {
				return
			}

			a.group.Go(func() {
				defer a.remove(c)

				serve(c)
			})
		}
	})

	return a
}

// add tracks a connection and returns true, or closes the connection and
// returns false if the acceptor is closed.
func (a *acceptor) add(c net.Conn) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.closed {
		_ = c.Close()

		return false
	}

	a.open[c] = struct{}{}

	return true
}

func (a *acceptor) remove(c net.Conn) {
	_ = c.Close()

	a.mutex.Lock()
	defer a.mutex.Unlock()

	delete(a.open, c)
}

// Address returns the address on which connections are accepted.
func (a *acceptor) Address() carobward.Address { return carobward.Address(a.ln.Addr().String()) }

// reset closes the listener and resets all connections. It reports whether the
// acceptor was open until then.
func (a *acceptor) reset() bool {
	_ = a.ln.Close()

	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.closed {
		return false
	}

	a.closed = true

	for c := range a.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}

		_ = c.Close()
	}

	return true
}

// Close closes the listener and all connections and waits until they have been
// served. It may be called more than once.
func (a *acceptor) Close() {
	_ = a.ln.Close()

	a.mutex.Lock()
	a.closed = true

	for c := range a.open {
		_ = c.Close()
	}
	a.mutex.Unlock()

	a.group.Wait()
}
