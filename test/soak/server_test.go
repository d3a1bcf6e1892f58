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
	// current is the running process, previous are the earlier ones.
	current  *cwstand.Upstream
	previous []*cwstand.Upstream
	proxy    *cwstand.Proxy
	// start is the start time of the process, in milliseconds since the Unix epoch.
	start  int64
	closed bool
	// state is the state in the server's entry in the store, writes the number of
	// writes of the entry.
	state  string
	writes uint64
}

// Proxy returns the proxy in front of the server.
func (s *server) Proxy() *cwstand.Proxy {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.proxy
}

// SetMode sets the way in which the process handles requests.
func (s *server) SetMode(mode cwstand.UpstreamMode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.current.SetMode(mode, workTime)
}

// SetWarmup makes the process report a warmup that ends after the given time.
func (s *server) SetWarmup(left time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.current.SetWarmup(left)
}

// replyHeaders are the header lines that servers add to all their replies: leaving notices and
// pauses, valid and invalid.
var replyHeaders = [][]string{
	nil, nil, {"Server-Leaving: 1"}, {"Server-Leaving: soon"}, {"Retry-After: 0.3"}, {"Retry-After: 2"}, {"Retry-After: -1"},
	{"Server-Leaving: 1", "Retry-After: 1"},
}

// SetHeaders sets header lines that the process adds to all its replies.
func (s *server) SetHeaders(lines ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.current.SetHeaders(lines...)
}

// SetLimit sets the rate limits that the process announces.
func (s *server) SetLimit(limits ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.current.SetLimit(limits...)
}

// Runs returns the requests that all processes of the server ran.
func (s *server) Runs() []cwstand.Run { return readAll(s, (*cwstand.Upstream).Runs) }

// Received returns the requests that arrived at all processes of the server.
func (s *server) Received() []cwstand.Received { return readAll(s, (*cwstand.Upstream).Received) }

// readAll returns what all processes of a server, the current one first, have kept.
func readAll[T any](s *server, read func(*cwstand.Upstream) []T) []T {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	list := read(s.current)
	for _, u := range s.previous {
		list = append(list, read(u)...)
	}

	return list
}

// SetShed sets the share of the requests that the process refuses.
func (s *server) SetShed(share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.current.SetShed(share)
}

// Close stops the server for good.
func (s *server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.closed = true
	s.current.Close()
	s.proxy.Close()
}

// addServer starts a server and registers it.
func (w *world) addServer(t *testing.T, i int) {
	t.Helper()

	s := &server{instance: fmt.Sprintf("i-%d", i), domain: domain(i), start: time.Now().UnixMilli()}
	ln := cwtest.Listen(t)
	s.address = carobward.Address(ln.Addr().String())
	w.startProcess(s, cwtest.Listen(t), ln)
	t.Cleanup(s.Close)
	w.servers = append(w.servers, s)
	w.register(s, "ready")
}

// startProcess starts the next process of a server, behind a proxy that listens on the server's
// address.
func (w *world) startProcess(s *server, own, listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.closed {
		_, _ = own.Close(), listener.Close()

		return
	}

	if s.current != nil {
		s.previous = append(s.previous, s.current)
	}

	s.current = cwstand.NewUpstream(own, carobward.Instance(s.instance))
	s.current.SetMode(cwstand.UpstreamServes, workTime)
	s.current.SetCrash(isPoison, func() { w.restartCrashed(s) })
	s.proxy = cwstand.NewProxy(listener, s.current.Address())
	s.proxy.SetSources(w.paths)
}

// restartCrashed restarts a server whose process crashed while it ran a request. The instance ID
// stays the same.
func (w *world) restartCrashed(s *server) {
	w.crashes.Add(1)

	s.mutex.Lock()
	s.proxy.Close()
	s.current.Close()
	s.start++
	s.mutex.Unlock()

	<-time.After(downTime)

	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}

	for {
		if ln, err := net.Listen("tcp", string(s.address)); err == nil {
			w.startProcess(s, own, ln)
			w.register(s, "ready")

			return
		}
	}
}

// registerRestart registers a server with a later start time, as after a restart. A process that
// announced that it leaves gets no requests for as long as it runs.
func (w *world) registerRestart(s *server) {
	s.mutex.Lock()
	s.start++
	s.mutex.Unlock()

	w.register(s, "ready")
}

// isPoison reports whether a request crashes the process that runs it.
func isPoison(r cwstand.Run) bool { return r.URI == poison }

func (w *world) register(s *server, state string) {
	entry := cwstand.ServerEntry("records", s.address, s.domain, state)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.state = state
	s.writes++
	w.Store.Put("servers/"+s.instance, cwstand.ServerEntryWithStart(cwstand.ServerEntryWithSeq(entry, s.writes), s.start))
}
