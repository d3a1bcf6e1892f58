package cwlink

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Options bound the connections.
type Options struct {
	// Conns is the most connections to one server.
	Conns int
	// Keep is how long a connection may be idle and still be used.
	Keep time.Duration
	// Header is the largest reply header in bytes.
	Header carobward.ByteCount
}

// Link is the Servers of the product.
type Link struct {
	options Options
	clock   carobward.Clock

	mutex sync.RWMutex
	pools map[carobward.Address]*pool
}

// New returns a Link without connections.
func New(o Options, clock carobward.Clock) *Link {
	return &Link{options: o, clock: clock, pools: map[carobward.Address]*pool{}}
}

// Exchange sends a call once and returns the whole reply, or a Failure. It
// is NotRun only where no byte was handed to a socket.
func (l *Link) Exchange(ctx context.Context, to carobward.Address, call *carobward.Call) (*carobward.Reply, error) {
	p := l.pool(to)

	c, err := l.conn(ctx, p, call)
	if err != nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, err)
	}

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	reply, again, err := l.roundTrip(c, call)

	if !stop() || err != nil || !again {
		p.drop(c)
	} else {
		p.put(c, l.clock.Now())
	}

	if err != nil {
		return nil, carobward.NewFailure(carobward.Unknown, status(err), 0, err)
	}

	return reply, nil
}

// Tick closes connections that have been idle for too long.
func (l *Link) Tick(now time.Time) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()

	for _, p := range l.pools {
		p.prune(now, l.options.Keep)
	}
}

func status(err error) int {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fasthttp.StatusGatewayTimeout
	}

	return fasthttp.StatusBadGateway
}

func (l *Link) pool(to carobward.Address) *pool {
	l.mutex.RLock()
	p := l.pools[to]
	l.mutex.RUnlock()

	if p != nil {
		return p
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if p = l.pools[to]; p == nil {
		p = &pool{address: to, most: l.options.Conns}
		l.pools[to] = p
	}

	return p
}

func (l *Link) conn(ctx context.Context, p *pool, call *carobward.Call) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}

	c, err := p.take(l.clock.Now(), l.options.Keep)
	if c != nil || err != nil {
		return c, err
	}

	d := net.Dialer{Deadline: call.Deadline}

	n, err := d.DialContext(ctx, "tcp", string(p.address))
	if err != nil {
		p.drop(nil)

		return nil, errors.Annotate(err, "link")
	}

	return &conn{Conn: n, reader: bufio.NewReaderSize(n, int(l.options.Header)), writer: bufio.NewWriter(n)}, nil
}

// roundTrip writes the call and reads the reply. It also tells whether the
// connection may be used again.
func (l *Link) roundTrip(c *conn, call *carobward.Call) (*carobward.Reply, bool, error) {
	if err := c.SetDeadline(call.Deadline); err != nil {
		return nil, false, err
	}

	if err := l.write(c, call); err != nil {
		return nil, false, errors.Annotate(err, "link: write")
	}

	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	resp.SkipBody = call.Method == fasthttp.MethodHead

	if err := resp.ReadLimitBody(c.reader, int(call.MaxReply)); err != nil {
		return nil, false, errors.Annotate(err, "link: read")
	}

	reply, err := l.reply(resp, call)
	again := err == nil && !resp.ConnectionClose() && c.reader.Buffered() == 0

	return reply, again, err
}

func (l *Link) write(c *conn, call *carobward.Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)

	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.URI)
	req.Header.SetHost(call.Host)
	req.UseHostHeader = true

	for _, f := range call.Header {
		req.Header.Add(f.Name, f.Value)
	}

	left := call.Deadline.Sub(l.clock.Now()).Milliseconds()
	req.Header.Set(carobward.HeaderID, string(call.ID))
	req.Header.Set(carobward.HeaderTimeout, strconv.FormatInt(max(left, 1), 10))
	req.SetBodyRaw(call.Body)

	if err := req.Write(c.writer); err != nil {
		return err
	}

	return c.writer.Flush()
}

// The errors of a reply that is not whole or not ours.
const (
	ErrLength = errors.ConstError("link: the reply has no length")
	ErrID     = errors.ConstError("link: the reply is to another request")
)

func (l *Link) reply(resp *fasthttp.Response, call *carobward.Call) (*carobward.Reply, error) {
	const untilClose = -2
	if resp.Header.ContentLength() == untilClose && !resp.SkipBody {
		return nil, ErrLength
	}

	if string(resp.Header.Peek(carobward.HeaderID)) != string(call.ID) {
		return nil, ErrID
	}

	r := &carobward.Reply{Status: resp.StatusCode()}
	r.Body = append(r.Body, resp.Body()...)
	r.Report = ParseReport(string(resp.Header.Peek(carobward.HeaderReport)), l.clock.Now())
	r.Shed = string(resp.Header.Peek(carobward.HeaderVerdict)) == carobward.NotRun.String()

	for k, v := range resp.Header.All() {
		r.Header = append(r.Header, carobward.Field{Name: string(k), Value: string(v)})
	}

	return r, nil
}
