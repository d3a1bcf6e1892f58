package cwsocket

import (
	"net"
	"testing"
	"time"

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

// TestQueues checks what is told of bytes that were not read, and of those that were not delivered.
func TestQueues(t *testing.T) {
	ours, theirs := cwtest.Pair(t)

	if _, err := theirs.Write([]byte("four")); err != nil {
		t.Fatal(err)
	}

	cwtest.Wait(t, "four bytes to arrive", func() bool {
		n, err := Unread(ours)

		return err == nil && n == 4
	})

	// More than the windows hold, so that the rest of it stays.
	const most = 64 << 20

	if err := ours.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}

	if n, err := ours.Write(make([]byte, most)); err == nil {
		t.Fatalf("%d bytes were written to a connection that nobody reads", n)
	}

	if n, err := Undelivered(ours); err != nil || n == 0 {
		t.Errorf("%d bytes are not delivered, %v", n, err)
	}
}
