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

// Held is a connection to a server that is held for one caller of this
// package. It carries one call at a time and must be released.
type Held struct {
	link *Link
	pool *pool
	conn *conn
	// whole tells that nothing is outstanding on the connection, so that it
	// may carry another call.
	whole bool
	// passed tells that a body that is passed on has the connection now.
	passed bool
	// used tells that it had carried a call before.
	used bool
}

// Hold returns a connection to a server: an idle one, or a new one that is
// opened before the deadline. Fresh refuses idle ones. The error is a Failure
// with the verdict NotRun.
func (l *Link) Hold(ctx context.Context, to carobward.Address, deadline time.Time, fresh bool) (*Held, error) {
	p, err := l.pool(to)
	if err != nil {
		return nil, notRun(err)
	}

	c, err := l.conn(ctx, p, deadline, fresh)
	if err != nil {
		return nil, notRun(err)
	}

	return &Held{link: l, pool: p, conn: c, whole: true, used: !c.used.IsZero()}, nil
}

// HasIdle tells whether there is an idle connection to a server that may be
// used. It may be gone a moment later.
func (l *Link) HasIdle(to carobward.Address) bool {
	l.mutex.RLock()
	p := l.pools[to]
	l.mutex.RUnlock()

	return p != nil && p.hasIdle(l.clock.Now(), l.idling())
}

// Exchange sends a call once over the connection and returns the whole reply,
// or a Failure. It is NotRun only where the kernel took no byte of the call.
// When ctx ends the connection is closed.
func (h *Held) Exchange(ctx context.Context, call *carobward.Call) (*carobward.Reply, error) {
	if !h.whole {
		return nil, notRun(ErrSpent)
	}

	began := h.link.clock.Now()
	stop := context.AfterFunc(ctx, func() { _ = h.conn.Close() })
	t := h.link.trip(h.conn.Conn, call)
	reply, err := t.run()

	if s, ok := passes(reply); ok && err == nil {
		return h.pass(reply, s, t, stop)
	}

	h.link.end(&t)

	// A context that ended has closed the connection or is about to.
	h.whole = stop() && err == nil && t.again

	if err != nil && t.sent == 0 {
		return nil, notRun(err)
	}

	if err != nil {
		h.distrust(call, began, cwframe.IsTimeout(err) || errors.Is(ctx.Err(), context.DeadlineExceeded))

		return nil, carobward.NewFailure(carobward.Unknown, status(err), 0, err)
	}

	if reply.Keep > 0 {
		h.conn.keep = reply.Keep
	}

	return reply, nil
}

// passes returns the body that a reply passes on as it comes, if it does.
func passes(r *carobward.Reply) (*stream, bool) {
	if r == nil || r.Stream == nil {
		return nil, false
	}

	s, ok := r.Stream.ReadCloser.(*stream)

	return s, ok
}

// pass leaves the connection and the buffers to a body that is passed on. The end of
// the context breaks it off no more; the call's deadline does.
func (h *Held) pass(r *carobward.Reply, s *stream, t trip, stop func() bool) (*carobward.Reply, error) {
	h.whole = false
	s.trip, s.again = t, t.again
	s.held = &Held{link: h.link, pool: h.pool, conn: h.conn}
	h.passed = true

	if !stop() {
		// The context ended and has closed the connection.
		_ = s.Close()

		return nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, context.Canceled)
	}

	if r.Keep > 0 {
		h.conn.keep = r.Keep
	}

	return r, nil
}

// distrust closes the connections that were idle when a health check began that
// got no answer over a used one. Servers answer those at once, so what lost it
// may have silenced the others as well: a path that forgot its connections, say.
// A request without an answer says nothing of others.
func (h *Held) distrust(call *carobward.Call, began time.Time, late bool) {
	if late && call.Look && h.used {
		h.pool.retire(began)
	}
}

// Whole tells whether the connection may carry another call. A server may end
// it with its reply.
func (h *Held) Whole() bool { return h.whole }

// Used tells whether the connection had carried a call before it was held. It is
// false where there is none.
func (h *Held) Used() bool { return h != nil && h.used }

// Release gives the connection back if it may carry another call, and closes
// it else.
func (h *Held) Release() {
	if h.passed {
		return
	}

	if h.whole {
		h.pool.put(h.conn, h.link.clock.Now(), h.link.most())
	} else {
		h.pool.drop(h.conn)
	}
}

// conn returns an idle connection, or opens one.
func (l *Link) conn(ctx context.Context, p *pool, deadline time.Time, fresh bool) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}

	now := l.clock.Now()
	bounds := l.idling()

	if fresh {
		bounds = idling{}
	}

	c, err := p.take(now, bounds, l.most())
	if c != nil || err != nil {
		return c, err
	}

	d := net.Dialer{Deadline: now.Add(min(l.options.Dial, deadline.Sub(now)))}

	n, err := d.DialContext(ctx, "tcp", string(p.address))
	if err != nil {
		p.drop(nil)

		return nil, errors.Annotate(err, "link")
	}

	return &conn{Conn: n}, nil
}
