// Package cwpeer talks to the other entry VMs: net/rpc with protocol buffers
// on the wire, after both sides have proved that they have the same key.
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

// The bounds of one message.
const (
	maxMessage   = 4 << 20
	writeTimeout = time.Second
)

// ErrType tells that net/rpc was given a value that is no protocol buffer.
const ErrType = errors.ConstError("peer: not a protocol buffer")

// stream writes and reads delimited messages.
type stream struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// received counts the messages that have come in.
	received atomic.Uint64
}

func newStream(c net.Conn) *stream {
	return &stream{Conn: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
}

// write sends messages in one go. A peer that does not read is given up.
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

func (s *stream) read(m proto.Message, most int64) error {
	o := protodelim.UnmarshalOptions{MaxSize: most}
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
	if body == nil { // net/rpc throws the body away.
		return s.read(&cwwire.Head{}, maxMessage)
	}

	m, ok := body.(proto.Message)
	if !ok {
		return ErrType
	}

	return s.read(m, maxMessage)
}

// serverCodec is the rpc.ServerCodec of a stream. It reads no further call
// while as many run as there are slots.
type serverCodec struct {
	*stream
	slots chan struct{}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	head, err := c.head()
	if err != nil {
		return err
	}

	// Each header that is read gets one response, which frees the slot.
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

// outgoing is a call's argument that notes whether it was handed to the
// socket.
type outgoing struct {
	message proto.Message
	sent    atomic.Bool
}

// clientCodec is the rpc.ClientCodec of a stream.
type clientCodec struct{ *stream }

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	o, ok := body.(*outgoing)
	if !ok {
		return ErrType
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
