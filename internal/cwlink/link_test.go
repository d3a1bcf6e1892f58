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

// TestSent checks the bytes that a server gets.
func TestSent(t *testing.T) {
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
			carobward.Call{Method: "POST", URI: "/", Host: "h", Body: []byte("a\r\nb")},
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
			trip := trip{buffers: &buffers{}, call: &c.call, clock: carobward.SystemClock{}, dialect: Own{}}
			head, _, _ := bytes.Cut(trip.appendHead(nil), []byte("\r\n\r\n"))

			var lines []string

			for l := range strings.SplitSeq(string(head), "\r\n") {
				if strings.HasPrefix(l, carobward.HeaderTimeout) {
					l = carobward.HeaderTimeout + ": N"
				}

				lines = append(lines, l)
			}

			got := strings.Join(lines, "\r\n") + "\r\n\r\n" + string(c.call.Body)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLargeBody sends and gets bodies beyond what goes out in one write.
func TestLargeBody(t *testing.T) {
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		resp := fasthttp.Response{}
		resp.Header.Set(carobward.HeaderID, cwstand.RequestID(req))
		resp.SetBody(req.Body())
		_, _ = resp.WriteTo(c)

		return true
	})

	one := call("one")
	one.Method = "POST"
	one.Body = bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
	one.MaxReply = carobward.Megabyte

	reply, err := exchange(newLink(t), s, one)
	if err != nil {
		t.Fatal(err)
	}

	if !bytes.Equal(one.Body, reply.Body) {
		t.Errorf("%d bytes came back", len(reply.Body))
	}
}

// TestNotRun goes through each way in which a call is not-run. The server
// never sees a byte of it.
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
		"no time left, warm": {prepare: func(t *testing.T, l *Link, s *cwstand.Scripted, one *carobward.Call) {
			warm(t, l, s)

			one.Deadline = time.Now().Add(-time.Second)
		}},
		"cancelled": {context: ended, prepare: func(*testing.T, *Link, *cwstand.Scripted, *carobward.Call) {}},
		"cancelled, warm": {context: ended, prepare: func(t *testing.T, l *Link, s *cwstand.Scripted, _ *carobward.Call) {
			warm(t, l, s)
		}},
		"stopped": {prepare: func(_ *testing.T, l *Link, _ *cwstand.Scripted, _ *carobward.Call) { l.Close() }},
		"all in use": {prepare: func(_ *testing.T, l *Link, s *cwstand.Scripted, _ *carobward.Call) {
			p, _ := l.pool(s.Address())
			p.open = l.most()
		}},
		"reset before the write": {prepare: func(t *testing.T, l *Link, s *cwstand.Scripted, _ *carobward.Call) {
			warm(t, l, s)
			// A write on our half that was shut takes no byte, as one after
			// the server's reset.
			p, _ := l.pool(s.Address())
			_ = p.idle[0].Conn.(*net.TCPConn).CloseWrite()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			// The server answers the first call and then looks no further,
			// so that it does not close the connection either.
			s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
				cwstand.Say(c, req, whole)
				<-release

				return true
			})
			t.Cleanup(func() { close(release) })

			l := newLink(t)
			one := call("one")
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
				t.Errorf("the server saw %d requests after %d", n, before)
			}
		})
	}
}

// warm leaves an idle connection.
func warm(t *testing.T, l *Link, s *cwstand.Scripted) {
	t.Helper()

	if _, err := exchange(l, s, call("warm")); err != nil {
		t.Fatal(err)
	}
}

// TestPartWritten makes a call unknown as soon as one byte was taken, though
// the server never got the whole.
func TestPartWritten(t *testing.T) {
	ln := cwtest.Listen(t)

	// The server accepts and reads nothing, so that a large body stops in
	// the kernel's buffers.
	one := soon(call("one"))
	one.Method, one.Body = "POST", make([]byte, 64<<20)

	_, err := newLink(t).Exchange(context.Background(), carobward.Address(ln.Addr().String()), one)
	if diff := cmp.Diff("unknown", verdict(err)); diff != "" {
		t.Error(diff, err)
	}
}

