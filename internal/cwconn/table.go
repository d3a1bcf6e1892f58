// Package cwconn tracks the open connections of a listener and what each of them is doing. A
// process that stops can tell which still bring a request, and which wait for an answer.
package cwconn

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Phase is what a connection is doing.
type Phase uint8

// The phases of a connection.
const (
	// Waiting: nothing of the next request has been read.
	Waiting Phase = iota
	// Reading: a part of a request has been read.
	Reading
	// Busy: a whole request has been read, and its answer has not been written yet.
	Busy
)

// MaxClosing is how many connections beyond its bound a server has to allow: those that the table has
// closed end a little later.
const MaxClosing = 64

// Counts are numbers of connections by phase.
type Counts struct{ Waiting, Reading, Busy int }

// Open returns the number of all connections.
func (c Counts) Open() int { return c.Waiting + c.Reading + c.Busy }

// Request is a request in progress on a connection.
type Request struct {
	ID carobward.RequestID
	// Read is when it had been read.
	Read time.Time
}

// conn is the state of one connection.
type conn struct {
	phase   Phase
	request Request
	// since is when it entered its phase, or when more of a request was read.
	since time.Time
	// closed is set once the table has closed it. The server may still find a request in what it
	// had read before.
	closed bool
}

// Table has the open connections of an HTTP server. It is safe for concurrent use.
type Table struct {
	// most is how many connections there may be.
	most  int
	clock carobward.Clock

	mutex sync.Mutex
	// displaced counts the connections that others took the place of.
	displaced int64
	conns     map[net.Conn]*conn
	// closes has the phases in which connections are closed.
	closes map[Phase]bool
}

// New returns an empty table. Beyond the given number of connections, each new one takes the place of the
// one that has waited longest for a request, or else for more of one.
func New(most int, clock carobward.Clock) *Table {
	return &Table{most: most, clock: clock, conns: map[net.Conn]*conn{}, closes: map[Phase]bool{}}
}

// Observe takes a change of a connection's state from the HTTP server, see
// fasthttp.Server.ConnState.
func (t *Table) Observe(c net.Conn, s fasthttp.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	switch s {
	case fasthttp.StateNew:
		if len(t.conns) >= t.most {
			t.closeOne()
		}

		t.conns[c] = &conn{}
		t.setPhase(c, Waiting)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(t.conns, c)
	case fasthttp.StateActive:
		t.setPhase(c, Reading)
	case fasthttp.StateIdle:
		t.setPhase(c, Waiting)
	}
}

// setPhase sets the phase of a connection that is open. The caller must hold the mutex.
func (t *Table) setPhase(c net.Conn, p Phase) {
	one := t.conns[c]
	if one == nil {
		return
	}

	one.phase, one.request, one.since = p, Request{}, t.clock.Now()
	t.closeIn(c, one)
}

// closeOne closes the connection that has waited longest for a request or, if none waits, the one of which
// nothing was read for the longest time. One with a request in progress is never closed. The caller must hold
// the mutex.
func (t *Table) closeOne() {
	var (
		victim net.Conn
		state  *conn
	)

	for c, one := range t.conns {
		if one.phase != Busy && !one.closed && (state == nil || one.before(state)) {
			victim, state = c, one
		}
	}

	if state != nil {
		t.displaced++
		state.closed = true
		_ = victim.Close() // Nothing was promised on it.
	}
}

// before reports whether a connection is closed before another one.
func (c *conn) before(other *conn) bool {
	if c.phase != other.phase {
		return c.phase == Waiting
	}

	return c.since.Before(other.since)
}

// Progress records that more of a request has been read from a connection.
func (t *Table) Progress(c net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if one := t.conns[c]; one != nil {
		one.since = t.clock.Now()
	}
}

// closeIn closes a connection if those in its phase are closed. The caller must hold the mutex.
func (t *Table) closeIn(c net.Conn, one *conn) {
	if t.closes[one.phase] && !one.closed {
		one.closed = true
		_ = c.Close() // Nothing can be done about an error, and nothing was promised on it.
	}
}

// Close closes the connections in a phase, now and from now on.
func (t *Table) Close(p Phase) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.closes[p] = true

	for c, one := range t.conns {
		t.closeIn(c, one)
	}
}

// Begin records that a whole request has been read from a connection. It returns false if the table
// has closed the connection, so that nobody can get the answer.
func (t *Table) Begin(c net.Conn, r Request) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	one := t.conns[c]
	if one == nil {
		return true // The server doesn't report its connections.
	}

	one.phase, one.request = Busy, r

	return !one.closed
}

// Counts returns how many connections are in each phase.
func (t *Table) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var n Counts

	for _, c := range t.conns {
		switch c.phase {
		case Waiting:
			n.Waiting++
		case Reading:
			n.Reading++
		case Busy:
			n.Busy++
		}
	}

	return n
}

// Displaced returns how many connections were closed because others took their places.
func (t *Table) Displaced() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.displaced
}

// Requests returns the requests in progress.
func (t *Table) Requests() []Request {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var list []Request

	for _, c := range t.conns {
		if c.phase == Busy {
			list = append(list, c.request)
		}
	}

	return list
}
