package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// uploadBytes is the size of the uploads, more than the operating system takes of a connection that is not read.
const uploadBytes = 24 << 20

// startRaw starts a stand-in for a server that answers requests with a text, in which ID stands for the request's
// id, before it has read them, and resets the connection. Health checks succeed.
func startRaw(t *testing.T, instance, text string) carobward.Address {
	t.Helper()

	ln := cwtest.Listen(t)

	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}

			go answerRaw(conn, instance, text)
		}
	}()

	return carobward.Address(ln.Addr().String())
}

// answerRaw answers the requests on one connection.
func answerRaw(conn net.Conn, instance, text string) {
	defer func() { _ = conn.Close() }()

	r := bufio.NewReader(conn)

	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		if req.URL.Path != "/health" {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", req.Header.Get("Request-Id")))

			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}

			return
		}

		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nUpstream-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", instance); err != nil {
			return
		}
	}
}

// TestEarlyReplies guards against answers that are none and reach callers as whole ones: by a reset while the
// request is still being written, and by a header that others refuse.
func TestEarlyReplies(t *testing.T) {
	const (
		tries = 12
		own   = "Request-Id: ID\r\nResponse-Seal: seal\r\n"
		body  = "twenty bytes of text"
	)

	for name, text := range map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\n" + own + "\r\n" + body,
		"no last chunk":     "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + body + "\r\n",
		"status 000":        "HTTP/1.1 000 OK\r\n" + own + "Content-Length: 20\r\n\r\n" + body,
		"a blank in a name": "HTTP/1.1 200 OK\r\n" + own + "A B: c\r\nContent-Length: 20\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			g := cwsite.New(t, grace)
			route := cwstand.MetadataRoute{"prefix": "/", "kind": "unsafe", "service": "records", "max_attempts": 1}
			g.Store.Put("op/config", cwstand.MetadataConfigWithBody(cwstand.MetadataConfig(1, host, route), 2*uploadBytes))
			g.Store.Put("servers/i-1", cwstand.ServerEntry("records", startRaw(t, "i-1", text), "zone-1", "ready"))

			v := g.Start(t)
			cwtest.Wait(t, "the entry VM is ready", v.IsReady)

			for n := range tries {
				status, got, err := upload(v, fmt.Sprint("u-", n))
				if err == nil && status < http.StatusInternalServerError {
					t.Errorf("status %d, %q as a whole answer", status, got)
				}
			}
		})
	}
}

// upload sends one upload and reads the answer to its end.
func upload(v *cwsite.EntryVM, id string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+string(v.Callers)+"/a", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return 0, "", err
	}

	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Minute}

	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}

	defer func() { _ = resp.Body.Close() }()

	raw, err := io.ReadAll(resp.Body)

	return resp.StatusCode, string(raw), err
}
