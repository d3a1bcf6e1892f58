package cwtest

import (
	"net"
	"testing"
)

// Listen returns a listener on a free loopback port. It is closed when the test
// ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = ln.Close() })

	return ln
}

// Pair returns both ends of a TCP connection.
func Pair(t testing.TB) (ours net.Conn, theirs *net.TCPConn) {
	t.Helper()

	ln := Listen(t)

	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	ours, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _, _ = ours.Close(), conn.Close() })

	theirs, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("a connection of type %T", conn)
	}

	return ours, theirs
}
