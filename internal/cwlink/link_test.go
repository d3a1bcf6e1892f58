package cwlink

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestRequestBytes checks the bytes that a server receives.
func TestRequestBytes(t *testing.T) {
	for name, c := range map[string]struct {
		call carobward.Call
		want string
	}{
		"GET": {
			carobward.Call{Method: "GET", URI: "//a/../b?c", Host: "h", Header: carobward.Header{{Name: "x-a", Value: "1"}, {Name: "x-a", Value: "2"}}},
			"GET //a/../b?c HTTP/1.1\r\nHost: h\r\nx-a: 1\r\nx-a: 2\r\nX-Request-Id: one\r\nCarobward-Timeout: N\r\n\r\n",
		},
		"empty POST": {
			carobward.Call{Method: "POST", URI: "/", Host: "h"},
			"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nCarobward-Timeout: N\r\nContent-Length: 0\r\n\r\n",
		},
		"body": {
			carobward.Call{Method: "POST", URI: "/", Host: "h", Body: carobward.BodyOf([]byte("a\r\nb"))},
			"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nCarobward-Timeout: N\r\nContent-Length: 4\r\n\r\na\r\nb",
		},
		"special fields": {
			carobward.Call{Method: "GET", URI: "/", Host: "h", Header: carobward.Header{
				{Name: "Cookie", Value: "b=2; a=1"}, {Name: "User-Agent", Value: "u"}, {Name: "Content-Type", Value: "x/y"},
			}},
			"GET / HTTP/1.1\r\nHost: h\r\nCookie: b=2; a=1\r\nUser-Agent: u\r\nContent-Type: x/y\r\n" +
				"X-Request-Id: one\r\nCarobward-Timeout: N\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.call.ID = "one"
			c.call.Deadline = time.Now().Add(time.Minute)
			trip := roundTrip{buffers: &buffers{}, call: &c.call, clock: carobward.SystemClock{}, dialect: NativeDialect{}}
			head, _, _ := bytes.Cut(trip.appendHeader(nil), []byte("\r\n\r\n"))

			var lines []string

			for l := range strings.SplitSeq(string(head), "\r\n") {
				if strings.HasPrefix(l, carobward.HeaderTimeout) {
					l = carobward.HeaderTimeout + ": N"
				}

				lines = append(lines, l)
			}

			got := strings.Join(lines, "\r\n") + "\r\n\r\n" + string(c.call.Body.Bytes())
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLargeBody checks that bodies larger than one write are sent and received unchanged.
func TestLargeBody(t *testing.T) {
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		resp := fasthttp.Response{}
		resp.Header.Set(carobward.HeaderID, cwstand.RequestID(req))
		resp.SetBody(req.Body())
		_, _ = resp.WriteTo(c)

		return true
	})

	one := newCall("one")
	one.Method = "POST"
	one.Body = carobward.Body{bytes.Repeat([]byte("0123456789abcdef"), 1<<14)}
	one.MaxReply = carobward.Megabyte

	reply, err := exchange(newLink(t), s, one)
	if err != nil {
		t.Fatal(err)
	}

	if !bytes.Equal(one.Body.Bytes(), reply.Body) {
		t.Errorf("the reply has %d bytes that differ from the body sent", len(reply.Body))
	}
}

// TestNotRun checks every case in which a call gets the verdict not-run: the server
// must not receive a byte of it.
func TestNotRun(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()

	for name, c := range map[string]struct {
		context context.Context
		prepare func(t *testing.T, l *Link, s *cwstand.Scripted, one *carobward.Call)
	}{
		"refused": {prepare: func(_ *testing.T, _ *Link, s *cwstand.Scripted, _ *carobward.Call) { s.Close() }},
		"no time left": {prepare: func(_ *testing.T, _ *Link, _ *cwstand.Scripted, one *carobward.Call) {
			one.Deadline = time.Now().Add(-time.Second)
		}},
		"no time left, idle connection": {prepare: func(t *testing.T, l *Link, s *cwstand.Scripted, one *carobward.Call) {
			warm(t, l, s)

			one.Deadline = time.Now().Add(-time.Second)
		}},
		"cancelled": {context: ended, prepare: func(*testing.T, *Link, *cwstand.Scripted, *carobward.Call) {}},
		"cancelled, idle connection": {context: ended, prepare: func(t *testing.T, l *Link, s *cwstand.Scripted, _ *carobward.Call) {
			warm(t, l, s)
		}},
		"stopped": {prepare: func(_ *testing.T, l *Link, _ *cwstand.Scripted, _ *carobward.Call) { l.Close() }},
		"all in use": {prepare: func(_ *testing.T, l *Link, s *cwstand.Scripted, _ *carobward.Call) {
			p, _ := l.pool(s.Address())
			p.open = l.maxConns()
		}},
		"reset before the write": {prepare: func(t *testing.T, l *Link, s *cwstand.Scripted, _ *carobward.Call) {
			warm(t, l, s)
			// After CloseWrite the kernel accepts no byte, like after a
			// reset by the server.
			p, _ := l.pool(s.Address())
			_ = p.idle[0].Conn.(*net.TCPConn).CloseWrite()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			// The server answers the first call, then neither reads nor
			// closes the connection until the end of the test.
			s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
				cwstand.WriteReply(c, req, okReply)
				<-release

				return true
			})
			t.Cleanup(func() { close(release) })

			l := newLink(t)
			one := newCall("one")
			c.prepare(t, l, s, one)

			before := s.Requests()

			ctx := c.context
			if ctx == nil {
				ctx = context.Background()
			}

			_, err := l.Exchange(ctx, s.Address(), one)
			if diff := cmp.Diff("not-run", verdict(err)); diff != "" {
				t.Error(diff, err)
			}

			if n := s.Requests(); n != before {
				t.Errorf("the server received %d requests, want %d", n, before)
			}
		})
	}
}

