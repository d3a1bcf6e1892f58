package cwsocket

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"carobward.example/carobward"
)

// Listen opens a TCP listener. The connections that it accepts have a receive buffer of a size in bytes, or that
// of the operating system if it is zero. The operating system takes up to twice as much memory.
func Listen(at carobward.Address, receive int) (net.Listener, error) {
	var config net.ListenConfig

	if receive > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, receive) }
	}

	return config.Listen(context.Background(), "tcp", string(at))
}

// setReceiveBuffer sets the size of a socket's receive buffer. Accepted connections inherit that of their listener.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	var setErr error

	if err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) }); err != nil {
		return err
	}

	return setErr
}
