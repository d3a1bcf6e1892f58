package cwentry

import (
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwsocket"
)

// waiting is the table of callers that wait for idempotent work. The HTTP
// library does not tell of a caller that has gone, so each tick looks.
type waiting struct {
	mutex   sync.Mutex
	callers map[*caller]struct{}
}

// caller is one caller that waits.
type caller struct {
	conn   net.Conn
	cancel context.CancelFunc
	// seen tells that the caller was there at an earlier tick already, so
	// that short work is never looked at.
	seen bool
}

// wait returns a context below ctx that ends when the caller of r has gone.
// The function must be called when its work is done.
func (w *waiting) wait(ctx context.Context, r *fasthttp.RequestCtx) (context.Context, func()) {
	work, cancel := context.WithCancel(ctx)

	conn := r.Conn()
	if c, ok := conn.(*counted); ok {
		conn = c.Conn
	}

	one := &caller{conn: conn, cancel: cancel}

	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.callers[one] = struct{}{}

	return work, func() {
		cancel()
		w.mutex.Lock()
		defer w.mutex.Unlock()

		delete(w.callers, one)
	}
}

// tick cancels the work of callers that have closed their connection. Bytes
// that wait are another request, behind which a close cannot be seen.
func (w *waiting) tick() {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	for c := range w.callers {
		if c.seen && cwsocket.Peek(c.conn) == cwsocket.Closed {
			c.cancel()
			delete(w.callers, c)
		}

		c.seen = true
	}
}
