// Package cwclose closes the connections that a listener has accepted.
package cwclose

import (
	"net"
	"sync"
	"syscall"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// Closer closes connections. It is safe for concurrent use.
type Closer struct {
	log logr.Logger
}

// New returns a closer.
func New(log logr.Logger) *Closer { return &Closer{log: log.WithName("close")} }

// Wrap returns a connection whose Close goes through the closer.
func (l *Closer) Wrap(c net.Conn) *Conn { return &Conn{Conn: c, closer: l} }

// Conn is a connection that a listener has accepted.
type Conn struct {
	net.Conn

	closer *Closer
	once   sync.Once
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error {
	var err error

	c.once.Do(func() {
		c.logLeft()
		err = c.Conn.Close()
	})

	return err
}

// logLeft logs what a close leaves behind: bytes that nobody has read make it a reset, which drops
// those that the caller hasn't got yet.
func (c *Conn) logLeft() {
	unread, err := cwsocket.Unread(c.Conn)
	if err != nil {
		unread = carobward.UnknownLength
	}

	undelivered, err := cwsocket.Undelivered(c.Conn)
	if err != nil {
		undelivered = carobward.UnknownLength
	}

	if unread > 0 || undelivered > 0 {
		c.closer.log.Info("A connection is closed with bytes left on it.", "with", c.RemoteAddr().String(), "unread", unread, "undelivered", undelivered)
	}
}

// SyscallConn implements syscall.Conn, so that the state of the connection can be asked for.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return cwsocket.Raw(c.Conn)
}
