package cwpeer

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
)

// callTimeout bounds a call whose context has no deadline.
const callTimeout = time.Second

// ErrClosed tells that the connections have been closed for good.
const ErrClosed = errors.ConstError("peer: closed")

// Clients holds the connections to peers.
type Clients struct {
	key    Key
	mutex  sync.Mutex
	byPeer map[carobward.Address]*client
	closed bool
}

// client is one connection.
type client struct {
	rpc    *rpc.Client
	stream *stream
}

// NewClients returns no connections yet.
func NewClients(key Key) *Clients {
	return &Clients{key: key, byPeer: map[carobward.Address]*client{}}
}

// Call calls a method of the peer at an address, such as "Member.Ask", with
// protocol buffers in and out. The context's deadline bounds it.
//
// The error is a carobward.Failure: NotRun if nothing of the call was handed
// to a socket, otherwise Unknown, also for an error that the method returned,
// which is an rpc.ServerError.
func (c *Clients) Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		ctx = limited
	}

	err := c.once(ctx, to, method, in, out)
	if carobward.VerdictOf(err) == carobward.NotRun && errors.Is(err, rpc.ErrShutdown) {
		// The peer had closed the kept connection. Nothing was sent.
		err = c.once(ctx, to, method, in, out)
	}

	return err
}

// Close ends all connections for good.
func (c *Clients) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, l := range c.byPeer {
		_ = l.rpc.Close()
	}

	c.closed, c.byPeer = true, nil
}

func (c *Clients) once(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	l, err := c.client(ctx, to)
	if err != nil {
		return failure(carobward.NotRun, err)
	}

	// A late reply is decoded into a message of its own, never into one that
	// the caller has taken back.
	o, reply := &outgoing{message: in}, out.ProtoReflect().New().Interface()
	before := l.stream.received.Load()
	call := l.rpc.Go(method, o, reply, make(chan *rpc.Call, 1))

	select {
	case <-call.Done:
	case <-ctx.Done():
		// One slow call does not cost the others their connection, unless
		// nothing at all has come in meanwhile.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && l.stream.received.Load() == before {
			c.drop(to, l)
		}

		return failure(carobward.Unknown, ctx.Err())
	}

	if call.Error == nil {
		proto.Reset(out)
		proto.Merge(out, reply)

		return nil
	}

	var answered rpc.ServerError
	if !errors.As(call.Error, &answered) {
		c.drop(to, l)
	}

	if !o.sent.Load() {
		return failure(carobward.NotRun, call.Error)
	}

	return failure(carobward.Unknown, call.Error)
}

func failure(v carobward.Verdict, err error) error {
	return carobward.NewFailure(v, http.StatusBadGateway, 0, errors.Annotate(err, "peer"))
}

func (c *Clients) client(ctx context.Context, to carobward.Address) (*client, error) {
	c.mutex.Lock()
	l := c.byPeer[to]
	c.mutex.Unlock()

	if l != nil {
		return l, nil
	}

	l, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		_ = l.rpc.Close()

		return nil, ErrClosed
	}

	if other := c.byPeer[to]; other != nil {
		_ = l.rpc.Close()

		return other, nil
	}

	c.byPeer[to] = l

	return l, nil
}

func (c *Clients) dial(ctx context.Context, to carobward.Address) (*client, error) {
	d := net.Dialer{Timeout: greetTimeout}

	n, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}

	s := newStream(n)
	if err := c.greet(n, s); err != nil {
		_ = n.Close()

		return nil, err
	}

	return &client{rpc: rpc.NewClientWithCodec(&clientCodec{s}), stream: s}, nil
}

func (c *Clients) greet(n net.Conn, s *stream) error {
	if !c.key.allows(n.RemoteAddr()) {
		return ErrLoopback
	}

	return greet(n, s, c.key.greetServer)
}

func (c *Clients) drop(to carobward.Address, l *client) {
	_ = l.rpc.Close()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.byPeer[to] == l {
		delete(c.byPeer, to)
	}
}
