package cwgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// largeReply is too large to be buffered whole before it is forwarded.
var largeReply = strings.Repeat("measured. ", 60_000)

// downloadTimeoutMillis is how long callers wait for large replies.
const downloadTimeoutMillis = 9000

// downloadRoute is the route of large replies. Its timeouts are long, so that no request is
// refused as late on a slow machine.
func downloadRoute() cwstand.MetadataRoute {
	return cwstand.MetadataRoute{
		"prefix": readPath, "kind": "download", "service": "packs", "target_latency": "8s", "timeout": "9s",
	}
}

// TestDownload verifies that many large replies at once reach their callers whole, over
// connections that are reused.
func TestDownload(t *testing.T) {
	const callers = 20

	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(largeReply)
	f.configure(downloadRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range callers {
		group.Go(func() {
			got := v.sendWithin(http.MethodGet, readPath, fmt.Sprint("one-", i), "", downloadTimeoutMillis)
			if got.status != http.StatusOK || got.err != nil || got.body != largeReply || got.header.Get("Response-Seal") == "" {
				t.Errorf("status %d, %d of %d bytes, %v", got.status, len(got.body), len(largeReply), got.err)
			}
		})
	}

	group.Wait()
}

// TestDownloadCut verifies that a large reply that its server breaks off reaches the caller
// as an incomplete one.
func TestDownloadCut(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(largeReply)
	u.SetMode(cwstand.UpstreamTruncates, 0)
	f.configure(downloadRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	if got := v.send(http.MethodGet, readPath, "one", ""); got.err == nil {
		t.Errorf("status %d, %d bytes and no error", got.status, len(got.body))
	}
}

// TestDownloadStop verifies that a stopping entry VM cuts off no large reply in progress.
func TestDownloadStop(t *testing.T) {
	const (
		callers = 8
		parts   = 4
		grace   = 3 * time.Second
	)

	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(strings.Repeat(largeReply, parts))
	f.configure(downloadRoute())

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Grace = grace })
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range callers {
		group.Go(func() {
			got := v.sendWithin(http.MethodGet, readPath, fmt.Sprint("one-", i), "", downloadTimeoutMillis)
			if got.status != http.StatusOK || got.err != nil || len(got.body) != parts*len(largeReply) {
				t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
			}
		})
	}

	cwtest.Wait(t, "the requests", func() bool { return len(u.Runs()) == callers })
	v.end()
	group.Wait()
}

// TestAnswerCut verifies that an answer that its server breaks off, in its head or in a body of any
// kind, never reaches the caller as a whole one with another body.
func TestAnswerCut(t *testing.T) {
	const parts = 40

	part := strings.Repeat("x", 4<<10)
	head := "HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\nRequest-Id: "
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)

	for name, c := range map[string]struct {
		// fields follow the id of the request, body follows the head. All is cut after share of it.
		fields, body string
		share        float64
		reset        bool
	}{
		"in the head":                {"\r\nContent-Length: 4", "body", 0.5, false},
		"in the head, reset":         {"\r\nContent-Length: 4", "body", 0.5, true},
		"a length":                   {fmt.Sprintf("\r\nContent-Length: %d", parts*len(part)), strings.Repeat(part, parts), 0.5, false},
		"a length, reset":            {fmt.Sprintf("\r\nContent-Length: %d", parts*len(part)), strings.Repeat(part, parts), 0.9, true},
		"chunks":                     {"\r\nTransfer-Encoding: chunked", strings.Repeat(chunk, parts) + "0\r\n\r\n", 0.5, false},
		"chunks, reset":              {"\r\nTransfer-Encoding: chunked", strings.Repeat(chunk, parts) + "0\r\n\r\n", 0.9, true},
		"chunks, without the last":   {"\r\nTransfer-Encoding: chunked", strings.Repeat(chunk, parts), 1, false},
		"few chunks":                 {"\r\nTransfer-Encoding: chunked", chunk + "0\r\n\r\n", 0.5, false},
		"without a length, reset":    {"", strings.Repeat(part, parts), 1, true},
		"an interim answer, no more": {"", "", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			s := cwstand.NewScripted(cwtest.Listen(t), func(conn net.Conn, req *fasthttp.Request, _ int) bool {
				if !strings.HasPrefix(string(req.URI().Path()), readPath) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nUpstream-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n")

					return true
				}

				text := head + string(req.Header.Peek("Request-Id")) + c.fields + "\r\n\r\n" + c.body
				if c.share == 0 {
					text = "HTTP/1.1 103 Early Hints\r\n\r\n"
				} else {
					text = text[:int(c.share*float64(len(text)))]
				}

				_, _ = io.WriteString(conn, text)

				if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
					_ = tcp.SetLinger(0)
				}

				return false
			})
			t.Cleanup(s.Close)
			f.store.Put("servers/i-1", cwstand.ServerEntry("packs", s.Address(), "a", "ready"))
			f.configure(downloadRoute())

			v := f.start(t, "vm-1")
			v.waitReady(t)

			if got := v.send(http.MethodGet, readPath, "one", ""); got.err == nil && got.status < http.StatusMultipleChoices {
				t.Errorf("status %d, %d bytes and no error", got.status, len(got.body))
			}
		})
	}
}
