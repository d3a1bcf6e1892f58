package cwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwtest"
)

// sendUnread sends a request on a connection of its own and never reads the reply.
func (v *vm) sendUnread(t *testing.T, id string) {
	t.Helper()

	c, err := net.Dial("tcp", string(v.options.Self.Callers))
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })

	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", readPath, host, id); err != nil {
		t.Fatal(err)
	}
}

// TestUnreadReplies has callers that request large replies and never read them. The entry VM
// serves other callers meanwhile, and still stops in time.
func TestUnreadReplies(t *testing.T) {
	const (
		callers = 24
		size    = 8 << 20 // More than the kernel buffers for a caller that does not read.
	)

	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))

	v := f.start(t, "vm-1")
	v.waitReady(t)
	u.SetBody(strings.Repeat("a", size))

	for i := range callers {
		v.sendUnread(t, fmt.Sprint("unread-", i))
	}

	// The server is asked by all of them at once, so some requests are refused; further ones
	// take their place.
	extra := 0

	cwtest.Wait(t, "replies to callers that read nothing", func() bool {
		extra++
		v.sendUnread(t, fmt.Sprint("more-", extra))

		return len(u.Runs()) >= callers/4
	})
	u.SetBody("done")

	for i := range 4 {
		// With all those replies in progress, the health check of the only server may take too
		// long. The request is then refused, and repeated here.
		cwtest.Wait(t, "a reply to another caller", func() bool {
			got := v.send(http.MethodGet, readPath, fmt.Sprint("id-", i), "")
			if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
				return false
			}

			if got.status != http.StatusOK || got.body != "done" {
				t.Errorf("status %d, %v, %.80s", got.status, got.err, got.body)
			}

			return true
		})
	}

	v.end()
}

// TestIdleConnections has many connections on which no request arrives, or half of one. They
// occupy no server and do not count as requests in flight.
func TestIdleConnections(t *testing.T) {
	const callers = 500

	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i := range callers {
		c, err := net.DialTimeout("tcp", string(v.options.Self.Callers), 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}

		defer func() { _ = c.Close() }()

		if i%2 == 0 {
			_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: ", readPath)
		}
	}

	if got := v.send(http.MethodGet, readPath, "one", ""); got.status != http.StatusOK {
		t.Errorf("status %d, %v", got.status, got.err)
	}

	if page := get(v.options.Metrics, "/metrics").body; !strings.Contains(page, `"flight": 0`) {
		t.Error("connections without a request count as in flight")
	}

	v.end()
}