// warm makes a call that leaves an idle connection to the server.
func warm(t *testing.T, l *Link, s *cwstand.Scripted) {
	t.Helper()

	if _, err := exchange(l, s, newCall("warm")); err != nil {
		t.Fatal(err)
	}
}

// TestPartialWrite checks that a call gets the verdict unknown once the kernel has
// accepted a byte of it, even if the server never receives all of it.
func TestPartialWrite(t *testing.T) {
	ln := cwtest.Listen(t)

	// The server does not read, so a large body fills the kernel's buffers
	// and the write blocks.
	one := withShortDeadline(newCall("one"))
	one.Method, one.Body = "POST", carobward.Body{make([]byte, 64<<20)}

	_, err := newLink(t).Exchange(context.Background(), carobward.Address(ln.Addr().String()), one)
	if diff := cmp.Diff("unknown", verdict(err)); diff != "" {
		t.Error(diff, err)
	}
}

// TestRunAfterTimeout checks that a timeout gets the verdict unknown, because the server
// may still read and run the call after the timeout.
func TestRunAfterTimeout(t *testing.T) {
	ln := cwtest.Listen(t)

	_, err := newLink(t).Exchange(context.Background(), carobward.Address(ln.Addr().String()), withShortDeadline(newCall("one")))
	if diff := cmp.Diff("unknown", verdict(err)); diff != "" {
		t.Error(diff, err)
	}

	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = c.Close() }()

	var req fasthttp.Request
	if err := req.Read(bufio.NewReader(c)); err != nil || cwstand.RequestID(&req) != "one" {
		t.Errorf("the server read request %q after the timeout, error %v", cwstand.RequestID(&req), err)
	}
}

// TestEarlyReply checks that a refusal is used if it arrives before the whole call
// has been sent.
func TestEarlyReply(t *testing.T) {
	ln := cwtest.Listen(t)

	const reply = "HTTP/1.1 503 Busy\r\nX-Request-Id: one\r\nCarobward-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"

	done := make(chan struct{})

	go func() {
		defer close(done)

		c, err := ln.Accept()
		if err != nil {
			return
		}

		first := make([]byte, 1)
		_, _ = c.Read(first)
		_, _ = c.Write([]byte(reply))
		// The server reads the rest of the body, as servers should.
		_, _ = bytes.NewBuffer(nil).ReadFrom(c)
		_ = c.Close()
	}()

	l := newLink(t)
	one := newCall("one")
	one.Method, one.Body = "POST", carobward.Body{make([]byte, 8<<20)}

	got, err := l.Exchange(context.Background(), carobward.Address(ln.Addr().String()), one)
	if err != nil || !got.Shed {
		t.Errorf("got reply %+v, error %v", got, err)
	}

	l.Close()

	_ = ln.Close()
	<-done
}

