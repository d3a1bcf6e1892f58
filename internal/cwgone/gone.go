// Package cwgone cancels the work of callers that have gone. The HTTP library
// does not tell of them, so each tick looks at their connections.
package cwgone

import (
	"context"
	"net"
	"sync"

	"carobward.example/carobward/internal/cwsocket"
)

// Table is the table of callers that wait for work. It is safe for use by
// several goroutines.
type Table struct {
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

// New returns an empty table.
func New() *Table { return &Table{callers: map[*caller]struct{}{}} }

// Wait returns a context below ctx that ends when the other side of a TCP
// connection has gone. The function must be called when its work is done.
func (w *Table) Wait(ctx context.Context, conn net.Conn) (context.Context, func()) {
	work, cancel := context.WithCancel(ctx)
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

// Tick cancels the work of callers that have closed their connection. Bytes
// that wait are another request, behind which a close cannot be seen.
func (w *Table) Tick() {
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
