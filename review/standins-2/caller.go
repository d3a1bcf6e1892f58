package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// caller is a requester with one kept connection.
type caller struct {
	name, to string
	record   *record
	conn     net.Conn
	reader   *bufio.Reader
}

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestText returns a request as it is sent.
func requestText(method, path, id string, wait time.Duration, body []byte) []byte {
	text := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, wait.Milliseconds())
	if method != http.MethodGet {
		text = fmt.Appendf(text, "Content-Length: %d\r\n", len(body))
	}

	return append(append(text, "\r\n"...), body...)
}

// do sends a request and returns the status of its answer, or 0 if there is none.
func (c *caller) do(method, path string, wait time.Duration, body []byte) int {
	id := newID()

	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to, time.Second)
		if err != nil {
			c.record.add("no connection", id, c.name, err.Error())
			time.Sleep(20 * time.Millisecond)

			return 0
		}

		c.conn, c.reader = conn, bufio.NewReader(conn)
	}

	c.record.add("sent", id, c.name, path)
	_ = c.conn.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))

	_, err := c.conn.Write(requestText(method, path, id, wait, body))
	if err == nil {
		var r *http.Response

		if r, err = http.ReadResponse(c.reader, nil); err == nil {
			var text []byte

			text, err = io.ReadAll(r.Body)
			if err == nil {
				c.record.add("answered", id, c.name, fmt.Sprintf("%d %s", r.StatusCode, text))

				if r.Close {
					c.close()
				}

				return r.StatusCode
			}
		}
	}

	c.record.add("not answered", id, c.name, err.Error())
	c.close()

	return 0
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}

	c.conn = nil
}
