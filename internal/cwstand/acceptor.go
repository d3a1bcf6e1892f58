package cwstand

import (
	"net"
	"sync"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// acceptor serves each connection of a listener on its own, and closes all of
// them at its end.
type acceptor struct {
	ln    net.Listener
	group conc.WaitGroup

	mutex  sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// accept serves until the acceptor is closed. The connection is closed once
// serve returns.
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

// add keeps a connection to close it, unless the end has come.
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

// Address is where connections are taken.
func (a *acceptor) Address() carobward.Address { return carobward.Address(a.ln.Addr().String()) }

// reset closes the listener and resets all connections. It tells whether that is
// news.
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

// Close closes the listener and all connections and waits for their ends. It
// may be called again.
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
