package cwlink

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Errors of a reply that is incomplete, invalid or not a reply to this call.
const (
	ErrNoLength       = errors.ConstError("the reply has no length")
	ErrNoMemory       = errors.ConstError("this entry VM has no memory for the reply now")
	ErrReplyTooLarge  = errors.ConstError("the reply is larger than the target allows")
	ErrHeaderTooLarge = errors.ConstError("the reply's header is too large")
	ErrNoFinalStatus  = errors.ConstError("the reply has no final status")
	ErrTooManyInterim = errors.ConstError("too many interim replies")
	ErrUnnamed        = errors.ConstError("the reply refuses a request and does not say which one")
	ErrWrongID        = carobward.ErrOtherRequest
	ErrTooManyOthers  = errors.ConstError("too many replies to other requests")
)

// maxInterim is the maximum number of interim replies (1xx) before the final one.
const maxInterim = 8

// Special values of the HTTP library's content length.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// maxOtherReplies is the maximum number of replies to other calls that are skipped
// before the reply to this one.
const maxOtherReplies = 2

// read reads the complete reply to this call and reports whether the connection
// may be used again. A server may answer an earlier call twice. In a protocol
// where each reply names its call, the duplicate is skipped, so that a call that
// must not be retried still gets its own reply.
func (t *roundTrip) read() (*carobward.Reply, bool, error) {
	for others := range 1 + maxOtherReplies {
		reply, persistent, err := t.readOne()
		if !errors.Is(err, carobward.ErrOtherRequest) || !t.dialect.AllowsExtraReply() {
			return reply, persistent && others == 0, err
		}
	}

	return nil, false, ErrTooManyOthers
}

// readOne reads one complete reply.
func (t *roundTrip) readOne() (*carobward.Reply, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	resp.Header.SetNoDefaultContentType(true)

	if err := readFinal(t.reader, &resp.Header); err != nil {
		return nil, false, err
	}

	// The header is copied before the body is read, so that trailers cannot
	// add to it.
	reply := &carobward.Reply{Status: resp.StatusCode(), Header: cwframe.Copy(resp.Header.All(), cwframe.KeepAll)}

	dialectErr := t.dialect.Read(t.call, reply, t.clock.Now())
	if dialectErr == nil && !t.ownRefusal(reply) {
		dialectErr = ErrUnnamed
	}

	skip := t.dialect.AllowsExtraReply() && errors.Is(dialectErr, carobward.ErrOtherRequest)

	if dialectErr != nil && !skip {
		return nil, false, dialectErr
	}

	if !bodiless(t.call.Method, reply.Status) {
		if err := t.takeBody(reply, resp.Header.ContentLength(), skip); err != nil {
			return nil, false, err
		}
	}

	if reply.Stream != nil {
		return reply, !resp.ConnectionClose(), nil
	}

	// After a refusal without a name the connection carries no further call: a second copy of it could
	// not be told from the refusal of that call.
	persistent := !resp.ConnectionClose() && t.reader.Buffered() == 0 && !reply.Unnamed

	return reply, persistent, dialectErr
}

// ownRefusal reports whether a reply that refuses a call is surely the reply to this one. One that names no call may
// be that of a health check which took the second copy of an earlier reply for its own.
func (t *roundTrip) ownRefusal(r *carobward.Reply) bool {
	return !r.Unnamed || t.call.HealthCheck || t.first
}

// bodiless reports whether a reply has no body regardless of its Content-Length,
// RFC 9112, 6.3.
func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readFinal reads header blocks up to the first that is not interim.
func readFinal(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := readHeader(r, h); err != nil {
			return err
		}

		switch status := h.StatusCode(); {
		case cwframe.IsFinal(status):
			return nil
		case status == fasthttp.StatusSwitchingProtocols:
			return ErrNoFinalStatus
		}
	}

	return ErrTooManyInterim
}

// lineEnd ends each line of a header block.
var lineEnd = []byte("\r\n")

// readHeader validates one header block and parses it.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	block, err := cwframe.PeekBlock(r)
	if errors.Is(err, cwframe.ErrBlockSize) {
		return ErrHeaderTooLarge
	}

	if err != nil {
		return err
	}

	if _, err := cwframe.CheckReply(block); err != nil {
		return err
	}

	return h.Read(r)
}

// takeBody reads the body of a reply, or its begin if the rest is streamed. Unless the dialect allows
// it, the length must not be left to the end of the connection, which may have truncated the body.
func (t *roundTrip) takeBody(reply *carobward.Reply, length int, skip bool) error {
	body, err := t.newBody(length)
	if err != nil {
		return err
	}

	streamed := !skip && t.streams(reply.Status, length)
	if streamed && length >= 0 {
		return t.streamBody(reply, body, length)
	}

	held, err := t.readBody(body, length, streamed)
	if length >= 0 && !skip && errors.Is(err, ErrNoMemory) && t.mayStream(reply.Status) { // Nothing of it was read.
		return t.streamBody(reply, body, length)
	}

	if err != nil {
		return err
	}

	if skip {
		held.release()
	} else {
		t.setBody(reply, held, body)
	}

	return nil
}

// streamBody sets the body of a reply to a stream of a known length.
func (t *roundTrip) streamBody(reply *carobward.Reply, body io.Reader, length int) error {
	if length > int(t.call.MaxReply) {
		return ErrReplyTooLarge
	}

	reply.Stream = &carobward.Stream{ReadCloser: &stream{body: body, left: length, fixed: true}, Length: length}

	return nil
}

// setBody sets the body of a reply to what is held, or to a stream that begins with it.
func (t *roundTrip) setBody(reply *carobward.Reply, held *held, rest io.Reader) {
	if held.taken > 0 {
		reply.Release = sync.OnceFunc(held.release)
	}

	if !held.more {
		reply.Body = held.bytes

		return
	}

	all := io.MultiReader(bytes.NewReader(held.bytes), rest)
	reply.Stream = &carobward.Stream{ReadCloser: &stream{body: all, left: int(t.call.MaxReply)}, Length: carobward.UnknownLength}
}
