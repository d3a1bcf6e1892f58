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

// callTimeout is the timeout of a call whose context has no deadline.
const callTimeout = time.Second

// ErrClosed is the error of a call after Close.
const ErrClosed = errors.ConstError("peer: closed")

// Clients sends RPCs to peers over one connection for each peer.
type Clients struct {
	key    Key
	mutex  sync.Mutex
	byPeer map[carobward.Address]*client
	closed bool
}

// client is the connection to one peer.
type client struct {
	rpc    *rpc.Client
	stream *stream
}

// NewClients returns Clients that authenticate with the key. Connections are opened
// when needed.
func NewClients(key Key) *Clients {
	return &Clients{key: key, byPeer: map[carobward.Address]*client{}}
}

// Call calls a method of the peer at an address, such as "Member.Ask". It encodes in
// as the argument and decodes the reply into out, both protocol buffers. It waits
// until the context ends, or for callTimeout if the context has no deadline.
//
// The error is a carobward.Failure. Its verdict is NotRun if no part of the call was
// written to a socket, and Unknown otherwise. It is also Unknown if the method
// returned an error, which is then an rpc.ServerError.
func (c *Clients) Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		ctx = limited
	}

	err := c.callOnce(ctx, to, method, in, out)
	if carobward.VerdictOf(err) == carobward.NotRun && errors.Is(err, rpc.ErrShutdown) {
		// The peer had closed the open connection before anything was sent.
		err = c.callOnce(ctx, to, method, in, out)
	}

	return err
}

// Close closes all connections. Later calls fail.
func (c *Clients) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, cl := range c.byPeer {
		_ = cl.rpc.Close()
	}

	c.closed, c.byPeer = true, nil
}

func (c *Clients) callOnce(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	cl, err := c.client(ctx, to)
	if err != nil {
		return failure(carobward.NotRun, err)
	}

	// The reply is decoded into a separate message: if it arrives after Call has
	// returned, out belongs to the caller again.
	o, reply := &outgoing{message: in}, out.ProtoReflect().New().Interface()
	before := cl.stream.received.Load()
	call := cl.rpc.Go(method, o, reply, make(chan *rpc.Call, 1))

	select {
	case <-call.Done:
	case <-ctx.Done():
		// A single slow call does not close the connection, which other calls
		// share. It is closed only if no message at all has arrived meanwhile.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && cl.stream.received.Load() == before {
			c.drop(to, cl)
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
		c.drop(to, cl)
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
	cl := c.byPeer[to]
	c.mutex.Unlock()

	if cl != nil {
		return cl, nil
	}

	cl, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		_ = cl.rpc.Close()

		return nil, ErrClosed
	}

	if other := c.byPeer[to]; other != nil {
		_ = cl.rpc.Close()

		return other, nil
	}

	c.byPeer[to] = cl

	return cl, nil
}

func (c *Clients) dial(ctx context.Context, to carobward.Address) (*client, error) {
	d := net.Dialer{Timeout: handshakeTimeout}

	n, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}

	s := newStream(n)
	if err := c.handshake(n, s); err != nil {
		_ = n.Close()

		return nil, err
	}

	return &client{rpc: rpc.NewClientWithCodec(&clientCodec{s}), stream: s}, nil
}

func (c *Clients) handshake(n net.Conn, s *stream) error {
	if !c.key.allows(n.RemoteAddr()) {
		return ErrLoopback
	}

	return handshake(n, s, c.key.clientHandshake)
}

func (c *Clients) drop(to carobward.Address, cl *client) {
	_ = cl.rpc.Close()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.byPeer[to] == cl {
		delete(c.byPeer, to)
	}
}
