package cwlink

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmemory"
)

// Bounds of the bodies that are held whole. A server may send bytes without end.
const (
	// maxHeldError bounds the body of a reply that is an error or a redirect, or is not for this
	// call, where others are streamed.
	maxHeldError = carobward.Megabyte
	// maxFirstRead is how much memory is allocated for a body of known length before any of it has arrived.
	maxFirstRead = 32 * carobward.Kilobyte
	// firstHeld is how much is allocated at first for another body. Each call has memory for as much, beside
	// the budget.
	firstHeld = 4 * carobward.Kilobyte
)

// newBody returns the decoded body of a reply. It returns io.EOF only at its complete end.
func (t *roundTrip) newBody(length int) (io.Reader, error) {
	switch {
	case length >= 0:
		return &fixedBody{reader: t.reader, remaining: length}, nil
	case length == lengthChunked:
		return &chunkedBody{reader: t.reader, chunks: httputil.NewChunkedReader(t.reader)}, nil
	case t.dialect.AllowsUnframed():
		return &unframedBody{reader: t.reader, endWrite: t.endWrite}, nil
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

// unframedBody is a body whose length is left to the end of the connection. A reset is an error, not the end. It
// is complete only if the whole call was written: a write that fails may have consumed the reset, and a server
// that ends the connection before has not answered the call that it got.
type unframedBody struct {
	reader   *bufio.Reader
	endWrite func() error
}

// Read implements io.Reader.
func (b *unframedBody) Read(into []byte) (int, error) {
	n, err := b.reader.Read(into)
	if errors.Is(err, io.EOF) && b.endWrite() != nil {
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

// held is a body that is held whole, or its begin if there is more.
type held struct {
	bytes []byte
	more  bool

	// taken is how much of the budget the bytes take.
	budget *cwmemory.Budget
	taken  carobward.ByteCount
}

// release gives back what the bytes take of the budget.
func (h *held) release() { h.budget.Give(h.taken) }

// grow makes room for as many bytes in all. Those of a short body are not counted. If there is no memory, nothing
// changes.
func (h *held) grow(size int) error {
	var need carobward.ByteCount
	if size > int(firstHeld) {
		need = carobward.ByteCount(size)
	}

	if !h.budget.Take(need) {
		return ErrNoMemory
	}

	h.bytes = append(make([]byte, 0, size), h.bytes...)
	h.budget.Give(h.taken)
	h.taken = need

	return nil
}

// readFull reads a body of a length.
func (h *held) readFull(body io.Reader, length int) error {
	if err := h.grow(length); err != nil {
		return err
	}

	h.bytes = h.bytes[:length]
	_, err := io.ReadFull(body, h.bytes)

	return err
}

// read reads a body of a length, which is negative if it is not known, up to a limit. It sets more if the body is
// longer.
func (h *held) read(body io.Reader, length, limit int) error {
	if length >= 0 && length <= int(maxFirstRead) {
		return h.readFull(body, length)
	}

	for size := min(int(firstHeld), limit+1); ; size = min(2*size, limit+1) {
		if err := h.grow(size); err != nil {
			return err
		}

		ended, err := h.fill(body, size)

		switch {
		case err != nil:
			return err
		case len(h.bytes) > limit:
			h.more = true

			return nil
		case ended:
			return nil
		}
	}
}

// fill reads until there are as many bytes, and reports whether the body has ended before.
func (h *held) fill(body io.Reader, size int) (bool, error) {
	for len(h.bytes) < size {
		n, err := body.Read(h.bytes[len(h.bytes):size])
		h.bytes = h.bytes[:len(h.bytes)+n]

		if errors.Is(err, io.EOF) { // A truncated body ends with another error.
			return true, nil
		}

		if err != nil {
			return false, err
		}
	}

	return false, nil
}

// heldLimit returns how much of a body is held whole, or before it is streamed.
func (t *roundTrip) heldLimit(streamed bool) int {
	switch {
	case streamed:
		return int(t.call.Stream) - 1
	case t.call.Stream > 0:
		return int(min(t.call.MaxReply, maxHeldError))
	default:
		return int(t.call.MaxReply)
	}
}

// readBody reads the body of a reply, or as much of it as is held before it is streamed.
func (t *roundTrip) readBody(body io.Reader, length int, streamed bool) (*held, error) {
	limit := t.heldLimit(streamed)
	if length > limit && !streamed {
		return nil, ErrReplyTooLarge
	}

	h := &held{budget: t.replies}
	err := h.read(body, length, limit)

	switch {
	case streamed && errors.Is(err, ErrNoMemory): // What has been read is enough to begin with.
		h.more, err = true, nil
	case err == nil && h.more && !streamed:
		err = ErrReplyTooLarge
	}

	if err != nil {
		h.release()

		return nil, err
	}

	return h, nil
}

// streams reports whether the body of a reply may be streamed. Errors and redirects are not: a failed
// reply may be replaced by that of another server.
func (t *roundTrip) streams(status, length int) bool {
	c := t.call

	switch {
	case !t.mayStream(status):
		return false
	case length >= 0:
		return length >= int(c.Stream)
	default:
		return !c.NeedsLength
	}
}

// mayStream reports whether the body of a reply of a status may be streamed at all.
func (t *roundTrip) mayStream(status int) bool {
	return t.call.Stream > 0 && status < fasthttp.StatusMultipleChoices
}
