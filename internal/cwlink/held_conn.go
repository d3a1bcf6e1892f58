package cwlink

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// HeldConn is a connection to a server that has been taken out of its pool. It carries
// one call at a time and must be released.
type HeldConn struct {
	link *Link
	pool *pool
	conn *conn
	// reusable reports that no bytes are pending in either direction, so the
	// connection may carry another call.
	reusable bool
	// streaming reports that the connection now belongs to a streamed body.
	streaming bool
	// reused reports that the connection had carried a call before it was held.
	reused bool
}

// Hold returns a connection to a server: an idle one, or a new one that is
// opened before the deadline. If fresh is set, idle connections are not used.
// The error is a Failure with the verdict NotRun.
func (l *Link) Hold(ctx context.Context, to carobward.Address, deadline time.Time, fresh bool) (*HeldConn, error) {
	p, err := l.pool(to)
	if err != nil {
		return nil, notRunFailure(err)
	}

	c, err := l.conn(ctx, p, deadline, fresh)
	if err != nil {
		return nil, notRunFailure(err)
	}

	return &HeldConn{link: l, pool: p, conn: c, reusable: true, reused: !c.lastUsed.IsZero()}, nil
}

// HasRecent reports whether the idle connection to a server that was used last carried a reply since
// a time. ConnState tells whether it is usable.
func (l *Link) HasRecent(to carobward.Address, since time.Time) bool {
	p := l.knownPool(to)

	return p != nil && p.hasRecent(since)
}

// HoldRecent returns an idle connection to a server that carried a reply since a time, or nil.
func (l *Link) HoldRecent(to carobward.Address, since time.Time) *HeldConn {
	p := l.knownPool(to)
	if p == nil {
		return nil
	}

	c := p.takeRecent(since, l.clock.Now(), l.idleLimits())
	if c == nil {
		return nil
	}

	return &HeldConn{link: l, pool: p, conn: c, reusable: true, reused: true}
}

// ConnState reports whether there is a usable idle connection to a server, and else whether
// there are connections that are all in use. Another call may change that right after.
func (l *Link) ConnState(to carobward.Address) (idle, inUse bool) {
	p := l.knownPool(to)
	if p == nil {
		return false, false
	}

	return p.state(l.clock.Now(), l.idleLimits())
}

// Exchange sends a call once over the connection and returns the complete
// reply, or a Failure. The verdict is NotRun only if the kernel accepted no
// byte of the call. The connection is closed when ctx ends.
func (h *HeldConn) Exchange(ctx context.Context, call *carobward.Call) (*carobward.Reply, error) {
	if !h.reusable {
		return nil, notRunFailure(ErrNotReusable)
	}

	began := h.link.clock.Now()
	stop := context.AfterFunc(ctx, func() { _ = h.conn.Close() })
	t := h.link.newRoundTrip(h.conn.Conn, call)
	t.first = h.conn.lastReply.IsZero()
	reply, err := t.run()

	if err == nil {
		h.conn.lastReply = h.link.clock.Now()
	}

	if s, ok := bodyStream(reply); ok && err == nil {
		return h.handOver(reply, s, t, stop)
	}

	h.link.releaseBuffers(&t)

	// If the context has ended, its function has closed the connection or is
	// about to.
	h.reusable = stop() && err == nil && t.persistent

	if err != nil && t.sent == 0 {
		return nil, notRunFailure(err)
	}

	if err != nil {
		h.closeSuspects(call, began, cwframe.IsTimeout(err) || errors.Is(ctx.Err(), context.DeadlineExceeded))

		return nil, carobward.NewFailure(carobward.Unknown, failureStatus(err), 0, err)
	}

	if reply.KeepAlive > 0 {
		h.conn.keepAlive = reply.KeepAlive
	}

	return reply, nil
}

// bodyStream returns the body of a streamed reply and reports whether the reply is
// streamed.
func bodyStream(r *carobward.Reply) (*stream, bool) {
	if r == nil || r.Stream == nil {
		return nil, false
	}

	s, ok := r.Stream.ReadCloser.(*stream)

	return s, ok
}

// handOver passes the connection and the buffers to a streamed body. From then on
// the call's deadline bounds reading the body, and the end of the context does not.
func (h *HeldConn) handOver(r *carobward.Reply, s *stream, t roundTrip, stop func() bool) (*carobward.Reply, error) {
	h.reusable = false
	s.roundTrip, s.persistent = t, t.persistent
	s.held = &HeldConn{link: h.link, pool: h.pool, conn: h.conn}
	h.streaming = true

	if !stop() {
		// The context ended and has closed the connection.
		_ = s.Close()

		return nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, context.Canceled)
	}

	if r.KeepAlive > 0 {
		h.conn.keepAlive = r.KeepAlive
	}

	return r, nil
}

// closeSuspects closes the connections that were already idle when a health
// check began, if that check timed out on a reused connection. Servers answer
// health checks at once, so the other connections may be dead as well, for
// example because a device on the path has lost its connection state. A request
// that times out says nothing about other connections: the server may be slow.
func (h *HeldConn) closeSuspects(call *carobward.Call, began time.Time, late bool) {
	if late && call.HealthCheck && h.reused {
		h.pool.closeIdleSince(began)
	}
}

// Reusable reports whether the connection may carry another call. A server may
// close it with its reply.
func (h *HeldConn) Reusable() bool { return h.reusable }

// Reused reports whether the connection had carried a call before it was held. It
// returns false if h is nil.
func (h *HeldConn) Reused() bool { return h != nil && h.reused }

// Release returns the connection to its pool if it may carry another call, and
// closes it otherwise.
func (h *HeldConn) Release() {
	if h.streaming {
		return
	}

	if h.reusable {
		h.pool.put(h.conn, h.link.clock.Now(), h.link.maxConns())
	} else {
		h.pool.drop(h.conn)
	}
}

// conn returns an idle connection, or opens one if none is usable.
func (l *Link) conn(ctx context.Context, p *pool, deadline time.Time, fresh bool) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}

	now := l.clock.Now()
	limits := l.idleLimits()

	if fresh {
		limits = idleLimits{}
	}

	c, err := p.take(now, limits, l.maxConns())
	if c != nil || err != nil {
		return c, err
	}

	d := net.Dialer{Deadline: now.Add(min(l.options.DialTimeout, deadline.Sub(now)))}

	n, err := l.options.Dial(ctx, &d, p.address)
	if err != nil {
		p.drop(nil)

		return nil, errors.Annotate(err, "link")
	}

	l.countOpened(p)

	return &conn{Conn: n}, nil
}
