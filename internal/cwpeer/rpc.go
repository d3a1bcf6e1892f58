package cwpeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// callTimeout bounds one call to a peer.
const callTimeout = time.Second

// Service is what a peer may call.
type Service struct {
	table *Table
	clock carobward.Clock
}

// Hello tells a peer of us and hears of it.
func (s *Service) Hello(in *cwwire.Peer, out *cwwire.Peer) error {
	s.table.Heard(fromWire(in), s.clock.Now())

	self := toWire(s.table.Self())
	out.Id, out.Incarnation, out.Domain = self.Id, self.Incarnation, self.Domain
	out.Callers, out.Lookup, out.Peers, out.Operators = self.Callers, self.Lookup, self.Peers, self.Operators
	out.State, out.Revision = self.State, self.Revision

	return nil
}

// Server answers peers.
type Server struct {
	rpc *rpc.Server
}

// NewServer returns a server whose peers are met in the table.
func NewServer(table *Table, clock carobward.Clock) (*Server, error) {
	s := &Server{rpc: rpc.NewServer()}

	return s, s.Register("Peer", &Service{table: table, clock: clock})
}

// Register adds a service whose methods peers may call. Arguments and replies
// are protocol buffers. It must be called before Serve.
func (s *Server) Register(name string, service any) error {
	return errors.Annotate(s.rpc.RegisterName(name, service), "peer")
}

// Serve answers peers on the listener until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	var group conc.WaitGroup

	for {
		c, err := ln.Accept()
		if err != nil {
			return errors.Annotate(err, "peer")
		}

		group.Go(func() { s.rpc.ServeCodec(&serverCodec{newStream(c)}) })
	}
}

// Clients holds the connections to peers.
type Clients struct {
	mutex  sync.Mutex
	byPeer map[carobward.Address]*rpc.Client
}

// NewClients returns no connections yet.
func NewClients() *Clients {
	return &Clients{byPeer: map[carobward.Address]*rpc.Client{}}
}

// Hello exchanges what we and the peer at an address say of ourselves.
func (c *Clients) Hello(ctx context.Context, to carobward.Address, self carobward.Peer) (carobward.Peer, error) {
	out := &cwwire.Peer{}
	err := c.Call(ctx, to, "Peer.Hello", toWire(self), out)

	return fromWire(out), err
}

// Call calls a method of the peer at an address, such as "Peer.Hello". The
// error does not tell whether the method ran.
func (c *Clients) Call(ctx context.Context, to carobward.Address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	client, err := c.client(ctx, to)
	if err != nil {
		return err
	}

	call := client.Go(method, in, out, make(chan *rpc.Call, 1))

	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}

		c.drop(to, client)

		return errors.Annotate(call.Error, "peer")
	case <-ctx.Done():
		c.drop(to, client)

		return errors.Annotate(ctx.Err(), "peer")
	}
}

func (c *Clients) client(ctx context.Context, to carobward.Address) (*rpc.Client, error) {
	c.mutex.Lock()
	client := c.byPeer[to]
	c.mutex.Unlock()

	if client != nil {
		return client, nil
	}

	var d net.Dialer

	n, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, errors.Annotate(err, "peer")
	}

	client = rpc.NewClientWithCodec(&clientCodec{newStream(n)})

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if other := c.byPeer[to]; other != nil {
		_ = client.Close()

		return other, nil
	}

	c.byPeer[to] = client

	return client, nil
}

func (c *Clients) drop(to carobward.Address, client *rpc.Client) {
	_ = client.Close()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.byPeer[to] == client {
		delete(c.byPeer, to)
	}
}
