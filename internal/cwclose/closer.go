// Package cwclose closes accepted connections so that the other side gets all that was written to them.
//
// To close a socket on which bytes lie unread resets the connection, and what has not been delivered
// by then is lost. So the write side is shut down first, then what still comes is read and discarded until
// the other side closes, within bounds of time and bytes, and only then the socket is closed. A connection
// that owes nothing to the other side is closed at once: what it may bring is not read, so that its sender
// knows.
package cwclose

import (
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// Options are the dependencies and bounds of a Closer.
type Options struct {
	// MaxConns is how many connections may be closing. Beyond it the one to which it matters least is closed
	// at once.
	MaxConns int
	// WriteStall is how long the delivery of what is being written may make no progress. It replaces the
	// deadlines for writes that the server sets. If it is zero, those hold.
	WriteStall time.Duration
	Log        logr.Logger
}

// Closer closes connections and keeps those that are closing. It is safe for concurrent use.
type Closer struct {
	Options

	// quiet is quietTimeout, but in tests.
	quiet time.Duration
	// done is closed once no connection is closing any more after Close.
	done  chan struct{}
	group conc.WaitGroup

	mutex   sync.Mutex
	closing map[*Conn]*drain
	closed  bool
	counts  Counts
}

// Counts are what a Closer does and has done.
type Counts struct {
	// Closing is how many connections are closing now, MostClosing the largest Closing so far, and Owing on
	// how many of them the other side may lack some of what was written.
	Closing, MostClosing, Owing int
	// Cut is how many connections were closed before all that was written had been delivered, without
	// those that the other side has reset.
	Cut int64
	// Discarded is what came on connections that were closing.
	Discarded carobward.ByteCount
}

// New returns a closer. Close ends it.
func New(o Options) *Closer {
	o.Log = o.Log.WithName("close")

	return &Closer{Options: o, quiet: quietTimeout, done: make(chan struct{}), closing: map[*Conn]*drain{}}
}

// Listen returns a listener whose connections are closed by the closer.
func (l *Closer) Listen(ln net.Listener) net.Listener { return &listener{ln, l} }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener

	closer *Closer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return l.closer.wrap(c), nil
}

// wrap returns a connection whose Close goes through the closer.
func (l *Closer) wrap(c net.Conn) *Conn { return &Conn{Conn: c, closer: l} }

// Counts returns what the closer does and has done.
func (l *Closer) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	n := l.counts
	n.Closing = len(l.closing)

	for _, d := range l.closing {
		if d.stage() != settled {
			n.Owing++
		}
	}

	return n
}

// Close closes the connections that are closing at once. From now on others are closed at once, too.
func (l *Closer) Close() {
	l.mutex.Lock()
	first := !l.closed
	l.closed = true

	for c := range l.closing {
		_ = c.Conn.Close() // Its drain ends and logs what is left.
	}

	l.mutex.Unlock()
	l.group.Wait()

	if first {
		close(l.done)
	}
}

// Done returns a channel that is closed once Close has ended.
func (l *Closer) Done() <-chan struct{} { return l.done }

// begin starts to drain a connection whose write side is shut down. It returns false if the connection is
// to be closed at once.
func (l *Closer) begin(c *Conn, d *drain) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.closed || len(l.closing) >= l.MaxConns && !l.evict(d) {
		return false
	}

	l.closing[c] = d
	l.counts.MostClosing = max(l.counts.MostClosing, len(l.closing))
	l.group.Go(func() {
		c.endReads()
		d.run(c.Conn)
		_ = c.Conn.Close() // Nothing can be done about an error.
		l.end(c, d)
	})

	return true
}

// evict closes the connection to which it matters least, unless that is the new one. The caller must hold
// the mutex.
func (l *Closer) evict(newest *drain) bool {
	var victim *Conn

	least := newest

	for c, d := range l.closing {
		if d.before(least) {
			victim, least = c, d
		}
	}

	if victim == nil {
		return false
	}

	_ = victim.Conn.Close() // Its drain ends and logs what is left.
	delete(l.closing, victim)

	return true
}

// end records what became of a connection that has been closed.
func (l *Closer) end(c *Conn, d *drain) {
	left := carobward.ByteCount(d.undelivered.Load())
	cut := left > 0 && !d.reset

	l.mutex.Lock()
	delete(l.closing, c)
	l.counts.Discarded += d.discarded

	if cut {
		l.counts.Cut++
	}

	l.mutex.Unlock()

	if cut {
		l.Log.Info("A connection is closed with bytes left on it.", "with", c.RemoteAddr().String(), "undelivered", left, "discarded", d.discarded)
	}
}
