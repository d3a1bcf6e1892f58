package cwpeer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

// Limits of a Server.
const (
	maxConns = 1024
	// maxHandshakes is the maximum number of connections that are not
	// authenticated yet.
	maxHandshakes = 128
	// maxCallsPerConn is the maximum number of calls of one connection that run at
	// the same time.
	maxCallsPerConn = 256
)

// Server serves RPCs of peers.
type Server struct {
	key        Key
	rpc        *rpc.Server
	log        logr.Logger
	handshakes chan struct{}
	mutex      sync.Mutex
	// conns is nil once the server is closed.
	conns map[net.Conn]bool
}

// NewServer returns a Server that accepts peers with the same key.
func NewServer(key Key, log logr.Logger) *Server {
	return &Server{
		key: key, rpc: rpc.NewServer(), log: log.WithName("peer"),
		handshakes: make(chan struct{}, maxHandshakes), conns: map[net.Conn]bool{},
	}
}

// Register adds a service whose methods peers may call. Their arguments and replies
// must be protocol buffers. Register must be called before Serve.
func (s *Server) Register(name string, service any) error {
	return errors.Annotate(s.rpc.RegisterName(name, service), "peer")
}

// Serve accepts connections on the listener until the listener is closed. It returns
// once all connections have ended.
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

// Close closes all connections and rejects new ones. It does not close the listener.
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

	if s.conns == nil || len(s.conns) >= maxConns || !s.key.allows(c.RemoteAddr()) {
		return false
	}

	select {
	case s.handshakes <- struct{}{}:
		s.conns[c] = true

		return true
	default:
		return false
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.remove(c)

	st := newStream(c)
	err := handshake(c, st, s.key.serverHandshake)
	<-s.handshakes

	if err != nil {
		s.log.Info("A connection was refused.", "from", c.RemoteAddr().String(), "cause", err.Error())

		return
	}

	s.rpc.ServeCodec(&serverCodec{stream: st, slots: make(chan struct{}, maxCallsPerConn)})
}

func (s *Server) remove(c net.Conn) {
	_ = c.Close()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	delete(s.conns, c)
}
