// Package cwdisconnect cancels the work of callers that have disconnected. The HTTP
// library doesn't report that, so each tick peeks at their connections.
package cwdisconnect

import (
	"context"
	"net"
	"sync"

	"carobward.example/carobward/internal/cwsocket"
)

// Watcher watches the connections of callers that wait for work. It is safe for concurrent
// use.
type Watcher struct {
	mutex   sync.Mutex
	callers map[*caller]struct{}
}

// caller is one waiting caller.
type caller struct {
	conn   net.Conn
	cancel context.CancelFunc
	// seen is set by the caller's first tick. Its connection is peeked at from the second
	// tick on, so that short work costs no system call.
	seen bool
}

// New returns a watcher without callers.
func New() *Watcher { return &Watcher{callers: map[*caller]struct{}{}} }

// Watch returns a context derived from ctx that ends when the other side of a TCP
// connection has closed it. The returned function must be called when the work is done.
func (w *Watcher) Watch(ctx context.Context, conn net.Conn) (context.Context, func()) {
	work, cancel := context.WithCancel(ctx)
	c := &caller{conn: conn, cancel: cancel}

	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.callers[c] = struct{}{}

	return work, func() {
		cancel()
		w.mutex.Lock()
		defer w.mutex.Unlock()

		delete(w.callers, c)
	}
}

// Tick cancels the work of callers that have closed their connection. If unread bytes are
// waiting, they are another request, and a close behind them can't be seen.
func (w *Watcher) Tick() {
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
