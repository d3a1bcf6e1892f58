package cwlink

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmemory"
	"carobward.example/carobward/internal/cwstand"
)

// TestReplyMemory verifies which replies take memory of the budget, what becomes of those for which there is none,
// and that all of it is given back.
func TestReplyMemory(t *testing.T) {
	const (
		small, medium, large = 4 << 10, 8 << 10, 40 << 10
		budget               = 64 << 10
	)

	type got struct {
		// Taken is set while the reply is held. Bytes are those of the whole body.
		Failed, Streamed, Taken bool
		Bytes                   int
	}

	for name, c := range map[string]struct {
		status, size int
		chunked      bool
		full         bool
		want         got
	}{
		"small":                       {200, small, false, false, got{Bytes: small}},
		"small, no memory":            {200, small, false, true, got{Bytes: small}},
		"medium":                      {200, medium, false, false, got{Taken: true, Bytes: medium}},
		"medium, no memory":           {200, medium, false, true, got{Streamed: true, Bytes: medium}},
		"medium, chunks":              {200, medium, true, false, got{Taken: true, Bytes: medium}},
		"medium, chunks, no memory":   {200, medium, true, true, got{Streamed: true, Bytes: medium}},
		"large":                       {200, large, false, false, got{Streamed: true, Bytes: large}},
		"large, chunks":               {200, large, true, false, got{Streamed: true, Taken: true, Bytes: large}},
		"an error, small, no memory":  {500, small, false, true, got{Bytes: small}},
		"an error, medium":            {500, medium, false, false, got{Taken: true, Bytes: medium}},
		"an error, medium, no memory": {500, medium, false, true, got{Failed: true}},
		"an error, large":             {500, large, true, false, got{Failed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", c.size)

			s := newStub(t, func(conn net.Conn, req *fasthttp.Request, _ int) bool {
				framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
				if c.chunked {
					framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				}

				_, err := fmt.Fprintf(conn, "HTTP/1.1 %d A\r\nX-Request-Id: %s\r\n%s", c.status, cwstand.RequestID(req), framing)

				return err == nil
			})
			l := newLink(t)

			replies := cwmemory.NewBudget(budget, 0)
			if l.options.Replies = replies; c.full {
				_ = replies.Take(budget)
			}

			before := replies.Used()

			one := newCall("one")
			one.MaxReply, one.Stream = carobward.Megabyte, 32*carobward.Kilobyte
			reply, err := exchange(l, s, one)
			seen := got{Failed: err != nil, Taken: replies.Used() > before}

			if err == nil {
				seen.Streamed = reply.Stream != nil
				seen.Bytes = bodySize(t, reply)
			}

			reply.Drop()

			if diff := cmp.Diff(c.want, seen); diff != "" || replies.Used() != before {
				t.Errorf("%s, %d bytes are not given back, %v", diff, replies.Used()-before, err)
			}
		})
	}
}

// bodySize returns the size of a reply's body, which it reads to its end.
func bodySize(t *testing.T, r *carobward.Reply) int {
	t.Helper()

	if r.Stream == nil {
		return len(r.Body)
	}

	n := 0

	for buffer := make([]byte, 1<<10); ; {
		got, err := r.Stream.Read(buffer)
		n += got

		if err != nil || n == r.Stream.Length {
			return n
		}
	}
}
