package cwlink

import (
	"bufio"
	"net"
	"strconv"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmemory"
)

// buffers are the read and write buffers of one call.
type buffers struct {
	reader *bufio.Reader
	header fasthttp.RequestHeader
	head   []byte
}

// roundTrip sends one call on one connection and reads its reply.
type roundTrip struct {
	*buffers

	conn  net.Conn
	call  *carobward.Call
	clock carobward.Clock
	// dialect is the protocol that the server uses.
	dialect carobward.Dialect
	// replies is the budget for replies that are held whole.
	replies *cwmemory.Budget
	// wrote is closed once the write has ended, with writeErr. It is nil if the write ended before the reply was read.
	wrote    chan struct{}
	writeErr error
	// first reports that no reply was read from the connection before.
	first bool
	// sent is the number of bytes that the kernel accepted.
	sent int64
	// persistent reports that the connection may carry another call once the body
	// of the reply has been read.
	persistent bool
}

// newRoundTrip returns a round trip on a connection. The caller must release its
// buffers.
func (l *Link) newRoundTrip(c net.Conn, call *carobward.Call) roundTrip {
	b, ok := l.buffers.Get().(*buffers)
	if !ok {
		b = &buffers{reader: bufio.NewReaderSize(nil, int(l.options.MaxHeaderSize))}
	}

	b.reader.Reset(c)

	return roundTrip{buffers: b, conn: c, call: call, clock: l.clock, dialect: l.options.Dialect, replies: l.options.Replies}
}

// releaseBuffers returns the buffers of a round trip to the pool.
func (l *Link) releaseBuffers(t *roundTrip) {
	t.reader.Reset(nil)
	l.buffers.Put(t.buffers)
}

// run sends the call and reads the reply. A server may refuse a call before it
// has read all of it. Then writing fails, and a complete reply that has already
// arrived is still used.
func (t *roundTrip) run() (*carobward.Reply, error) {
	if err := t.conn.SetDeadline(t.call.Deadline); err != nil {
		return nil, errors.Annotate(err, "link")
	}

	if t.call.Body.Len() > minOverlapBytes {
		return t.sendAndRead()
	}

	t.writeErr = t.send()
	if t.writeErr != nil && t.sent == 0 {
		return nil, errors.Annotate(t.writeErr, "link: write")
	}

	reply, persistent, err := t.read()

	return t.result(reply, persistent, err, t.writeErr)
}

// minOverlapBytes is the size of a body in bytes above which the reply is read
// while the body is still being written. It is below the smallest receive window
// of a server that does not read.
const minOverlapBytes = 2 << 10

// sendAndRead reads the reply while the call is still being written. Otherwise a
// server that answers early and reads the rest later would block the write until
// the deadline.
func (t *roundTrip) sendAndRead() (*carobward.Reply, error) {
	var group conc.WaitGroup
	defer group.Wait()

	t.wrote = make(chan struct{})

	group.Go(func() {
		defer close(t.wrote)

		t.writeErr = t.send()
	})

	reply, persistent, err := t.read()

	select {
	case <-t.wrote:
		return t.result(reply, persistent, err, t.writeErr)
	default:
	}

	// The rest of the call need not be sent. The connection carries no further
	// call, as the server still expects the rest, and the error of the aborted
	// write is ignored.
	_ = t.endWrite()

	return t.result(reply, false, err, nil)
}

// endWrite aborts the write if it goes on, and returns its error.
func (t *roundTrip) endWrite() error {
	if t.wrote != nil {
		_ = t.conn.SetWriteDeadline(t.clock.Now()) // If that fails, the connection is closed, which ends the write, too.
		<-t.wrote
	}

	return t.writeErr
}

// result combines the outcomes of reading and writing. If both failed, it returns
// the write error.
func (t *roundTrip) result(reply *carobward.Reply, persistent bool, err, writeErr error) (*carobward.Reply, error) {
	if err != nil && writeErr != nil {
		err = writeErr
	}

	t.persistent = persistent && writeErr == nil

	return reply, errors.Annotate(err, "link")
}

// maxJoinedBytes is the maximum size in bytes of a body that is copied after the
// header, so that both are sent in one write.
const maxJoinedBytes = 16 << 10

// send writes the call. The kernel accepts bytes in order, so if it accepted none,
// the server cannot have received any.
func (t *roundTrip) send() error {
	t.head = t.appendHeader(t.head[:0])

	if t.call.Body.Len() <= maxJoinedBytes {
		for _, block := range t.call.Body {
			t.head = append(t.head, block...)
		}

		n, err := t.conn.Write(t.head)
		t.sent = int64(n)

		return err
	}

	parts := append(net.Buffers{t.head}, t.call.Body...)
	n, err := parts.WriteTo(t.conn)
	t.sent = n

	return err
}

func (t *roundTrip) appendHeader(to []byte) []byte {
	h := &t.header
	h.Reset()

	// The caller's fields are forwarded unchanged.
	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetNoDefaultContentType(true)
	h.SetMethod(t.call.Method)
	h.SetRequestURI(t.call.URI)
	h.Add(fasthttp.HeaderHost, t.call.Host)

	for i := range t.call.Header {
		h.Add(t.call.Header[i].Name, t.call.Header[i].Value)
	}

	t.dialect.Fields(t.call, t.call.TimeLeft(t.clock.Now()), h.Add)

	if length := t.call.Body.Len(); length > 0 || bodyExpected(t.call.Method) {
		h.Add(fasthttp.HeaderContentLength, strconv.Itoa(length))
	}

	return h.AppendBytes(to)
}

// bodyExpected reports whether a request with this method should have a
// Content-Length even if it has no body, RFC 9110, 8.6.
func bodyExpected(method string) bool {
	switch method {
	case fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch:
		return true
	default:
		return false
	}
}
