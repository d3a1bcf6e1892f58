package cwfront

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwmemory"
)

// The sizes of what is read of a request.
const (
	// smallHeader is a header that every connection has memory for, and smallBody a body that may use the
	// reserve of the budget.
	smallHeader = 4 << 10
	smallBody   = 4 << 10
	// headerCopies is how often a header is held: as it came, parsed, and as it is sent.
	headerCopies = 3
	// firstBlock and maxBlock are the sizes of the blocks of a body. A body of unknown length begins with a
	// small one, and each one is twice as large as the one before.
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
	// stepBytes is how much of a body has to come in the operators' idle timeout.
	stepBytes = 4 << 10
	// defaultIdle replaces the operators' idle timeout before there is a configuration.
	defaultIdle = 15 * time.Second
)

// memoryRetryAfter is when a caller may retry whose request found no memory: other requests of its size have
// ended mostly.
const memoryRetryAfter = 500 * time.Millisecond

// body is the body of a request, for which memory is taken from the budget as it is read.
type body struct {
	carobward.Body

	budget *cwmemory.Budget
	taken  carobward.ByteCount
	// refusal is the failure of the request if the body was not read.
	refusal error
	// holders is how many use it: the handler and each send. The last one gives the memory back.
	holders atomic.Int32
}

// newBody returns a body without bytes, which the handler holds.
func newBody(b *cwmemory.Budget) *body {
	one := &body{budget: b}
	one.holders.Store(1)

	return one
}

// hold keeps the memory until one more release.
func (b *body) hold() {
	if b != nil {
		b.holders.Add(1)
	}
}

// release gives the memory back if nobody else holds it.
func (b *body) release() {
	if b != nil && b.holders.Add(-1) == 0 {
		b.budget.Give(b.taken)
	}
}

// take takes memory for more bytes.
func (b *body) take(n int) error {
	size := carobward.ByteCount(n)

	take := b.budget.Take
	if b.taken+size <= smallBody {
		take = b.budget.TakeSmall
	}

	if take(size) {
		b.taken += size

		return nil
	}

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, memoryRetryAfter, ErrNoMemory)
}

// headerReceived has nothing read of a body that is announced to be larger than the limit before the handler is
// called, so that it is refused at once. See fasthttp.Server.HeaderReceived.
func (f *Front) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > f.maxBody() {
		h.SetContentLength(0)
	}

	return fasthttp.RequestConfig{}
}

// expect refuses a body that is too large before its sender sends it. See fasthttp.Server.ExpectHandler.
func (f *Front) expect(ctx *fasthttp.RequestCtx) int {
	if length := cwframe.ContentLength(ctx.Request.Header.RawHeaders()); length > f.maxBody() {
		f.Log.Info("A body is refused before it is sent.", "from", addrString(ctx.RemoteAddr()), "length", length)

		return fasthttp.StatusRequestEntityTooLarge
	}

	return fasthttp.StatusContinue
}

// maxBody returns the limit on the bodies of requests in bytes.
func (f *Front) maxBody() int {
	if t := f.routes.Load(); t != nil && t.Limits.Body > 0 {
		return int(min(t.Limits.Body, maxBodyBytes))
	}

	return maxBodyBytes
}

// bodyIdle returns how long a caller may send next to nothing of a body.
func (f *Front) bodyIdle() time.Duration {
	if t := f.routes.Load(); t != nil && t.Limits.Idle > 0 {
		return t.Limits.Idle
	}

	return defaultIdle
}

// readBody reads the body of a request. The error is a carobward.Failure if the request is refused, and else
// that of the connection, on which nothing more can be read.
func (f *Front) readBody(ctx *fasthttp.RequestCtx, t *cwconn.Table, b *body) error {
	h := &ctx.Request.Header

	if err := checkFrame(h); err != nil {
		return err
	}

	if n := len(h.RawHeaders()); n > smallHeader {
		if err := b.take(headerCopies * n); err != nil {
			return err
		}
	}

	length, most := h.ContentLength(), f.maxBody()
	if announced := cwframe.ContentLength(h.RawHeaders()); announced > most || announced > max(length, 0) {
		return tooLarge()
	}

	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		return nil
	}

	r := &bodyReader{body: b, stream: stream, conn: ctx.Conn(), conns: t, clock: f.Clock, idle: f.bodyIdle(), end: f.Clock.Now().Add(readTimeout)}

	return r.read(length, most)
}

func tooLarge() error {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBodyTooLarge)
}

// bodyReader reads one body in blocks.
type bodyReader struct {
	body   *body
	stream io.Reader
	conn   net.Conn
	conns  *cwconn.Table
	clock  carobward.Clock
	// idle is how long the next step may take, and end when the whole body is due.
	idle time.Duration
	end  time.Time
	// total is how many bytes have been read, and due the total at which the next step begins.
	total, due int
}

// read reads a body of a length, which is negative if only the end of the body shows it.
func (r *bodyReader) read(length, most int) error {
	size := firstBlock
	if length > 0 {
		size = maxBlock
	}

	for ; r.total != length; size = min(2*size, maxBlock) {
		left := most + 1 - r.total
		if length > 0 {
			left = length - r.total
		}

		err := r.readBlock(min(size, left))

		switch {
		case r.total > most:
			return tooLarge()
		case errors.Is(err, io.EOF) && r.total < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}

	return nil
}

// readBlock reads one block. The error is io.EOF at the end of the body.
func (r *bodyReader) readBlock(size int) error {
	if err := r.body.take(size); err != nil {
		return err
	}

	block := make([]byte, size)

	for n := 0; n < size; {
		if err := r.extend(); err != nil {
			return err
		}

		got, err := r.stream.Read(block[n:])
		n += got
		r.total += got

		if n == size || err != nil && n > 0 {
			r.body.Body = append(r.body.Body, block[:n])
		}

		if err != nil {
			return err
		}
	}

	return nil
}

// extend gives the caller time for the next step once the last one has come.
func (r *bodyReader) extend() error {
	if r.total < r.due {
		return nil
	}

	r.conns.Progress(r.conn)
	r.due = r.total + stepBytes
	next := r.clock.Now().Add(r.idle)

	if next.After(r.end) {
		next = r.end
	}

	return r.conn.SetReadDeadline(next)
}
