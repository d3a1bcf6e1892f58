// Package cwsocket looks at a TCP connection without reading from it.
package cwsocket

import (
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State uint8

// The states of a connection.
const (
	// Quiet: it is open and there is nothing to read.
	Quiet State = iota
	// Bytes: there is something to read.
	Bytes
	// Closed: the other side has closed or reset it, or we have.
	Closed
)

// Peek tells a connection's state. It neither waits nor takes bytes.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}

	state := Closed

	err = raw.Control(func(fd uintptr) {
		var one [1]byte

		n, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

		switch {
		case n > 0:
			state = Bytes
		case rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK || rerr == syscall.EINTR:
			state = Quiet
		}
	})
	if err != nil {
		return Closed
	}

	return state
}
