package cwclose

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwsocket"
)

// Conn is an accepted connection. Its Close returns at once and closes the socket later, as the package
// describes; whoever reads from it meanwhile gets net.ErrClosed.
type Conn struct {
	net.Conn

	closer *Closer
	// reading is held by whoever reads from the socket.
	reading sync.Mutex

	mutex  sync.Mutex
	closed bool
	// ended is set once nothing more comes: the other side has closed its write side, or the
	// connection is broken.
	ended bool
	// failed is set once a write has failed.
	failed bool
	// written is when something was written last.
	written time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()

	if c.isClosed() {
		return 0, net.ErrClosed
	}

	n, err := c.Conn.Read(into)
	if err == nil {
		return n, nil
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return n, net.ErrClosed
	}

	c.ended = c.ended || !errors.Is(err, os.ErrDeadlineExceeded)

	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}

	n, err := c.write(b)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.failed = c.failed || err != nil && !c.closed

	if n > 0 {
		c.written = time.Now()
	}

	return n, err
}

// write writes for as long as what was written is being delivered.
func (c *Conn) write(b []byte) (int, error) {
	stall := c.closer.WriteStall
	if stall == 0 {
		return c.Conn.Write(b)
	}

	written := 0

	for {
		before, _ := cwsocket.Undelivered(c.Conn) // Without it, only what the socket takes is progress.

		if err := c.SetWriteDeadline(time.Now().Add(stall)); err != nil {
			return written, err
		}

		n, err := c.Conn.Write(b[written:])
		written += n

		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}

		if after, _ := cwsocket.Undelivered(c.Conn); n == 0 && after >= before {
			return written, err
		}
	}
}

func (c *Conn) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.closed
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetReadDeadline, t) }

// setDeadline sets a deadline unless the connection is closing: its drain has deadlines of its own.
func (c *Conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return net.ErrClosed
	}

	return set(t)
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return nil
	}

	c.closed = true
	d := newDrain(c.Conn, c.written, c.ended, c.closer.quiet)

	if d.stage() == settled {
		return c.Conn.Close()
	}

	if !c.failed && closeWrite(c.Conn) == nil && c.closer.begin(c, d) {
		return nil
	}

	err := c.Conn.Close()
	c.closer.end(c, d)

	return err
}

// endReads returns once nobody else reads from the connection, which is closed, any more.
func (c *Conn) endReads() {
	longAgo := time.Unix(1, 0)
	_ = c.Conn.SetReadDeadline(longAgo) // Fails only if the socket is closed, which ends reads, too.

	c.reading.Lock()
	defer c.reading.Unlock()
}

// closeWrite tells the other side that nothing more is written.
func closeWrite(c net.Conn) error {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errNoHalfClose
	}

	return w.CloseWrite()
}

// errNoHalfClose is returned for a connection whose sides can't be closed one by one.
const errNoHalfClose = errors.ConstError("close: the connection has no write side of its own")

// SyscallConn implements syscall.Conn, so that the state of the connection can be asked for.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return cwsocket.Raw(c.Conn) }
