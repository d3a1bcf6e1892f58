package cwlink

import (
	"bufio"
	"bytes"
	"strings"

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
	ErrID      = errors.ConstError("the reply is to another request")
)

// interimMost bounds the interim replies (1xx) before the final one.
const interimMost = 8

// The body lengths of the HTTP library that are no number of bytes.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// read reads one whole reply. It also tells whether the connection may be
// used again.
func (t *trip) read() (*carobward.Reply, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	resp.Header.SetNoDefaultContentType(true)

	if err := readFinal(t.reader, &resp.Header); err != nil {
		return nil, false, err
	}

	// The header is taken before the body, so that trailers cannot add to
	// it.
	reply := &carobward.Reply{Status: resp.StatusCode(), Header: cwframe.Copy(resp.Header.All(), cwframe.All)}
	if err := t.own(reply); err != nil {
		return nil, false, err
	}

	if !bodiless(t.call.Method, reply.Status) {
		if err := t.readBody(resp); err != nil {
			return nil, false, err
		}

		reply.Body = resp.SwapBody(nil)
	}

	again := !resp.ConnectionClose() && t.reader.Buffered() == 0

	return reply, again, nil
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

	if length == lengthUnknown {
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

// own checks that the reply is to this call and reads what the server says
// of itself. The call's id must be there once.
func (t *trip) own(reply *carobward.Reply) error {
	ids, verdicts := 0, 0
	shed := true

	for i := range reply.Header {
		f := &reply.Header[i]

		switch {
		case strings.EqualFold(f.Name, carobward.HeaderID):
			if ids++; f.Value != string(t.call.ID) {
				return ErrID
			}
		case strings.EqualFold(f.Name, carobward.HeaderVerdict):
			verdicts++
			shed = shed && carobward.ParseVerdict(f.Value) == carobward.NotRun
		case strings.EqualFold(f.Name, carobward.HeaderReport):
			reply.Report = ParseReport(f.Value, t.clock.Now())
		}
	}

	if ids != 1 {
		return ErrID
	}

	// The word counts only where status and header agree.
	refused := reply.Status == fasthttp.StatusServiceUnavailable || reply.Status == fasthttp.StatusTooManyRequests
	reply.Shed = refused && verdicts > 0 && shed

	return nil
}
