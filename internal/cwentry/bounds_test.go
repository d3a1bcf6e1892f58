package cwentry

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// TestFailureReply checks that the reply to a failed request has the failure's
// verdict and a time to retry.
func TestFailureReply(t *testing.T) {
	f := &fakeServers{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
		return nil, carobward.NewFailure(carobward.Unknown, 504, 0, errors.New("no reply"))
	}}

	resp := dial(t, serve(t, options(), f)).write("GET /fees HTTP/1.1\r\nHost: h\r\n\r\n").read(false)
	checkProblem(t, resp, carobward.Unknown)

	if resp.StatusCode() != 504 || len(resp.Header.Peek("Retry-After")) == 0 || len(f.received()) != 1 {
		t.Errorf("status %d, header %s, %d calls; want status 504, Retry-After and one call", resp.StatusCode(), resp.Header.String(), len(f.received()))
	}
}

// TestSlowClients checks that a client that stops sending in any part of a
// request gets a timeout, and its connection is closed.
func TestSlowClients(t *testing.T) {
	for name, request := range map[string]string{
		"nothing":   "",
		"line":      "GET /she",
		"header":    "GET /sheets HTTP/1.1\r\nHost: h\r\nA: ",
		"body":      "POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo",
		"large":     "POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n",
		"chunk":     "POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo",
		"last line": "POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			o := options()
			o.Read = 50 * time.Millisecond
			f := &fakeServers{answer: echo}
			c := dial(t, serve(t, o, f)).write(request)
			resp := c.read(false)

			checkProblem(t, resp, carobward.NotRun)

			if resp.StatusCode() != 408 || len(f.received()) != 0 {
				t.Errorf("status %d, %d calls; want status 408 and no call", resp.StatusCode(), len(f.received()))
			}

			if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection was not closed: %v", err)
			}
		})
	}
}

// TestRefusedRetry checks that a retry that is refused before its ticket's owner
// was asked doesn't get the verdict not-run, since an earlier try may have run.
func TestRefusedRetry(t *testing.T) {
	const ticket = "Host: h\r\nCarobward-Ticket: another's\r\n"

	for name, request := range map[string]string{
		"id":           "POST /fees HTTP/1.1\r\n" + ticket + "X-Request-Id: a b\r\nContent-Length: 0\r\n\r\n",
		"slow body":    "POST /fees HTTP/1.1\r\n" + ticket + "Content-Length: 4\r\n\r\nbo",
		"large body":   "POST /fees HTTP/1.1\r\n" + ticket + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65),
		"large chunk":  "POST /fees HTTP/1.1\r\n" + ticket + "Transfer-Encoding: chunked\r\n\r\n99\r\n",
		"bad chunk":    "POST /fees HTTP/1.1\r\n" + ticket + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"slow chunk":   "POST /fees HTTP/1.1\r\n" + ticket + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		"path":         "POST /fees/../fees HTTP/1.1\r\n" + ticket + "Content-Length: 0\r\n\r\n",
		"timeout":      "POST /fees HTTP/1.1\r\n" + ticket + "Carobward-Timeout: x\r\nContent-Length: 0\r\n\r\n",
		"slow trailer": "POST /fees HTTP/1.1\r\n" + ticket + "Transfer-Encoding: chunked\r\n\r\n0\r\nA",
		"slow, expect": "POST /fees HTTP/1.1\r\n" + ticket + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbo",
	} {
		t.Run(name, func(t *testing.T) {
			o := options()
			o.Read = 300 * time.Millisecond
			f := &fakeServers{answer: echo}
			resp := dial(t, serve(t, o, f)).write(request).read(false)

			checkProblem(t, resp, carobward.Unknown)

			if n := len(f.received()); n != 0 {
				t.Errorf("%d calls were sent to servers, want none", n)
			}
		})
	}
}

// TestIdleTimeout checks that a connection without a next request is closed.
func TestIdleTimeout(t *testing.T) {
	o := options()
	o.Idle = 50 * time.Millisecond
	c := dial(t, serve(t, o, &fakeServers{answer: echo})).write("GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n")
	c.read(false)

	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection was not closed: %v", err)
	}
}

