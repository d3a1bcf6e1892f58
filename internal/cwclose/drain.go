package cwclose

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// The bounds of a connection that is closing.
const (
	// checkInterval is the interval at which it is checked what has been delivered.
	checkInterval = 20 * time.Millisecond
	// stallTimeout is how long the delivery may make no progress.
	stallTimeout = 5 * time.Second
	// quietTimeout is for how long the other side may neither close nor send once all has been delivered.
	// It closes when it has read the end of the stream.
	quietTimeout = time.Second
	// drainTimeout bounds a close as a whole.
	drainTimeout = time.Minute
	// maxDiscardBytes bounds what is read and discarded. It is as long as the largest request body.
	maxDiscardBytes = 64 * carobward.Megabyte
	// drainBufferBytes is how much is read at a time.
	drainBufferBytes = 4 << 10
	// finBytes is what the end of the stream counts among the undelivered bytes. Nobody has to wait for it.
	finBytes = 1
)

// stage is what a closing connection owes to the other side. Later stages matter more.
type stage uint8

const (
	// settled: nothing.
	settled stage = iota
	// delivered: the other side's operating system has all, but the other side may not have read it yet.
	delivered
	// undelivered: something has not arrived.
	undelivered
)

// drain is the state of a connection that is closing.
type drain struct {
	began time.Time
	// quiet is for how long something that was delivered may not have been read.
	quiet time.Duration

	// undelivered is a number of bytes, and recentUntil a time in Unix nanoseconds: until then
	// something was written or delivered so lately that the other side may not have read it.
	undelivered atomic.Int64
	recentUntil atomic.Int64

	// ended reports that the other side has closed its write side, reset that it has reset the connection.
	ended, reset bool
	discarded    carobward.ByteCount
	// delivery is when something was delivered last, came when something came last.
	delivery, came time.Time
}

// newDrain returns the state of a connection before its write side is shut down. Written is when
// something was written last, ended reports that nothing more comes.
func newDrain(c net.Conn, written time.Time, ended bool, quiet time.Duration) *drain {
	now := time.Now()
	d := &drain{began: now, quiet: quiet, ended: ended, delivery: now, came: now}

	if !ended && !written.IsZero() {
		d.recentUntil.Store(written.Add(quiet).UnixNano())
	}

	// An error means that the connection is broken, or that the platform doesn't tell.
	n, _ := cwsocket.Undelivered(c)
	d.undelivered.Store(int64(n))

	return d
}

// stage returns what the connection owes.
func (d *drain) stage() stage {
	switch {
	case d.undelivered.Load() > 0:
		return undelivered
	case time.Now().UnixNano() < d.recentUntil.Load():
		return delivered
	default:
		return settled
	}
}

// before reports whether a connection is closed before another if there are too many: the one that owes
// less, else the one that has been closing for longer.
func (d *drain) before(other *drain) bool {
	own, others := d.stage(), other.stage()
	if own != others {
		return own < others
	}

	return d.began.Before(other.began)
}

// run reads and discards what comes until the other side has closed and has all that was written, or a
// bound is reached. The connection's write side is shut down.
func (d *drain) run(c net.Conn) {
	buffer := make([]byte, drainBufferBytes)

	for {
		wait := d.patience(time.Now())
		if wait <= 0 || d.discarded >= maxDiscardBytes || d.ended && d.undelivered.Load() == 0 {
			return
		}

		if !d.await(c, buffer, wait) || !d.check(c) {
			return
		}
	}
}

// patience returns for how much longer nothing may happen.
func (d *drain) patience(now time.Time) time.Duration {
	left := d.began.Add(drainTimeout).Sub(now)

	if d.undelivered.Load() > 0 {
		return min(left, checkInterval, d.delivery.Add(stallTimeout).Sub(now))
	}

	last := d.delivery
	if d.came.After(last) {
		last = d.came
	}

	return min(left, last.Add(quietTimeout).Sub(now))
}

// await reads what comes within a time, or waits if nothing comes any more. It returns false if the
// connection is broken or the closer has closed it.
func (d *drain) await(c net.Conn, buffer []byte, wait time.Duration) bool {
	if d.ended {
		<-time.After(wait)

		d.reset = cwsocket.IsOver(c)

		return !d.reset
	}

	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return false
	}

	n, err := c.Read(buffer)
	d.discarded += carobward.ByteCount(n)

	if n > 0 {
		d.came = time.Now()
	}

	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case errors.Is(err, io.EOF):
		d.ended = true
		d.recentUntil.Store(0) // Who closes has read what it wants.

		return true
	default:
		d.reset = !errors.Is(err, net.ErrClosed)

		return false
	}
}

// check finds out what has been delivered meanwhile. It returns false if the connection is closed.
func (d *drain) check(c net.Conn) bool {
	n, err := cwsocket.Undelivered(c)
	if errors.Is(err, net.ErrClosed) {
		return false
	}

	// With another error the platform doesn't tell, and n is zero.
	left := max(0, int64(n)-finBytes)

	if now := time.Now(); left < d.undelivered.Load() {
		d.delivery = now

		if !d.ended {
			d.recentUntil.Store(now.Add(d.quiet).UnixNano())
		}
	}

	d.undelivered.Store(left)

	return true
}
