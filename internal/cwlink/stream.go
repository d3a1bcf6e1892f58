package cwlink

import (
	"io"

	"github.com/juju/errors"
)

// ErrTruncatedBody is the error of a body that is shorter than its Content-Length.
const ErrTruncatedBody = errors.ConstError("link: the reply's body ended early")

// stream is the body of a reply that is forwarded while it arrives, so that a large
// body is never buffered whole. It holds its connection until Close.
type stream struct {
	held      *HeldConn
	roundTrip roundTrip
	body      io.Reader
	// left is how many bytes may still come. If fixed is set, so many do.
	left  int
	fixed bool
	// ended is set once the body has been read to its end.
	ended bool
	// persistent reports that the server keeps the connection open after the body,
	// so it may carry another call then.
	persistent bool
}

// Read implements io.Reader. It returns io.EOF only at the end of the complete body.
func (s *stream) Read(into []byte) (int, error) {
	// One byte more than may come shows that the body is too large.
	n, err := s.body.Read(into[:min(len(into), s.left+1)])

	switch s.left -= n; {
	case s.left < 0:
		return 0, ErrReplyTooLarge
	case errors.Is(err, io.EOF):
		s.ended = true

		return n, io.EOF
	case s.fixed && s.left == 0:
		s.ended = true

		return n, nil
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

	s.held.reusable = s.ended && s.persistent && s.roundTrip.reader.Buffered() == 0
	s.held.link.releaseBuffers(&s.roundTrip)
	s.held.Release()
	s.held = nil

	return nil
}