// TestBodyMemory checks that the memory of bodies that are being read or whose
// request is in flight is bounded, and released however a request ends.
func TestBodyMemory(t *testing.T) {
	const post = "POST /fees HTTP/1.1\r\nHost: h\r\nX-Request-Id: me\r\nContent-Length: 64\r\n\r\n"

	release := make(chan struct{})
	f := &fakeServers{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		<-release

		return echo(ctx, c)
	}}
	forwarder := newForwarder(f, 8)
	to := serveForwarder(t, options(), forwarder)

	inFlight := dial(t, to).write(post + strings.Repeat("x", 64))
	chunked := dial(t, to).write("POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")

	cwtest.Wait(t, "memory for two bodies to be reserved", func() bool { return forwarder.bodies.used.Load() == maxBodyMemory })

	over := dial(t, to).write(post + strings.Repeat("x", 64)).read(false)
	checkProblem(t, over, carobward.NotRun)

	if over.StatusCode() != 503 || string(over.Header.Peek(carobward.HeaderID)) != "me" {
		t.Errorf("status %d, header %s; want status 503 and the request's id", over.StatusCode(), over.Header.String())
	}

	// One caller disconnects in the middle of its body, the other gets its reply.
	_ = chunked.conn.Close()

	close(release)
	inFlight.read(false)
	cwtest.Wait(t, "all body memory to be released", func() bool { return forwarder.bodies.used.Load() == 0 })
}

// TestRequestIDOnReadError checks that the reply to a request whose body could
// not be read has the request's id.
func TestRequestIDOnReadError(t *testing.T) {
	o := options()
	o.Read = 300 * time.Millisecond

	resp := dial(t, serve(t, o, &fakeServers{answer: echo})).
		write("POST /fees HTTP/1.1\r\nHost: h\r\nX-Request-Id: me\r\nContent-Length: 4\r\n\r\nbo").read(false)

	if id := string(resp.Header.Peek(carobward.HeaderID)); id != "me" || resp.StatusCode() != 408 {
		t.Errorf("status %d, id %q; want 408 and the request's id", resp.StatusCode(), id)
	}
}

// TestConnectionBounds checks that connections over the bounds are refused with
// a reason, and that new ones are accepted once others have closed.
func TestConnectionBounds(t *testing.T) {
	for name, set := range map[string]func(*ServerOptions){
		"in total": func(o *ServerOptions) { o.Conns = 2 },
		"per IP":   func(o *ServerOptions) { o.ConnsPerIP = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			o := options()
			set(&o)

			const get = "GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n"

			f := &fakeServers{answer: echo}
			to := serve(t, o, f)
			first := dial(t, to).write(get)
			first.read(false)
			dial(t, to).write(get).read(false)

			over := dial(t, to).write(get).read(false)
			checkProblem(t, over, carobward.NotRun)

			if over.StatusCode() != 503 || len(over.Header.Peek("Retry-After")) == 0 || len(f.received()) != 2 {
				t.Errorf("status %d, %d calls; want status 503, Retry-After and 2 calls", over.StatusCode(), len(f.received()))
			}

			_ = first.conn.Close()

			cwtest.Wait(t, "room for a connection", func() bool {
				return dial(t, to).write(get).read(false).StatusCode() == 200
			})
		})
	}
}

// TestInFlightBounds checks that requests over the bound of requests in flight
// are refused, and those of one target over its half of the bound.
func TestInFlightBounds(t *testing.T) {
	release := make(chan struct{})
	f := &fakeServers{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		<-release

		return echo(ctx, c)
	}}

	to := serve(t, options(), f)

	var held []*client

	for _, path := range []string{"/sheets", "/fees"} {
		get := "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"

		for range 4 {
			held = append(held, dial(t, to).write(get))
		}

		cwtest.Wait(t, "the requests to be in flight", func() bool { return len(f.received()) == len(held) })

		over := dial(t, to).write(get).read(false)
		checkProblem(t, over, carobward.NotRun)

		if over.StatusCode() != 503 || len(over.Header.Peek("Retry-After")) == 0 {
			t.Errorf("%s: status %d, want 503 and Retry-After", path, over.StatusCode())
		}

		if len(f.received()) != len(held) {
			t.Errorf("%s: a request over the bound was sent", path)
		}
	}

	close(release)

	for _, c := range held {
		if s := c.read(false).StatusCode(); s != 200 {
			t.Errorf("status %d of an admitted request, want 200", s)
		}
	}
}
