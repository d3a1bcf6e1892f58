package cwframe

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/valyala/fasthttp"
)

// TestCheckReply verifies which header blocks are those of a reply.
func TestCheckReply(t *testing.T) {
	for name, c := range map[string]struct {
		block  string
		status int
		want   error
	}{
		"plain":           {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", 200, nil},
		"HTTP/1.0":        {"HTTP/1.0 404 Not Found\r\n\r\n", 404, nil},
		"no reason":       {"HTTP/1.1 503\r\n\r\n", 503, nil},
		"an empty reason": {"HTTP/1.1 503 \r\n\r\n", 503, nil},
		"interim":         {"HTTP/1.1 100 Continue\r\n\r\n", 100, nil},
		"largest":         {"HTTP/1.1 599 A\r\n\r\n", 599, nil},
		"too large":       {"HTTP/1.1 600 A\r\n\r\n", 0, ErrStatusLine},
		"zeros":           {"HTTP/1.1 000 OK\r\n\r\n", 0, ErrStatusLine},
		"too small":       {"HTTP/1.1 099 OK\r\n\r\n", 0, ErrStatusLine},
		"four digits":     {"HTTP/1.1 1000 OK\r\n\r\n", 0, ErrStatusLine},
		"two digits":      {"HTTP/1.1 20 OK\r\n\r\n", 0, ErrStatusLine},
		"no digits":       {"HTTP/1.1 2x0 OK\r\n\r\n", 0, ErrStatusLine},
		"a sign":          {"HTTP/1.1 +20 OK\r\n\r\n", 0, ErrStatusLine},
		"two blanks":      {"HTTP/1.1  200 OK\r\n\r\n", 0, ErrStatusLine},
		"a blank first":   {" HTTP/1.1 200 OK\r\n\r\n", 0, ErrStatusLine},
		"another version": {"HTTP/1.2 200 OK\r\n\r\n", 0, ErrStatusLine},
		"small letters":   {"http/1.1 200 OK\r\n\r\n", 0, ErrStatusLine},
		"NUL":             {"HTTP/1.1 200 O\x00K\r\n\r\n", 0, ErrStatusLine},
		"no line end":     {"HTTP/1.1 200 OK", 0, ErrStatusLine},
		"empty":           {"", 0, ErrStatusLine},
		"a name":          {"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", 200, ErrName},
		"a value":         {"HTTP/1.1 200 OK\r\nA: c\x00\r\n\r\n", 200, ErrValue},
	} {
		t.Run(name, func(t *testing.T) {
			status, err := CheckReply([]byte(c.block))
			if diff := cmp.Diff(c.want, err, cmpopts.EquateErrors()); diff != "" || status != c.status && err == nil {
				t.Errorf("status %d, %s", status, diff)
			}
		})
	}
}

// TestPeekBlock verifies that a header block is found at any split, and what ends the wait for one.
func TestPeekBlock(t *testing.T) {
	const block = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"

	for name, c := range map[string]struct {
		text string
		want error
	}{
		"with a body": {block + "body", nil},
		"cut":         {block[:len(block)-1], io.ErrUnexpectedEOF},
		"empty":       {"", io.EOF},
		"too large":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 100), ErrBlockSize},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := PeekBlock(bufio.NewReaderSize(&bytewise{text: c.text}, 64))
			if diff := cmp.Diff(c.want, err, cmpopts.EquateErrors()); diff != "" || err == nil && string(got) != block {
				t.Errorf("%q, %s", got, diff)
			}
		})
	}
}

// bytewise is a reader that returns a byte at a time.
type bytewise struct{ text string }

func (b *bytewise) Read(p []byte) (int, error) {
	if b.text == "" {
		return 0, io.EOF
	}

	n := copy(p[:1], b.text)
	b.text = b.text[n:]

	return n, nil
}

// TestConn verifies what an HTTP client gets of the replies on one connection, each of which a server sends as
// the answer to one request.
func TestConn(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

	for name, c := range map[string]struct {
		replies []string
		want    []string
	}{
		"two":                     {[]string{ok, ok}, []string{"200 body", "200 body"}},
		"chunks":                  {[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ok}, []string{"200 body", "200 body"}},
		"interim":                 {[]string{"HTTP/1.1 100 Continue\r\n\r\n" + ok, ok}, []string{"200 body", "200 body"}},
		"long":                    {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000), ok}, []string{"200 " + strings.Repeat("x", 40000), "200 body"}},
		"empty":                   {[]string{"HTTP/1.1 204 No Content\r\n\r\n", ok}, []string{"204 ", "200 body"}},
		"status 000":              {[]string{"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody"}, []string{""}},
		"status 000, then":        {[]string{ok, strings.Replace(ok, "200", "000", 1)}, []string{"200 body", ""}},
		"a blank in a name":       {[]string{strings.Replace(ok, "Content-", "A B: c\r\nContent-", 1)}, []string{""}},
		"interim, status 000":     {[]string{"HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(ok, "200", "000", 1)}, []string{""}},
		"more than one":           {[]string{ok + ok, ok}, []string{"200 body", "200 body"}},
		"a cut header":            {[]string{ok[:20]}, []string{""}},
		"a header without an end": {[]string{"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4096)}, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer func() { _ = ours.Close() }()

			_ = ours.SetDeadline(time.Now().Add(time.Minute))

			go answer(theirs, c.replies)

			conn := NewConn(ours)

			var got []string

			for range c.want {
				got = append(got, requestOver(conn))
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// answer sends one reply to each request, and closes the connection.
func answer(conn net.Conn, replies []string) {
	defer func() { _ = conn.Close() }()

	r := bufio.NewReader(conn)

	for _, reply := range replies {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}

		if _, err := io.WriteString(conn, reply); err != nil {
			return
		}
	}
}

// requestOver sends a request and returns the status and the body of the reply, or "" if there is none.
func requestOver(conn net.Conn) string {
	var (
		req  fasthttp.Request
		resp fasthttp.Response
	)

	req.SetRequestURI("http://a/")

	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return ""
	}

	if err := w.Flush(); err != nil {
		return ""
	}

	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return ""
	}

	return strings.Join([]string{statusText(resp.StatusCode()), string(resp.Body())}, " ")
}

func statusText(status int) string {
	digits := []byte{byte('0' + status/100), byte('0' + status/10%10), byte('0' + status%10)}

	return string(digits)
}
