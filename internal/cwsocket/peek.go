// Package cwsocket reports the state of a TCP connection without reading from it.
package cwsocket

import (
	"net"
	"syscall"
)

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	// Idle: the connection is open and there is nothing to read.
	Idle State = iota
	// Readable: there is something to read.
	Readable
	// Closed: the other side or this one has closed or reset it.
	Closed
)

// Peek returns a connection's state. It neither blocks nor consumes bytes.
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
			state = Readable
		case rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK || rerr == syscall.EINTR:
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}

	return state
}
