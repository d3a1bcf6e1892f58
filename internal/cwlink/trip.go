package cwlink

import (
	"bufio"
	"net"
	"strconv"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// buffers are what one call reads and writes by.
type buffers struct {
	reader *bufio.Reader
	header fasthttp.RequestHeader
	head   []byte
}

// trip is one call on one connection.
type trip struct {
	*buffers

	conn  net.Conn
	call  *carobward.Call
	clock carobward.Clock
	// dialect is how the server is spoken to.
	dialect carobward.Dialect
	// sent is the number of bytes that the kernel took.
	sent int64
	// again tells that the connection may carry another call.
	again bool
}

// trip returns a trip on a connection. It must be ended.
func (l *Link) trip(c net.Conn, call *carobward.Call) trip {
	b, ok := l.buffers.Get().(*buffers)
	if !ok {
		b = &buffers{reader: bufio.NewReaderSize(nil, int(l.options.Header))}
	}

	b.reader.Reset(c)

	return trip{buffers: b, conn: c, call: call, clock: l.clock, dialect: l.options.Dialect}
}

// end gives the buffers of a trip back.
func (l *Link) end(t *trip) {
	t.reader.Reset(nil)
	l.buffers.Put(t.buffers)
}

// run sends the call and reads the reply. A server may refuse a call before it
// has read the whole; then writing fails, and a whole reply that already waits
// is still taken.
func (t *trip) run() (*carobward.Reply, error) {
	if err := t.conn.SetDeadline(t.call.Deadline); err != nil {
		return nil, errors.Annotate(err, "link")
	}

	if len(t.call.Body) > overlapLeast {
		return t.overlap()
	}

	werr := t.send()
	if werr != nil && t.sent == 0 {
		return nil, errors.Annotate(werr, "link: write")
	}

	reply, again, err := t.read()

	return t.outcome(reply, again, err, werr)
}

// overlapLeast is the size of a body in bytes above which the reply is read
// while the body is still being written: less than the smallest window of a peer
// that does not read.
const overlapLeast = 2 << 10

// overlap reads the reply while the call is still being written. Without that a
// server that answers early and reads on later would block the write until the
// deadline.
func (t *trip) overlap() (*carobward.Reply, error) {
	var group conc.WaitGroup
	defer group.Wait()

	var werr error

	wrote := make(chan struct{})

	group.Go(func() {
		defer close(wrote)

		werr = t.send()
	})

	reply, again, err := t.read()

	select {
	case <-wrote:
		return t.outcome(reply, again, err, werr)
	default:
	}

	// The rest need not be sent. As it is still due on the connection, that
	// carries no further call, and the error of ending the write says nothing.
	_ = t.conn.SetWriteDeadline(t.clock.Now())
	<-wrote

	return t.outcome(reply, false, err, nil)
}

// outcome returns the end of reading and writing.
func (t *trip) outcome(reply *carobward.Reply, again bool, err, werr error) (*carobward.Reply, error) {
	if err != nil && werr != nil {
		err = werr
	}

	t.again = again && werr == nil

	return reply, errors.Annotate(err, "link")
}

// joinMost is the largest body in bytes that is copied behind the header, so
// that both go out in one write.
const joinMost = 16 << 10

// send writes the call. The kernel takes bytes in their order, so where it
// took none the server cannot have seen any.
func (t *trip) send() error {
	t.head = t.appendHead(t.head[:0])

	if len(t.call.Body) <= joinMost {
		t.head = append(t.head, t.call.Body...)
		n, err := t.conn.Write(t.head)
		t.sent = int64(n)

		return err
	}

	parts := net.Buffers{t.head, t.call.Body}
	n, err := parts.WriteTo(t.conn)
	t.sent = n

	return err
}

func (t *trip) appendHead(to []byte) []byte {
	h := &t.header
	h.Reset()

	// The caller's fields go on as they came.
	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetNoDefaultContentType(true)
	h.SetMethod(t.call.Method)
	h.SetRequestURI(t.call.URI)
	h.Add(fasthttp.HeaderHost, t.call.Host)

	for i := range t.call.Header {
		h.Add(t.call.Header[i].Name, t.call.Header[i].Value)
	}

	t.dialect.Fields(t.call, t.call.Deadline.Sub(t.clock.Now()), h.Add)

	if len(t.call.Body) > 0 || bodyExpected(t.call.Method) {
		h.Add(fasthttp.HeaderContentLength, strconv.Itoa(len(t.call.Body)))
	}

	return h.AppendBytes(to)
}

// bodyExpected tells whether a missing length would be surprising, RFC 9110,
// 8.6.
func bodyExpected(method string) bool {
	switch method {
	case fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch:
		return true
	default:
		return false
	}
}
