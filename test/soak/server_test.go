package soak

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// server is a backend server behind a proxy.
type server struct {
	instance string
	address  carobward.Address
	domain   carobward.Domain

	mutex sync.Mutex
	// up is the process that runs, ended are those before it.
	up    *cwstand.Upstream
	ended []*cwstand.Upstream
	proxy *cwstand.Proxy
	// start is that of the process, in milliseconds since the Unix epoch.
	start  int64
	closed bool
	// state and writes are those of its entry in the store.
	state  string
	writes uint64
}

// Proxy returns the proxy before the server.
func (s *server) Proxy() *cwstand.Proxy {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.proxy
}

// Set tells the process how it treats requests.
func (s *server) Set(way cwstand.UpstreamWay) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.up.Set(way, workTime)
}

// SetCold has the process say that it is cold for a time.
func (s *server) SetCold(left time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.up.SetCold(left)
}

// words are what servers say in all their answers.
var words = [][]string{
	nil, nil, {"Server-Leaving: 1"}, {"Server-Leaving: soon"}, {"Retry-After: 0.3"}, {"Retry-After: 2"}, {"Retry-After: -1"},
	{"Server-Leaving: 1", "Retry-After: 1"},
}

// SetFields has the process add header lines to all its answers.
func (s *server) SetFields(lines ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.up.SetFields(lines...)
}

// SetLimit has the process name limits of the requests a second that it takes, or none.
func (s *server) SetLimit(limits ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.up.SetLimit(limits...)
}

// Runs returns the requests that all processes ran.
func (s *server) Runs() []cwstand.Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	runs := s.up.Runs()
	for _, u := range s.ended {
		runs = append(runs, u.Runs()...)
	}

	return runs
}

// Close ends the server.
func (s *server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.closed = true
	s.up.Close()
	s.proxy.Close()
}

// addServer starts a server and registers it.
func (w *world) addServer(t *testing.T, i int) {
	t.Helper()

	s := &server{instance: fmt.Sprintf("i-%d", i), domain: domain(i), start: time.Now().UnixMilli()}
	ln := cwtest.Listen(t)
	s.address = carobward.Address(ln.Addr().String())
	w.begin(s, cwtest.Listen(t), ln)
	t.Cleanup(s.Close)
	w.servers = append(w.servers, s)
	w.register(s, "ready")
}

// begin starts the next process of a server, behind a proxy that listens at its address.
func (w *world) begin(s *server, own, listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.closed {
		_, _ = own.Close(), listener.Close()

		return
	}

	if s.up != nil {
		s.ended = append(s.ended, s.up)
	}

	s.up = cwstand.NewUpstream(own, carobward.Instance(s.instance))
	s.up.Set(cwstand.UpstreamServes, workTime)
	s.up.SetKills(isPoison, func() { w.crashed(s) })
	s.proxy = cwstand.NewProxy(listener, s.up.Address())
}

// crashed starts a server again, under the same instance, whose process a request ended.
func (w *world) crashed(s *server) {
	w.crashes.Add(1)

	s.mutex.Lock()
	s.proxy.Close()
	s.up.Close()
	s.start++
	s.mutex.Unlock()

	<-time.After(downTime)

	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}

	for {
		if ln, err := net.Listen("tcp", string(s.address)); err == nil {
			w.begin(s, own, ln)
			w.register(s, "ready")

			return
		}
	}
}

// restart has the list name a later process of a server: one that said that it leaves gets
// nothing for as long as it runs.
func (w *world) restart(s *server) {
	s.mutex.Lock()
	s.start++
	s.mutex.Unlock()

	w.register(s, "ready")
}

// isPoison tells whether a request ends the process that runs it.
func isPoison(r cwstand.Run) bool { return r.URI == poison }

func (w *world) register(s *server, state string) {
	entry := cwstand.MetadataServer("records", s.address, s.domain, state)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.state = state
	s.writes++
	w.Store.Put("servers/"+s.instance, cwstand.MetadataStart(cwstand.MetadataWrite(entry, s.writes), s.start))
}
