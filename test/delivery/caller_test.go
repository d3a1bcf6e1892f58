package delivery

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
)

// request is one request of a caller, and what came back.
type request struct {
	id   carobward.RequestID
	sent time.Time
	// status is that of the reply, 0 if no header came; read is how much of its body came.
	status int
	header http.Header
	read   int64
	// whole is set if the body is the server's, err if it ended early.
	whole bool
	err   error
}

// caller sends requests on one connection after the other.
type caller struct {
	play *play
	row  row
	// label names the row, name begins the ids of the requests.
	label, name string
	// to is the address of the entry VM or of the link to it.
	to carobward.Address

	requests []*request
}

// run sends requests until there is no time left for the answers, or no connection is accepted.
func (c *caller) run() {
	for c.play.hasTime(&c.row) {
		conn, err := c.dial()
		if err != nil {
			if c.play.isStopping() {
				return
			}

			continue
		}

		c.use(conn, noLimit)
	}
}

func (c *caller) dial() (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: cwstand.ReceiveWindow(c.row.window)}

	return d.Dial("tcp", string(c.to))
}

// noLimit is for a caller that uses a connection until it ends.
const noLimit = -1

// use sends requests on a connection until it ends, or until it has sent a number of them.
func (c *caller) use(conn net.Conn, batches int) {
	defer func() { _ = conn.Close() }()

	r := bufio.NewReaderSize(&pacedReader{conn, c.row.rate, time.Now()}, readBytes)

	for batches != 0 && (batches > 0 || c.play.hasTime(&c.row)) && c.send(conn, r) {
		batches--
		<-time.After(c.row.pauses)
	}
}

// send sends requests behind one another, reads the answers and reports whether the connection is still
// open.
func (c *caller) send(conn net.Conn, r *bufio.Reader) bool {
	var (
		batch []*request
		texts []string
	)

	for range 1 + c.row.ahead {
		q := &request{id: carobward.RequestID(fmt.Sprint(c.name, "-", len(c.requests)+len(batch))), sent: time.Now()}
		batch = append(batch, q)
		texts = append(texts, c.row.text(q.id))
	}

	c.requests = append(c.requests, batch...)

	go c.write(conn, texts)

	for _, q := range batch {
		closes := c.read(q, r)

		switch {
		case q.err != nil:
			return false
		case closes && c.row.lingers:
			_, _ = io.Copy(io.Discard, r)

			return false
		case closes:
			return false
		}
	}

	return true
}

// write writes requests. An error shows in what is read.
func (c *caller) write(conn net.Conn, texts []string) {
	if c.row.gap == 0 {
		texts = []string{strings.Join(texts, "")}
	}

	for i, text := range texts {
		if i > 0 {
			<-time.After(c.row.gap)
		}

		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// text returns a request.
func (r *row) text(id carobward.RequestID) string {
	kind := map[string]string{http.MethodGet: "safe", http.MethodPost: "unsafe"}[r.method]
	head := fmt.Sprintf("%s /%s/ %s\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", r.method, kind, r.version, host, id, timeout.Milliseconds(), r.header)
	body := strings.Repeat("b", r.body)

	switch {
	case r.chunked:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case r.body > 0:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		return head + "\r\n"
	}
}

// read reads an answer and reports whether it is the last one of its connection.
func (c *caller) read(q *request, r *bufio.Reader) bool {
	resp, err := http.ReadResponse(r, &http.Request{Method: c.row.method})
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, &http.Request{Method: c.row.method})
	}

	if err != nil {
		q.err = err

		return true
	}

	defer func() { _ = resp.Body.Close() }()

	q.status, q.header = resp.StatusCode, resp.Header
	same := &compared{left: cwstand.ReplyBody()[:c.row.length], pause: c.row.pause}
	q.read, q.err = io.Copy(same, resp.Body)
	q.whole = q.err == nil && !same.differs && len(same.left) == 0

	return resp.Close
}

// compared compares what is written to it with what is expected.
type compared struct {
	left    []byte
	differs bool
	// pause is how long to wait after the first bytes.
	pause time.Duration
}

func (c *compared) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(c.left, p) {
		c.differs = true

		return len(p), nil
	}

	c.left = c.left[len(p):]

	if c.pause > 0 {
		<-time.After(c.pause)
		c.pause = 0
	}

	return len(p), nil
}

// readBytes is the size of the callers' read buffers.
const readBytes = 4 << 10

// pacedReader reads no faster than a rate.
type pacedReader struct {
	from io.Reader
	rate int
	// next is when the next bytes may be read.
	next time.Time
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	const coarse = time.Millisecond // Shorter waits take longer than they should.

	if left := time.Until(r.next); left > coarse {
		<-time.After(left)
	}

	n, err := r.from.Read(p)

	if now := time.Now(); r.next.Before(now.Add(-coarse)) {
		r.next = now
	}

	r.next = r.next.Add(time.Duration(n) * time.Second / time.Duration(r.rate))

	return n, err
}
