package cwlink

import (
	"io"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// ErrShort is the error of a body that ends before its length.
const ErrShort = errors.ConstError("link: the reply's body ended early")

// stream is a reply's body that is passed on as it comes, so that a large one needs
// no memory of its size. It holds its connection until Close.
type stream struct {
	held *Held
	trip trip
	left int
	// again tells that the connection may carry another call once the body is
	// read.
	again bool
}

// streams tells whether a reply's body is passed on as it comes. A failure is not: it
// may be replaced by the reply of another server.
func streams(c *carobward.Call, r *carobward.Reply, length int) bool {
	return c.Stream > 0 && length >= int(c.Stream) && r.Status < fasthttp.StatusMultipleChoices
}

// Read implements io.Reader. It returns io.EOF only at the end of the whole body.
func (s *stream) Read(into []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}

	n, err := s.trip.reader.Read(into[:min(len(into), s.left)])
	s.left -= n

	switch {
	case s.left == 0:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, ErrShort
	default:
		return n, errors.Annotate(err, "link")
	}
}

// Close gives the connection back. Where the body was not read to its end it is
// closed, which tells the server to stop.
func (s *stream) Close() error {
	if s.held == nil {
		return nil
	}

	s.held.whole = s.left == 0 && s.again && s.trip.reader.Buffered() == 0
	s.held.link.end(&s.trip)
	s.held.Release()
	s.held = nil

	return nil
}
