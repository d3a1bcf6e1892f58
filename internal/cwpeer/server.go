package cwpeer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

// The bounds of a Server.
const (
	connsMost = 1024
	// greetMost bounds the connections whose other side is not known yet.
	greetMost = 128
	// callsMost bounds the calls that run at once for one connection.
	callsMost = 256
)

// Server answers peers.
type Server struct {
	key   Key
	rpc   *rpc.Server
	log   logr.Logger
	greet chan struct{}
	mutex sync.Mutex
	// conns is nil once the server is closed.
	conns map[net.Conn]bool
}

// NewServer returns a server that lets in who has the key.
func NewServer(key Key, log logr.Logger) *Server {
	return &Server{
		key: key, rpc: rpc.NewServer(), log: log.WithName("peer"),
		greet: make(chan struct{}, greetMost), conns: map[net.Conn]bool{},
	}
}

// Register adds a service whose methods peers may call. Arguments and replies
// are protocol buffers. It must be called before Serve.
func (s *Server) Register(name string, service any) error {
	return errors.Annotate(s.rpc.RegisterName(name, service), "peer")
}

// Serve answers peers on the listener until it is closed, and returns once
// all connections have ended.
func (s *Server) Serve(ln net.Listener) error {
	if !s.key.allows(ln.Addr()) {
		return ErrLoopback
	}

	var group conc.WaitGroup
	defer group.Wait()

	for {
		c, err := ln.Accept()
		if err != nil {
			return errors.Annotate(err, "peer")
		}

		if !s.add(c) {
			_ = c.Close()

			continue
		}

		group.Go(func() { s.serve(c) })
	}
}

// Close ends all connections and refuses new ones. The listener is closed by
// who opened it.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for c := range s.conns {
		_ = c.Close()
	}

	s.conns = nil
}

func (s *Server) add(c net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.conns == nil || len(s.conns) >= connsMost || !s.key.allows(c.RemoteAddr()) {
		return false
	}

	select {
	case s.greet <- struct{}{}:
		s.conns[c] = true

		return true
	default:
		return false
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.remove(c)

	t := newStream(c)
	err := greet(c, t, s.key.greetClient)
	<-s.greet

	if err != nil {
		s.log.Info("A connection was refused.", "from", c.RemoteAddr().String(), "cause", err.Error())

		return
	}

	s.rpc.ServeCodec(&serverCodec{stream: t, slots: make(chan struct{}, callsMost)})
}

func (s *Server) remove(c net.Conn) {
	_ = c.Close()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	delete(s.conns, c)
}
