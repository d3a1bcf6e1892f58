package cwlink

import (
	"io"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// ErrTruncatedBody is the error of a body that is shorter than its Content-Length.
const ErrTruncatedBody = errors.ConstError("link: the reply's body ended early")

// stream is the body of a reply that is forwarded while it arrives, so that a large
// body is never buffered whole. It holds its connection until Close.
type stream struct {
	held      *HeldConn
	roundTrip roundTrip
	remaining int
	// persistent reports that the server keeps the connection open after the body,
	// so it may carry another call then.
	persistent bool
}

// isStreamed reports whether the body of a reply is streamed. Errors and redirects
// are not: a failed reply may be replaced by that of another server.
func isStreamed(c *carobward.Call, r *carobward.Reply, length int) bool {
	return c.Stream > 0 && length >= int(c.Stream) && r.Status < fasthttp.StatusMultipleChoices
}

// Read implements io.Reader. It returns io.EOF only at the end of the complete body.
func (s *stream) Read(into []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}

	n, err := s.roundTrip.reader.Read(into[:min(len(into), s.remaining)])
	s.remaining -= n

	switch {
	case s.remaining == 0:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, ErrTruncatedBody
	default:
		return n, errors.Annotate(err, "link")
	}
}

// Close releases the connection. If the body was not read to its end, the
// connection is closed, which makes the server stop sending.
func (s *stream) Close() error {
	if s.held == nil {
		return nil
	}

	s.held.reusable = s.remaining == 0 && s.persistent && s.roundTrip.reader.Buffered() == 0
	s.held.link.releaseBuffers(&s.roundTrip)
	s.held.Release()
	s.held = nil

	return nil
}
