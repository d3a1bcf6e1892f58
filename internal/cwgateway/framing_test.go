package cwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestFraming guards against a body that is taken for the next request: a caller's request whose length
// servers could read differently is refused, and its connection is closed.
func TestFraming(t *testing.T) {
	const hidden = "POST " + chargePath + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: hidden\r\nContent-Length: 0\r\n\r\n"

	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	f.configure(unsafeRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for name, c := range map[string]struct {
		version, fields string
		want            int
	}{
		"another version":     {"1.2", "Content-Length: 0\r\n", http.StatusHTTPVersionNotSupported},
		"HTTP/2":              {"2.0", "Content-Length: 0\r\n", http.StatusHTTPVersionNotSupported},
		"identity":            {"1.1", "Transfer-Encoding: identity\r\n", http.StatusNotImplemented},
		"gzip":                {"1.1", "Transfer-Encoding: gzip\r\n", http.StatusNotImplemented},
		"chunked in HTTP/1.0": {"1.0", "Transfer-Encoding: chunked\r\n", http.StatusNotImplemented},
		"two lengths":         {"1.1", fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(hidden)), http.StatusBadRequest},
		"length and chunked":  {"1.1", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(hidden)), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			c0, err := net.Dial("tcp", string(v.options.Self.Callers))
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = c0.Close() }()

			_ = c0.SetDeadline(time.Now().Add(10 * time.Second))

			if _, err := fmt.Fprintf(c0, "POST %s HTTP/%s\r\nHost: %s\r\nRequest-Id: outer\r\n%s\r\n%s", chargePath, c.version, host, c.fields, hidden); err != nil {
				t.Fatal(err)
			}

			r := bufio.NewReader(c0)

			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = resp.Body.Close() }()

			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Error(err)
			}

			if resp.StatusCode != c.want {
				t.Errorf("status %d, want %d", resp.StatusCode, c.want)
			}

			if more, _ := io.ReadAll(r); len(more) > 0 {
				t.Errorf("what follows got an answer: %.60q", more)
			}
		})
	}

	if runs := u.Runs(); len(runs) > 0 {
		t.Errorf("requests ran: %+v", runs)
	}
}
