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
