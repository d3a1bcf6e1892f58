package cwstand

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Framing is how a reply shows where its body ends.
type Framing string

// The framings of a reply.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunked"
	FramedByClose  Framing = "close"
)

// Reply is the reply of an Upstream to one request. Its body is the beginning of ReplyBody.
type Reply struct {
	// Status is the status line without the version, "200 OK" if it is empty.
	Status  string
	Length  int
	Framing Framing
	// Pieces is in how many pieces the body is written, one if it is zero, and Pause is the time
	// between two of them.
	Pieces int
	Pause  time.Duration
}

// MaxReplyBody is the length of the longest body that a Reply can have, in bytes.
const MaxReplyBody = 10 << 20

// ReplyBody returns bytes without a pattern, which are the same at each call. They must not be changed.
var ReplyBody = sync.OnceValue(func() []byte {
	body := make([]byte, MaxReplyBody)
	// The HTTP library of a caller, the entry VM and this stand-in carry any bytes. The seed is
	// fixed so that both ends know them.
	_, _ = rand.NewChaCha8([32]byte{}).Read(body)

	return body
})

// SetReplyOf sets the reply to each request that the server runs in the mode UpstreamServes, in place
// of the body set by SetBody. The function is called when the reply begins.
func (u *Upstream) SetReplyOf(replyOf func(Run) Reply) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.replyOf = replyOf
}

// write writes the reply and reports whether the connection stays open.
func (r *Reply) write(c net.Conn, headers string) bool {
	framing := map[Framing]string{
		FramedByLength: fmt.Sprintf("Content-Length: %d\r\n", r.Length), FramedByChunks: "Transfer-Encoding: chunked\r\n", FramedByClose: "Connection: close\r\n",
	}[r.Framing]

	status := r.Status
	if status == "" {
		status = "200 OK"
	}

	if !writeReply(c, "HTTP/1.1 %s\r\n%s%s\r\n", status, headers, framing) {
		return false
	}

	body := ReplyBody()[:r.Length]
	pieces := max(r.Pieces, 1)
	size := max(1, (len(body)+pieces-1)/pieces)

	for len(body) > 0 {
		piece := body[:min(size, len(body))]
		body = body[len(piece):]

		if !r.writePiece(c, piece) {
			return false
		}

		if len(body) > 0 {
			time.Sleep(r.Pause)
		}
	}

	return r.end(c)
}

// writePiece writes a part of the body.
func (r *Reply) writePiece(c net.Conn, piece []byte) bool {
	if r.Framing == FramedByChunks {
		return writeReply(c, "%x\r\n%s\r\n", len(piece), piece)
	}

	_, err := c.Write(piece)

	return err == nil
}

// end writes what follows the body.
func (r *Reply) end(c net.Conn) bool {
	switch r.Framing {
	case FramedByChunks:
		return writeReply(c, "0\r\n\r\n")
	case FramedByClose:
		return false
	default:
		return true
	}
}
