package stop

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"carobward.example/carobward"
)

// connUse is how a caller uses the connection of a request.
type connUse string

// The uses of a connection.
const (
	// onNew opens a connection for the request.
	onNew connUse = "new"
	// onIdle sends it on a connection that was used before the stop and has been idle since.
	onIdle connUse = "idle"
	// onPipeline sends it right behind another request, without waiting for that one's reply.
	onPipeline connUse = "pipelined"
	// onSlowBody has sent the header and half of the body before the stop.
	onSlowBody connUse = "slow body"
)

// request is one request of a caller, and what became of it.
type request struct {
	id     carobward.RequestID
	method string
	path   string
	use    connUse
	// to is the entry VM that gets it, signal when that is stopped, counted from the first signal.
	to     carobward.Address
	signal time.Duration
	// via is the address of the link to it, or empty.
	via carobward.Address
	// after is when its last byte is sent, counted from the signal to its entry VM.
	after time.Duration
	// timeout is the caller's time limit.
	timeout time.Duration

	conn   net.Conn
	reader *bufio.Reader
	// sent and ended are when its last byte was sent, and when its reply or the end of the
	// connection was read.
	sent, ended time.Time
	reply       *reply
	err         error
	// before is the reply to the request that was sent before this one on its connection.
	before *reply
}

const body = "a body that takes its time"

// first returns the id of the request that is sent before this one.
func (r *request) first() carobward.RequestID { return r.id + "-before" }

// connect opens the connection.
func (r *request) connect() error {
	c, err := net.Dial("tcp", string(cmp.Or(r.via, r.to)))
	if err != nil {
		return err
	}

	r.conn, r.reader = c, bufio.NewReader(c)

	return nil
}

// head returns the request's line and header.
func (r *request) head(id carobward.RequestID) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.method, r.path, host, id, r.timeout.Milliseconds(), len(body))
}

// prepare does what comes before the stop.
func (r *request) prepare() error {
	if r.use == onNew {
		return nil
	}

	if err := r.connect(); err != nil {
		return err
	}

	switch r.use {
	case onIdle:
		_, err := io.WriteString(r.conn, r.head(r.first())+body)
		if err != nil {
			return err
		}

		r.before, err = r.read()

		return err
	case onSlowBody:
		_, err := io.WriteString(r.conn, r.head(r.id)+body[:len(body)/2])

		return err
	default:
		return nil
	}
}

// send sends the request and reads its reply.
func (r *request) send() {
	if r.conn == nil {
		if r.err = r.connect(); r.err != nil {
			r.ended = time.Now()

			return
		}
	}

	text := r.head(r.id) + body

	switch r.use {
	case onPipeline:
		text = r.head(r.first()) + body + text
	case onSlowBody:
		text = body[len(body)/2:]
	}

	_, r.err = io.WriteString(r.conn, text)
	r.sent = time.Now()

	if r.use == onPipeline && r.err == nil {
		r.before, r.err = r.read()
	}

	if r.err == nil {
		r.reply, r.err = r.read()
	}

	r.ended = time.Now()
}

// close closes the connection, if there is one.
func (r *request) close() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// reply is a whole reply.
type reply struct {
	status int
	header http.Header
	body   string
	// closes reports that the connection carries no further request.
	closes bool
}

// read reads one whole reply.
func (r *request) read() (*reply, error) {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return nil, err
	}

	defer func() { _ = resp.Body.Close() }()

	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}

	return &reply{resp.StatusCode, resp.Header, string(raw), resp.Close}, nil
}