// TestSentOnce counts the requests of a server that closes connections at different
// points of a call: no call may be sent twice.
func TestSentOnce(t *testing.T) {
	for name, c := range map[string]cwstand.Script{
		"closes before it answers": func(net.Conn, *fasthttp.Request, int) bool { return false },
		"resets": func(c net.Conn, _ *fasthttp.Request, _ int) bool {
			_ = c.(*net.TCPConn).SetLinger(0)

			return false
		},
		"closes on the second request": func(c net.Conn, req *fasthttp.Request, n int) bool {
			if n == 0 {
				cwstand.WriteReply(c, req, okReply)
			}

			return n == 0
		},
		"closes while idle": cwstand.FixedReply(okReply, false),
		"sends half a reply": func(c net.Conn, req *fasthttp.Request, _ int) bool {
			cwstand.WriteReply(c, req, okReply[:40])

			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, c)
			l := newLink(t)

			const calls = 50

			for range calls {
				if _, err := exchange(l, s, newCall("one")); verdict(err) == "not-run" {
					t.Error(err)
				}
			}

			if n := s.Requests(); n > calls {
				t.Errorf("the server received %d requests for %d calls", n, calls)
			}
		})
	}
}

// TestDialTimeout checks that opening a connection has its own timeout, which leaves time
// to try another server.
func TestDialTimeout(t *testing.T) {
	ln := cwtest.Listen(t)

	l := New(Options{MaxConns: 1, IdleTimeout: time.Minute, DialTimeout: time.Nanosecond, MaxHeaderSize: carobward.Kilobyte}, carobward.SystemClock{})

	one := newCall("one")
	_, err := l.Exchange(context.Background(), carobward.Address(ln.Addr().String()), one)

	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() || verdict(err) != "not-run" {
		t.Error(err)
	}
}

// TestEarlyReplyUnread lets a server answer before it has read a long body and read
// the rest only later. The caller must get the reply at once, and the connection
// must not be reused, since the server still expects the rest of the body.
func TestEarlyReplyUnread(t *testing.T) {
	const size = 8 << 20 // More than the kernel buffers for a server that does not read.

	for name, c := range map[string]struct {
		reply string
		shed  bool
	}{
		"refused":  {"HTTP/1.1 503 Busy\r\nX-Request-Id: one\r\nCarobward-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", true},
		"answered": {"HTTP/1.1 413 Large\r\nX-Request-Id: one\r\nContent-Length: 4\r\n\r\nlong", false},
	} {
		t.Run(name, func(t *testing.T) {
			ln := cwtest.Listen(t)
			release, done := make(chan struct{}), make(chan int64, 1)

			go func() {
				peer, err := ln.Accept()
				if err != nil {
					return
				}

				first := make([]byte, 1)
				_, _ = peer.Read(first)
				_, _ = peer.Write([]byte(c.reply))

				<-release

				n, _ := bytes.NewBuffer(nil).ReadFrom(peer)
				_ = peer.Close()
				done <- n
			}()

			l := newLink(t)
			one := newCall("one")
			one.Method, one.Body = "POST", carobward.Body{make([]byte, size)}

			to := carobward.Address(ln.Addr().String())

			// The server reads the rest only after Exchange has returned.
			got, err := l.Exchange(context.Background(), to, one)
			if err != nil || got.Shed != c.shed {
				t.Errorf("got reply %+v, error %v", got, err)
			}

			if n, open := connCounts(l, to); n != 0 || open != 0 {
				t.Errorf("%d idle and %d open connections, want none", n, open)
			}

			close(release)

			if n := <-done; n >= size {
				t.Errorf("the server received %d bytes, want less than the whole body", n)
			}
		})
	}
}
