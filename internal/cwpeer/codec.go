// Package cwpeer implements RPC between entry VMs: net/rpc with protocol buffers
// over TCP, after a mutual authentication with a shared key. It also authenticates
// datagrams and holds the table of known peers.
package cwpeer

import (
	"bufio"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward/internal/cwwire"
)

// Limits on one message: its size in bytes and the time to write it.
const (
	maxMessage   = 4 << 20
	writeTimeout = time.Second
)

// ErrNotMessage is the error of a net/rpc argument or reply that is not a protocol
// buffer.
const ErrNotMessage = errors.ConstError("peer: not a protocol buffer")

// stream reads and writes length-delimited messages on a connection.
type stream struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// received is the number of messages that have been read.
	received atomic.Uint64
}

func newStream(c net.Conn) *stream {
	return &stream{Conn: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
}

// write sends messages with a single flush. It fails after writeTimeout if the peer
// does not read.
func (s *stream) write(all ...proto.Message) error {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}

	for _, m := range all {
		if _, err := protodelim.MarshalTo(s.writer, m); err != nil {
			return err
		}
	}

	return s.writer.Flush()
}

func (s *stream) read(m proto.Message, maxSize int64) error {
	o := protodelim.UnmarshalOptions{MaxSize: maxSize}
	if err := o.UnmarshalFrom(s.reader, m); err != nil {
		return err
	}

	s.received.Add(1)

	return nil
}

func (s *stream) head() (*cwwire.Head, error) {
	head := &cwwire.Head{}

	return head, s.read(head, maxMessage)
}

func (s *stream) body(body any) error {
	if body == nil { // net/rpc passes nil to discard the body.
		return s.read(&cwwire.Head{}, maxMessage)
	}

	m, ok := body.(proto.Message)
	if !ok {
		return ErrNotMessage
	}

	return s.read(m, maxMessage)
}

// serverCodec is the rpc.ServerCodec of a stream. It limits the calls that run at
// the same time: while all slots are in use, no further call is read.
type serverCodec struct {
	*stream
	slots chan struct{}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	head, err := c.head()
	if err != nil {
		return err
	}

	// net/rpc writes one response for each header read, which frees the slot.
	c.slots <- struct{}{}

	r.ServiceMethod, r.Seq = head.Method, head.Seq

	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.body(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.slots

	m, ok := body.(proto.Message)
	if !ok {
		m = &cwwire.Head{} // net/rpc sends a placeholder with an error.
	}

	return c.write(&cwwire.Head{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, m)
}

// outgoing is the argument of a call. It records whether the call has been passed
// to the socket.
type outgoing struct {
	message proto.Message
	sent    atomic.Bool
}

// clientCodec is the rpc.ClientCodec of a stream.
type clientCodec struct{ *stream }

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	o, ok := body.(*outgoing)
	if !ok {
		return ErrNotMessage
	}

	o.sent.Store(true)

	return c.write(&cwwire.Head{Method: r.ServiceMethod, Seq: r.Seq}, o.message)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	head, err := c.head()
	if err != nil {
		return err
	}

	r.ServiceMethod, r.Seq, r.Error = head.Method, head.Seq, head.Error

	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.body(body) }