// TestLateRun shows why a timeout is unknown: the server reads and runs the
// call long after it was given up.
func TestLateRun(t *testing.T) {
	ln := cwtest.Listen(t)

	_, err := newLink(t).Exchange(context.Background(), carobward.Address(ln.Addr().String()), soon(call("one")))
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
		t.Errorf("the late server got %q, %v", cwstand.RequestID(&req), err)
	}
}

// TestEarlyReply takes a refusal that came before the whole call was sent.
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

		one := make([]byte, 1)
		_, _ = c.Read(one)
		_, _ = c.Write([]byte(reply))
		// It takes the rest, as a server should.
		_, _ = bytes.NewBuffer(nil).ReadFrom(c)
		_ = c.Close()
	}()

	l := newLink(t)
	one := call("one")
	one.Method, one.Body = "POST", make([]byte, 8<<20)

	got, err := l.Exchange(context.Background(), carobward.Address(ln.Addr().String()), one)
	if err != nil || !got.Shed {
		t.Errorf("%+v, %v", got, err)
	}

	l.Close()

	_ = ln.Close()
	<-done
}

// TestSentOnce counts at the server while it closes connections at every
// point: no call is ever sent a second time.
func TestSentOnce(t *testing.T) {
	for name, c := range map[string]cwstand.Script{
		"closes before it answers": func(net.Conn, *fasthttp.Request, int) bool { return false },
		"resets": func(c net.Conn, _ *fasthttp.Request, _ int) bool {
			_ = c.(*net.TCPConn).SetLinger(0)

			return false
		},
		"closes the second time": func(c net.Conn, req *fasthttp.Request, n int) bool {
			if n == 0 {
				cwstand.Say(c, req, whole)
			}

			return n == 0
		},
		"closes while idle": cwstand.Text(whole, false),
		"answers half": func(c net.Conn, req *fasthttp.Request, _ int) bool {
			cwstand.Say(c, req, whole[:40])

			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, c)
			l := newLink(t)

			const calls = 50

			for range calls {
				if _, err := exchange(l, s, call("one")); verdict(err) == "not-run" {
					t.Error(err)
				}
			}

			if n := s.Requests(); n > calls {
				t.Errorf("%d requests for %d calls", n, calls)
			}
		})
	}
}

// TestDial gives up on a server that does not answer while there is time for
// another one.
func TestDial(t *testing.T) {
	ln := cwtest.Listen(t)

	l := New(Options{Conns: 1, Keep: time.Minute, Dial: time.Nanosecond, Header: carobward.Kilobyte}, carobward.SystemClock{})

	one := call("one")
	_, err := l.Exchange(context.Background(), carobward.Address(ln.Addr().String()), one)

	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() || verdict(err) != "not-run" {
		t.Error(err)
	}
}

// TestEarlyReplyUnread has a server answer before it has read a long body, and
// read on only later. The caller gets the reply at once, and the connection is
// not used again: the rest of the body is due on it.
func TestEarlyReplyUnread(t *testing.T) {
	const size = 8 << 20 // More than the kernel takes for a server that does not read.

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
				c2, err := ln.Accept()
				if err != nil {
					return
				}

				one := make([]byte, 1)
				_, _ = c2.Read(one)
				_, _ = c2.Write([]byte(c.reply))

				<-release

				n, _ := bytes.NewBuffer(nil).ReadFrom(c2)
				_ = c2.Close()
				done <- n
			}()

			l := newLink(t)
			one := call("one")
			one.Method, one.Body = "POST", make([]byte, size)

			to := carobward.Address(ln.Addr().String())

			// The server reads on only after this has returned.
			got, err := l.Exchange(context.Background(), to, one)
			if err != nil || got.Shed != c.shed {
				t.Errorf("%+v, %v", got, err)
			}

			if n, open := idle(l, to); n != 0 || open != 0 {
				t.Errorf("%d idle, %d open connections", n, open)
			}

			close(release)

			if n := <-done; n >= size {
				t.Errorf("the server got %d bytes", n)
			}
		})
	}
}
