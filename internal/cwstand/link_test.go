package cwstand_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// serveOne accepts one connection, calls serve with it, and returns the address.
func serveOne(t *testing.T, serve func(c *net.TCPConn)) carobward.Address {
	t.Helper()

	ln := cwtest.Listen(t)

	go func() {
		if c, err := ln.Accept(); err == nil {
			serve(c.(*net.TCPConn))
		}
	}()

	return carobward.Address(ln.Addr().String())
}

func dialLink(t *testing.T, l *cwstand.Link) *net.TCPConn {
	t.Helper()
	t.Cleanup(l.Close)

	c, err := net.Dial("tcp", string(l.Address()))
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(cwtest.MaxWait))

	return c.(*net.TCPConn)
}

// TestLinkPassesHalfClose guards against a link that drops the data of one direction when the other one
// ends.
func TestLinkPassesHalfClose(t *testing.T) {
	t.Parallel()

	for name, shape := range map[string]cwstand.LinkShape{
		"no limit": {}, "delay": {Delay: 20 * time.Millisecond}, "rate": {Rate: 1 << 20}, "all": {Delay: 5 * time.Millisecond, Rate: 4 << 20, Window: 4 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			to := serveOne(t, func(c *net.TCPConn) {
				defer func() { _ = c.Close() }()

				_, _ = c.Write(cwstand.ReplyBody()[:200_000])
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			})
			c := dialLink(t, cwstand.NewLink(cwtest.Listen(t), to, shape))

			got, err := io.ReadAll(c)
			if err != nil || !bytes.Equal(cwstand.ReplyBody()[:200_000], got) {
				t.Fatalf("%d bytes came, %v", len(got), err)
			}

			if _, err := c.Write([]byte("more")); err != nil {
				t.Error("the other direction has ended:", err)
			}
		})
	}
}

// TestLinkPassesReset guards against a link that shows a reset as an end of the data.
func TestLinkPassesReset(t *testing.T) {
	t.Parallel()

	to := serveOne(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	c := dialLink(t, cwstand.NewLink(cwtest.Listen(t), to, cwstand.LinkShape{Delay: time.Millisecond}))

	if _, err := c.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}

	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller got %v", err)
	}
}

// TestLinkKeepsOrder guards against a link that lets a reset overtake what was sent before it, or that shows
// the reset as an end where the caller's data have met it.
func TestLinkKeepsOrder(t *testing.T) {
	t.Parallel()

	const answer = 1000

	to := serveOne(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = c.Write(cwstand.ReplyBody()[:answer])
		_ = c.Close() // With bytes unread.
	})
	c := dialLink(t, cwstand.NewLink(cwtest.Listen(t), to, cwstand.LinkShape{Delay: 20 * time.Millisecond, Rate: 100_000}))

	// The link is still carrying this when the server closes.
	if _, err := c.Write(cwstand.ReplyBody()[:20*answer]); err != nil {
		t.Fatal(err)
	}

	got := make([]byte, answer)
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(cwstand.ReplyBody()[:answer], got) {
		t.Fatalf("what was sent before the reset did not come: %v", err)
	}

	if _, err := io.ReadAll(c); err == nil {
		t.Error("the reset shows as an end")
	}
}

// TestLinkGone guards against a link that delivers what it holds after its machine has gone.
func TestLinkGone(t *testing.T) {
	t.Parallel()

	to := serveOne(t, func(c *net.TCPConn) {
		_, _ = c.Write(cwstand.ReplyBody()[:1<<20])
		_ = c.Close()
	})
	l := cwstand.NewLink(cwtest.Listen(t), to, cwstand.LinkShape{Rate: 100 << 10})
	c := dialLink(t, l)

	if _, err := io.ReadFull(c, make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}

	l.Gone()

	if got, err := io.ReadAll(c); err == nil {
		t.Errorf("%d bytes and the end came", len(got))
	}

	if _, err := net.Dial("tcp", string(l.Address())); err == nil {
		t.Error("a gone machine accepts a connection")
	}
}
