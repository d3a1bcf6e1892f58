package cwstand

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// LinkShape is what a link does to data, in each direction.
type LinkShape struct {
	// Delay is the one-way delay. Connecting takes no longer.
	Delay time.Duration
	// Rate is how many bytes a second the link carries. Zero means no limit.
	Rate int
	// Window is the receive buffer of its connections to the server, in bytes. Zero means the
	// machine's default.
	Window int
}

// Link is a link between callers and one machine, with a delay and a rate. It holds no more than it
// carries at a time, passes on the end of each direction by itself, and a reset as a reset behind the
// data that came before it.
type Link struct {
	*acceptor
	to    carobward.Address
	shape LinkShape
	gone  chan struct{}
	once  sync.Once

	mutex   sync.Mutex
	servers map[net.Conn]struct{}
}

// NewLink returns a link that accepts connections from the listener until Close.
func NewLink(ln net.Listener, to carobward.Address, shape LinkShape) *Link {
	l := &Link{to: to, shape: shape, gone: make(chan struct{}), servers: map[net.Conn]struct{}{}}
	l.acceptor = accept(ln, l.serve)

	return l
}

// Gone makes the link behave as if the machine had gone: what it holds is dropped, its connections are
// reset, and it accepts none. It may be called more than once.
func (l *Link) Gone() {
	l.once.Do(func() { close(l.gone) })
	l.reset()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	for s := range l.servers {
		reset(s)
	}
}

// Close closes the link and all its connections and waits until they have been served.
func (l *Link) Close() {
	l.Gone()
	l.acceptor.Close()
}

func (l *Link) serve(c net.Conn) {
	s, err := l.dial()
	if err != nil {
		reset(c)

		return
	}

	// What the caller's connection holds counts as on its way, so that it must not be much.
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(l.shape.pieceBytes())
	}

	defer func() {
		_ = s.Close()

		l.mutex.Lock()
		defer l.mutex.Unlock()

		delete(l.servers, s)
	}()

	var group conc.WaitGroup

	caller, server := &linkEnd{Conn: c}, &linkEnd{Conn: s}

	group.Go(func() { l.carry(server, caller) })
	l.carry(caller, server)
	group.Wait()
}

// linkEnd is the connection at one end of a link. Ended is set once the direction to its peer has ended.
type linkEnd struct {
	net.Conn
	ended atomic.Bool
}

// closeWrite ends the direction to the peer.
func (e *linkEnd) closeWrite() {
	e.ended.Store(true)

	if t, ok := e.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// cause returns how the direction from the peer ended. A reset that a write has met shows as the end of the
// data when it is read, but not in the state of the connection.
func (e *linkEnd) cause(err error) error {
	if !errors.Is(err, io.EOF) || e.ended.Load() {
		return err
	}

	if closed, checkErr := isClosed(e.Conn); checkErr != nil || closed {
		return syscall.ECONNRESET
	}

	return err
}

// isClosed reports whether the operating system has no connection any more.
func isClosed(c net.Conn) (bool, error) {
	raw, err := cwsocket.Raw(c)
	if err != nil {
		return false, err
	}

	var (
		info     *unix.TCPInfo
		queryErr error
	)

	if err := raw.Control(func(fd uintptr) { info, queryErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}

	if queryErr != nil {
		return false, queryErr
	}

	return info.State == unix.BPF_TCP_CLOSE, nil
}

// dial connects to the server.
func (l *Link) dial() (net.Conn, error) {
	d := net.Dialer{Control: ReceiveWindow(l.shape.Window)}

	s, err := d.Dial("tcp", string(l.to))
	if err != nil {
		return nil, err
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.servers[s] = struct{}{}

	return s, nil
}

// ReceiveWindow returns a function for net.Dialer.Control that sets the receive buffer of a connection,
// which bounds the window that its peer sees. Zero leaves it as it is.
func ReceiveWindow(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}

		var set error

		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		if err != nil {
			return err
		}

		return set
	}
}

// The pieces in which a link carries data.
const (
	// piecesPerSecond is how many it carries a second where its rate allows no larger ones.
	piecesPerSecond = 500
	minPieceBytes   = 1 << 10
	maxPieceBytes   = 32 << 10
)

// pieceBytes returns the size of a piece.
func (s *LinkShape) pieceBytes() int {
	if s.Rate == 0 {
		return maxPieceBytes
	}

	return min(max(s.Rate/piecesPerSecond, minPieceBytes), maxPieceBytes)
}

// held returns how many pieces are on their way at a time, at the most.
func (s *LinkShape) held() int {
	const most = 64

	if s.Rate == 0 {
		return most
	}

	return min(int(s.Delay.Seconds()*float64(s.Rate))/s.pieceBytes()+1, most)
}

// linkPiece is the data of one read, and the error that ended the direction.
type linkPiece struct {
	due   time.Time
	bytes []byte
	err   error
}

// carry carries data in one direction until that ends.
func (l *Link) carry(to, from *linkEnd) {
	pieces := make(chan linkPiece, l.shape.held())
	done := make(chan struct{})

	var group conc.WaitGroup

	group.Go(func() { l.read(from, pieces, done) })
	l.write(to, from, pieces)
	close(done)
	group.Wait()
}

// read reads pieces at the link's rate.
func (l *Link) read(from *linkEnd, pieces chan<- linkPiece, done <-chan struct{}) {
	next := time.Now()

	for {
		buffer := make([]byte, l.shape.pieceBytes())
		n, err := from.Read(buffer)

		if now := time.Now(); next.Before(now) {
			next = now
		}

		if l.shape.Rate > 0 {
			next = next.Add(time.Duration(n) * time.Second / time.Duration(l.shape.Rate))
		}

		select {
		case pieces <- linkPiece{next.Add(l.shape.Delay), buffer[:n], from.cause(err)}:
		case <-done:
			return
		}

		if err != nil || !l.wait(next) {
			return
		}
	}
}

// write writes pieces when they are due, and ends the direction as it ended at its source.
func (l *Link) write(to, from *linkEnd, pieces <-chan linkPiece) {
	for {
		var p linkPiece

		select {
		case p = <-pieces:
		case <-l.gone:
			return
		}

		if !l.wait(p.due) {
			return
		}

		// If the peer has reset the connection, that is passed on behind what it sent before.
		if _, err := to.Write(p.bytes); err != nil {
			return
		}

		switch {
		case errors.Is(p.err, io.EOF):
			to.closeWrite()

			return
		case p.err != nil:
			reset(to.Conn)
			reset(from.Conn)

			return
		}
	}
}

// wait waits until a time and returns true, or returns false if the machine has gone.
func (l *Link) wait(until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return true
	}

	timer := time.NewTimer(left)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-l.gone:
		return false
	}
}
