package cwlink

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Bounds of the bodies that are held whole. A server may send bytes without end.
const (
	// maxHeldError bounds the body of a reply that is an error or a redirect, or is not for this
	// call, where others are streamed.
	maxHeldError = carobward.Megabyte
	// maxFirstRead is how much memory is allocated for a body before any of it has arrived.
	maxFirstRead = 32 * carobward.Kilobyte
)

// newBody returns the decoded body of a reply. It returns io.EOF only at its complete end.
func (t *roundTrip) newBody(length int) (io.Reader, error) {
	switch {
	case length >= 0:
		return &fixedBody{reader: t.reader, remaining: length}, nil
	case length == lengthChunked:
		return &chunkedBody{reader: t.reader, chunks: httputil.NewChunkedReader(t.reader)}, nil
	case t.dialect.AllowsUnframed():
		// The length is left to the end of the connection. A reset is an error, not the end.
		return t.reader, nil
	default:
		return nil, ErrNoLength
	}
}

// fixedBody is a body whose length is known.
type fixedBody struct {
	reader    *bufio.Reader
	remaining int
}

// Read implements io.Reader.
func (b *fixedBody) Read(into []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}

	n, err := b.reader.Read(into[:min(len(into), b.remaining)])
	b.remaining -= n

	if errors.Is(err, io.EOF) && b.remaining > 0 {
		err = ErrTruncatedBody
	}

	return n, err
}

// chunkedBody is a body in chunks. Its end includes the trailers, which are dropped.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	ended  bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(into []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}

	n, err := b.chunks.Read(into)
	if !errors.Is(err, io.EOF) {
		return n, err
	}

	if err := skipTrailers(b.reader); err != nil {
		return n, errors.Annotate(err, "trailers")
	}

	b.ended = true

	return n, io.EOF
}

// skipTrailers reads the trailers and the empty line that ends a body in chunks. They are as large as
// a header at most.
func skipTrailers(r *bufio.Reader) error {
	for left := r.Size(); ; {
		line, err := r.ReadSlice('\n')
		left -= len(line)

		switch {
		case errors.Is(err, bufio.ErrBufferFull), left < 0:
			return ErrHeaderTooLarge
		case errors.Is(err, io.EOF):
			return ErrTruncatedBody
		case err != nil:
			return err
		case bytes.Equal(line, lineEnd):
			return nil
		}
	}
}

// readBody reads the body of a reply, or as much of it as is held before it is streamed. Streamed is
// set if there is more.
func (t *roundTrip) readBody(body io.Reader, length int, streamed bool) (held []byte, more bool, err error) {
	limit := int(t.call.MaxReply)
	if t.call.Stream > 0 {
		limit = min(limit, int(maxHeldError))
	}

	if streamed {
		limit = int(t.call.Stream) - 1
	}

	if length > limit && !streamed {
		return nil, false, ErrReplyTooLarge
	}

	if length >= 0 && length <= int(maxFirstRead) {
		held = make([]byte, length)
		_, err = io.ReadFull(body, held)

		return held, false, err
	}

	var b bytes.Buffer

	n, err := b.ReadFrom(io.LimitReader(body, int64(limit)+1))

	switch {
	case err != nil:
		return nil, false, err
	case int(n) <= limit:
		return b.Bytes(), false, nil
	case streamed:
		return b.Bytes(), true, nil
	default:
		return nil, false, ErrReplyTooLarge
	}
}

// streams reports whether the body of a reply may be streamed. Errors and redirects are not: a failed
// reply may be replaced by that of another server.
func (t *roundTrip) streams(status, length int) bool {
	c := t.call

	switch {
	case c.Stream == 0 || status >= fasthttp.StatusMultipleChoices:
		return false
	case length >= 0:
		return length >= int(c.Stream)
	default:
		return !c.NeedsLength
	}
}
