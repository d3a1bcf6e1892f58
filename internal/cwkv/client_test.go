package cwkv

import (
	"bufio"
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// countingServer is a server that counts requests and open connections.
type countingServer struct {
	requests, open atomic.Int64
	url            string
}

// newCountingServer starts a server that calls serve on each connection after a
// request was read from it.
func newCountingServer(t *testing.T, serve func(net.Conn)) *countingServer {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = ln.Close() })

	c := &countingServer{url: "http://" + ln.Addr().String()}

	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}

			c.open.Add(1)

			go func() {
				defer c.open.Add(-1)
				defer func() { _ = conn.Close() }()

				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) == nil {
					c.requests.Add(1)
					serve(conn)
				}
			}()
		}
	}()

	return c
}

// TestSwapOnce verifies that the client sends a write only once, whatever the
// reply.
func TestSwapOnce(t *testing.T) {
	for name, test := range map[string]struct {
		reply string
		want  error
	}{
		"closed without a reply": {"", carobward.ErrStoreUnknown},
		"cut within the header":  {"HTTP/1.1 200 OK\r\nContent-Le", carobward.ErrStoreUnknown},
		"cut within the body":    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntr", carobward.ErrStoreUnknown},
		"server error":           {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", carobward.ErrStoreUnknown},
		"malformed":              {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nmaybe", carobward.ErrStoreUnknown},
		"conflict":               {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse", carobward.ErrConflict},
		"accepted":               {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue", nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCountingServer(t, func(c net.Conn) { _, _ = c.Write([]byte(test.reply)) })

			err := New(s.url, "t/", time.Second, &expvar.Map{}).Swap(context.Background(), "head", []byte("x"), 1)
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}

			cwtest.Wait(t, "the connection to close", func() bool { return s.open.Load() == 0 })

			if n := s.requests.Load(); n != 1 {
				t.Errorf("the request was sent %d times, want 1", n)
			}
		})
	}
}

// TestSwapNotSent verifies that a failure to connect is reported as not written.
func TestSwapNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	_ = ln.Close()

	err = New("http://"+ln.Addr().String(), "", time.Second, &expvar.Map{}).Swap(context.Background(), "head", nil, 0)
	if !errors.Is(err, carobward.ErrStoreDown) {
		t.Errorf("got %v, want ErrStoreDown", err)
	}
}

// TestWatchEnds verifies that a cancelled watch releases its goroutine and its
// connection.
func TestWatchEnds(t *testing.T) {
	s := newCountingServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // Waits until the client closes.
	})
	client := New(s.url, "", time.Second, &expvar.Map{})

	for i := range int64(30) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)

		go func() {
			_, err := client.Watch(ctx, "head", 1)
			ended <- err
		}()

		cwtest.Wait(t, "the watch to be received", func() bool { return s.requests.Load() == i+1 })
		cancel()

		if err := <-ended; !errors.Is(err, carobward.ErrStoreDown) {
			t.Errorf("got %v, want ErrStoreDown", err)
		}
	}

	cwtest.Wait(t, "all connections to close", func() bool { return s.open.Load() == 0 })
}

// FuzzDecode verifies that any reply is either decoded or gives ErrStoreDown.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"Value":"eA==","ModifyIndex":7}]`))
	f.Add([]byte(`[{"Value":"%"}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e carobward.Entry
		if err := decode(raw, &e); err != nil && !errors.Is(err, carobward.ErrStoreDown) {
			t.Errorf("got %v, want ErrStoreDown", err)
		}
	})
}
