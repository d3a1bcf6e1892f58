package cwlink

import (
	"bufio"
	"bytes"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// The errors of a reply that is not whole, not ours or not to be understood.
const (
	ErrLength  = errors.ConstError("the reply has no length")
	ErrLarge   = errors.ConstError("the reply is larger than the target allows")
	ErrHeader  = errors.ConstError("the reply's header is too large")
	ErrStatus  = errors.ConstError("the reply has no final status")
	ErrInterim = errors.ConstError("too many interim replies")
	ErrID      = carobward.ErrOther
	ErrOthers  = errors.ConstError("too many replies to other requests")
)

// interimMost bounds the interim replies (1xx) before the final one.
const interimMost = 8

// The body lengths of the HTTP library that are no number of bytes.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// otherMost bounds the replies to other calls that are passed over while ours
// is awaited.
const otherMost = 2

// read reads the whole reply to this call. It also tells whether the
// connection may be used again. A server may answer an earlier call twice; in
// a protocol where each reply names its call, that reply is passed over, so
// that a call which may not be repeated still gets its own.
func (t *trip) read() (*carobward.Reply, bool, error) {
	for others := range 1 + otherMost {
		reply, again, err := t.readOne()
		if !errors.Is(err, carobward.ErrOther) || !t.dialect.Extra() {
			return reply, again && others == 0, err
		}
	}

	return nil, false, ErrOthers
}

// readOne reads one whole reply.
func (t *trip) readOne() (*carobward.Reply, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	resp.Header.SetNoDefaultContentType(true)

	if err := readFinal(t.reader, &resp.Header); err != nil {
		return nil, false, err
	}

	// The header is taken before the body, so that trailers cannot add to
	// it.
	reply := &carobward.Reply{Status: resp.StatusCode(), Header: cwframe.Copy(resp.Header.All(), cwframe.All)}

	owned := t.dialect.Read(t.call, reply, t.clock.Now())
	passOver := t.dialect.Extra() && errors.Is(owned, carobward.ErrOther)

	if owned != nil && !passOver {
		return nil, false, owned
	}

	if length := resp.Header.ContentLength(); !passOver && !bodiless(t.call.Method, reply.Status) && streams(t.call, reply, length) {
		if length > int(t.call.MaxReply) {
			return nil, false, ErrLarge
		}

		reply.Stream = &carobward.Stream{ReadCloser: &stream{left: length}, Length: length}

		return reply, !resp.ConnectionClose(), nil
	}

	if !bodiless(t.call.Method, reply.Status) {
		if err := t.readBody(resp); err != nil {
			return nil, false, err
		}

		reply.Body = resp.SwapBody(nil)
	}

	again := !resp.ConnectionClose() && t.reader.Buffered() == 0

	return reply, again, owned
}

// bodiless tells whether a reply has no body, whatever length it names, RFC
// 9112, 6.3.
func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readFinal reads headers up to the first that is not interim.
func readFinal(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range interimMost {
		if err := readHeader(r, h); err != nil {
			return err
		}

		switch status := h.StatusCode(); {
		case status >= fasthttp.StatusOK && status < 600:
			return nil
		case status < fasthttp.StatusContinue || status >= 600 || status == fasthttp.StatusSwitchingProtocols:
			return ErrStatus
		}
	}

	return ErrInterim
}

var (
	lineEnd  = []byte("\r\n")
	blockEnd = []byte("\r\n\r\n")
	protocol = []byte("HTTP/1.")
)

// readHeader checks one header block and reads it.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	block, err := peekBlock(r)
	if err != nil {
		return err
	}

	if !bytes.HasPrefix(block, protocol) {
		return ErrStatus
	}

	if err := cwframe.Check(block[bytes.Index(block, lineEnd)+len(lineEnd):]); err != nil {
		return err
	}

	return h.Read(r)
}

// peekBlock waits for a whole header block.
func peekBlock(r *bufio.Reader) ([]byte, error) {
	seen := 0

	for {
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}

		from := max(0, seen-len(blockEnd))
		if i := bytes.Index(b[from:], blockEnd); i >= 0 {
			return b[:from+i+len(blockEnd)], nil
		}

		seen = len(b)

		_, err = r.Peek(seen + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrHeader
		}

		if err != nil {
			return nil, err
		}
	}
}

// readBody reads a body that must show its own end: the end of the
// connection may have cut it.
func (t *trip) readBody(resp *fasthttp.Response) error {
	length := resp.Header.ContentLength()
	most := int(t.call.MaxReply)

	if length == lengthUnknown && !t.dialect.Unframed() {
		return ErrLength
	}

	// The library takes a limit of zero for none.
	if err := resp.ReadBody(t.reader, max(1, most)); err != nil {
		return err
	}

	if len(resp.Body()) > most {
		return ErrLarge
	}

	if length == lengthChunked {
		return resp.Header.ReadTrailer(t.reader)
	}

	return nil
}
