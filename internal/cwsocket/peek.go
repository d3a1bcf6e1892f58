// Package cwsocket reports the state of a TCP connection without reading from it.
package cwsocket

import (
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"carobward.example/carobward"
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
	raw, err := Raw(c)
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

// errNotSocket is returned for a connection that is not one of the operating system.
const errNotSocket = errors.ConstError("socket: the connection is no socket")

// Raw returns the socket of a connection.
func Raw(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}

	return sc.SyscallConn()
}

// Unread returns how many bytes have arrived on a connection that nobody has read.
func Unread(c net.Conn) (carobward.ByteCount, error) {
	n, err := query(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCINQ) })

	return carobward.ByteCount(n), err
}

// Undelivered returns how many bytes have been written to a connection that the other side's
// operating system hasn't acknowledged. An end of the stream that was written counts as one.
func Undelivered(c net.Conn) (carobward.ByteCount, error) {
	n, err := query(c, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) })

	return carobward.ByteCount(n), err
}

// IsOver reports whether a connection carries nothing any more in either direction: both sides have closed it, or
// one has reset it, which a read behind the end of the stream doesn't tell.
func IsOver(c net.Conn) bool {
	const stateClosed = 7 // TCP_CLOSE of Linux.

	state, err := query(c, func(fd int) (int, error) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO)
		if err != nil {
			return 0, err
		}

		return int(info.State), nil
	})

	return err == nil && state == stateClosed
}

// query asks the operating system for a number that it keeps for a connection.
func query(c net.Conn, ask func(fd int) (int, error)) (int, error) {
	raw, err := Raw(c)
	if err != nil {
		return 0, err
	}

	var (
		n        int
		queryErr error
	)

	if err := raw.Control(func(fd uintptr) { n, queryErr = ask(int(fd)) }); err != nil {
		return 0, err
	}

	return n, queryErr
}
