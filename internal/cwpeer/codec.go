// Package cwpeer talks to the other entry VMs: net/rpc with protocol buffers
// on the wire.
package cwpeer

import (
	"bufio"
	"io"
	"net/rpc"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward/internal/cwwire"
)

// maxMessage bounds one message in bytes.
const maxMessage = 4 << 20

// ErrType tells that net/rpc was given a value that is no protocol buffer.
const ErrType = errors.ConstError("peer: not a protocol buffer")

// stream writes and reads delimited messages.
type stream struct {
	io.Closer
	reader *bufio.Reader
	writer *bufio.Writer
}

func newStream(c io.ReadWriteCloser) stream {
	return stream{Closer: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
}

func (s *stream) write(head *cwwire.Head, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &cwwire.Head{} // net/rpc sends a placeholder with an error.
	}

	if _, err := protodelim.MarshalTo(s.writer, head); err != nil {
		return err
	}

	if _, err := protodelim.MarshalTo(s.writer, m); err != nil {
		return err
	}

	return s.writer.Flush()
}

func (s *stream) head() (*cwwire.Head, error) {
	head := &cwwire.Head{}

	return head, s.read(head)
}

func (s *stream) body(body any) error {
	if body == nil { // net/rpc throws the body away.
		return s.read(&cwwire.Head{})
	}

	m, ok := body.(proto.Message)
	if !ok {
		return ErrType
	}

	return s.read(m)
}

func (s *stream) read(m proto.Message) error {
	o := protodelim.UnmarshalOptions{MaxSize: maxMessage}

	return o.UnmarshalFrom(s.reader, m)
}

// serverCodec is the rpc.ServerCodec of a stream.
type serverCodec struct{ stream }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	head, err := c.head()
	if err != nil {
		return err
	}

	r.ServiceMethod, r.Seq = head.Method, head.Seq

	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.body(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(&cwwire.Head{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}

// clientCodec is the rpc.ClientCodec of a stream.
type clientCodec struct{ stream }

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(&cwwire.Head{Method: r.ServiceMethod, Seq: r.Seq}, body)
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
