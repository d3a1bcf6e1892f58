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

// TestFailures keeps a failure's verdict and says when to come back.
func TestFailures(t *testing.T) {
	f := &fake{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
		return nil, carobward.NewFailure(carobward.Unknown, 504, 0, errors.New("silence"))
	}}

	resp := dial(t, serve(t, options(), f)).write("GET /fees HTTP/1.1\r\nHost: h\r\n\r\n").read(false)
	checkProblem(t, resp, carobward.Unknown)

	if resp.StatusCode() != 504 || len(resp.Header.Peek("Retry-After")) == 0 || len(f.seen()) != 1 {
		t.Errorf("status %d, header %s, %d calls", resp.StatusCode(), resp.Header.String(), len(f.seen()))
	}
}

// TestSlow gives up on clients that send too slowly, at every place of a
// request.
func TestSlow(t *testing.T) {
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
			f := &fake{answer: echo}
			c := dial(t, serve(t, o, f)).write(request)
			resp := c.read(false)

			checkProblem(t, resp, carobward.NotRun)

			if resp.StatusCode() != 408 || len(f.seen()) != 0 {
				t.Errorf("status %d, %d calls", resp.StatusCode(), len(f.seen()))
			}

			if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection is open: %v", err)
			}
		})
	}
}

// TestRefusedRetry does not call a retry not-run that is refused before its
// ticket's owner was asked, since an earlier try may have run.
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
			f := &fake{answer: echo}
			resp := dial(t, serve(t, o, f)).write(request).read(false)

			checkProblem(t, resp, carobward.Unknown)

			if n := len(f.seen()); n != 0 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// TestIdle closes a connection that waits for too long.
func TestIdle(t *testing.T) {
	o := options()
	o.Idle = 50 * time.Millisecond
	c := dial(t, serve(t, o, &fake{answer: echo})).write("GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n")
	c.read(false)

	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is open: %v", err)
	}
}

// TestBodies bounds the memory of bodies that are being read or whose request
// is in flight, and gives it back however a request ends.
func TestBodies(t *testing.T) {
	const post = "POST /fees HTTP/1.1\r\nHost: h\r\nX-Request-Id: me\r\nContent-Length: 64\r\n\r\n"

	release := make(chan struct{})
	f := &fake{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		<-release

		return echo(ctx, c)
	}}
	carrier := newCarrier(f, 8)
	to := serveCarrier(t, options(), carrier)

	flying := dial(t, to).write(post + strings.Repeat("x", 64))
	chunked := dial(t, to).write("POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")

	cwtest.Wait(t, "two bodies", func() bool { return carrier.bodies.used.Load() == bodiesMost })

	over := dial(t, to).write(post + strings.Repeat("x", 64)).read(false)
	checkProblem(t, over, carobward.NotRun)

	if over.StatusCode() != 503 || string(over.Header.Peek(carobward.HeaderID)) != "me" {
		t.Errorf("status %d, header %s", over.StatusCode(), over.Header.String())
	}

	// One caller goes in the middle of its body, the other gets its answer.
	_ = chunked.conn.Close()

	close(release)
	flying.read(false)
	cwtest.Wait(t, "all memory back", func() bool { return carrier.bodies.used.Load() == 0 })
}

// TestOwnName keeps a request's id on a refusal while its body was read.
func TestOwnName(t *testing.T) {
	o := options()
	o.Read = 300 * time.Millisecond

	resp := dial(t, serve(t, o, &fake{answer: echo})).
		write("POST /fees HTTP/1.1\r\nHost: h\r\nX-Request-Id: me\r\nContent-Length: 4\r\n\r\nbo").read(false)

	if id := string(resp.Header.Peek(carobward.HeaderID)); id != "me" || resp.StatusCode() != 408 {
		t.Errorf("status %d, id %q", resp.StatusCode(), id)
	}
}

// TestConns refuses connections over the bounds with a reason and takes new
// ones once others have gone.
func TestConns(t *testing.T) {
	for name, set := range map[string]func(*ServerOptions){
		"in all": func(o *ServerOptions) { o.Conns = 2 },
		"per IP": func(o *ServerOptions) { o.ConnsPerIP = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			o := options()
			set(&o)

			const get = "GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n"

			f := &fake{answer: echo}
			to := serve(t, o, f)
			first := dial(t, to).write(get)
			first.read(false)
			dial(t, to).write(get).read(false)

			over := dial(t, to).write(get).read(false)
			checkProblem(t, over, carobward.NotRun)

			if over.StatusCode() != 503 || len(over.Header.Peek("Retry-After")) == 0 || len(f.seen()) != 2 {
				t.Errorf("status %d, %d calls", over.StatusCode(), len(f.seen()))
			}

			_ = first.conn.Close()

			cwtest.Wait(t, "room for a connection", func() bool {
				return dial(t, to).write(get).read(false).StatusCode() == 200
			})
		})
	}
}

// TestCalls refuses requests over the bound in flight, and those of one
// target over its half of it.
func TestCalls(t *testing.T) {
	release := make(chan struct{})
	f := &fake{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
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

		cwtest.Wait(t, "requests in flight", func() bool { return len(f.seen()) == len(held) })

		over := dial(t, to).write(get).read(false)
		checkProblem(t, over, carobward.NotRun)

		if over.StatusCode() != 503 || len(over.Header.Peek("Retry-After")) == 0 {
			t.Errorf("%s: status %d", path, over.StatusCode())
		}

		if len(f.seen()) != len(held) {
			t.Errorf("%s: a request over the bound was sent", path)
		}
	}

	close(release)

	for _, c := range held {
		if s := c.read(false).StatusCode(); s != 200 {
			t.Errorf("status %d", s)
		}
	}
}
