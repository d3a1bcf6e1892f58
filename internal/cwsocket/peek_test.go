package cwsocket

import (
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwtest"
)

func TestPeek(t *testing.T) {
	for name, c := range map[string]struct {
		other func(*net.TCPConn) error
		want  State
	}{
		"nothing": {func(*net.TCPConn) error { return nil }, Idle},
		"bytes": {func(c *net.TCPConn) error {
			_, err := c.Write([]byte("a"))

			return err
		}, Readable},
		"closed":      {(*net.TCPConn).Close, Closed},
		"half closed": {(*net.TCPConn).CloseWrite, Closed},
		"reset": {func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}

			return c.Close()
		}, Closed},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := cwtest.Pair(t)
			if err := c.other(theirs); err != nil {
				t.Fatal(err)
			}

			cwtest.Wait(t, "the connection's state", func() bool { return Peek(ours) == c.want })

			_ = ours.Close()

			if diff := cmp.Diff(Closed, Peek(ours)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
