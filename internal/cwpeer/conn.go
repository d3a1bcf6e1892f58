package cwpeer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// Dial opens a connection to a Listener of a peer. Both sides are authenticated before it
// returns; from then on the connection carries what the callers of Dial and Accept agree on.
func (k Key) Dial(ctx context.Context, d *net.Dialer, to carobward.Address) (net.Conn, error) {
	c, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}

	err = ErrLoopback
	if k.allows(c.RemoteAddr()) {
		// The peer sends nothing after the handshake until it is asked, so nothing is left in
		// the buffer of the stream.
		err = handshake(c, newStream(c), k.clientHandshake)
	}

	if err != nil {
		_ = c.Close()

		return nil, err
	}

	return c, nil
}

// Listener accepts connections of peers that have the same key.
type Listener struct {
	net.Listener

	key Key
}

// NewListener returns a listener whose connections are authenticated when they are first read
// from, so that one that is slow to do so does not delay the others.
func NewListener(ln net.Listener, key Key) *Listener { return &Listener{Listener: ln, key: key} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &serverConn{Conn: c, key: l.key, stream: newStream(c)}, nil
}

// serverConn is the accepted side of a connection.
type serverConn struct {
	net.Conn

	key    Key
	stream *stream
	once   sync.Once
	err    error

	mutex sync.Mutex
	// readUntil is the deadline of reads, which the handshake has to leave as it was.
	readUntil time.Time
}

// Read authenticates the peer and then reads. It fails if the peer has another key.
func (c *serverConn) Read(into []byte) (int, error) {
	c.once.Do(c.authenticate)

	if c.err != nil {
		return 0, c.err
	}

	return c.stream.reader.Read(into)
}

func (c *serverConn) authenticate() {
	if !c.key.allows(c.RemoteAddr()) {
		c.err = ErrLoopback

		return
	}

	c.err = handshake(c.Conn, c.stream, c.key.serverHandshake)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.err == nil {
		c.err = errors.Annotate(c.Conn.SetReadDeadline(c.readUntil), "peer")
	}
}

// SetDeadline implements net.Conn.
func (c *serverConn) SetDeadline(t time.Time) error {
	c.keepReadDeadline(t)

	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.keepReadDeadline(t)

	return c.Conn.SetReadDeadline(t)
}

func (c *serverConn) keepReadDeadline(t time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.readUntil = t
}

// SyscallConn implements syscall.Conn, so that the state of the connection can be peeked at.
func (c *serverConn) SyscallConn() (syscall.RawConn, error) {
	return cwsocket.Raw(c.Conn)
}
