package cwlink

import (
	"net"
	"syscall"
)

// quiet tells whether an idle connection is open and has nothing to read.
// Bytes that came unasked, or the end of the stream, make it unfit for use.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}

	calm := false

	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte

		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		calm = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK

		return true
	})

	return err == nil && calm
}
