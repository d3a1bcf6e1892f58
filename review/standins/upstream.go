package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for an upstream (PROTOCOL.md, "Upstreams"): it works on slots requests
// at once, queues a few, says its load, drops a request whose connection closes, and rejects what
// was meant for another instance.
type upstream struct {
	id, service, zone, address string
	slots                      int
	record                     *record
	// work returns how long a request takes.
	work func(path string) time.Duration

	mutex            sync.Mutex
	running, waiting int
	seq              int
	slot             chan struct{}
	server           *http.Server
}

const (
	queueLength     = 4
	upstreamIdle    = 10 * time.Second
	headerID        = "Request-Id"
	headerDeadline  = "Deadline-Ms"
	headerSeal      = "Response-Seal"
	headerInstance  = "Instance-Id"
	headerNotRun    = "Not-Executed"
	headerLoad      = "Upstream-Load"
	headerExpected  = "Expect-Instance"
	headerKeepAlive = "Keep-Alive"
)

func newUpstream(id, service, zone string, slots int, rec *record, work func(string) time.Duration) *upstream {
	u := &upstream{id: id, service: service, zone: zone, slots: slots, record: rec, work: work, slot: make(chan struct{}, slots)}

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)

	u.address = ln.Addr().String()
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle), IdleTimeout: upstreamIdle}

	go func() { _ = u.server.Serve(ln) }()

	return u
}

// register writes the upstream's entry.
func (u *upstream) register(s *store, state string) {
	u.mutex.Lock()
	u.seq++
	seq := u.seq
	u.mutex.Unlock()

	s.put("servers/"+u.id, map[string]any{
		"address": u.address,
		"info":    map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status":  map[string]any{"state": state, "seq": seq, "warmup_left": "0ms"},
	})
}

func (u *upstream) load() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots)
}

func (u *upstream) add(running, waiting int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.running += running
	u.waiting += waiting
}

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerLoad, u.load())
	h.Set(headerKeepAlive, "timeout="+strconv.Itoa(int(upstreamIdle/time.Second)))

	if r.URL.Path == healthPath {
		h.Set(headerInstance, u.id)
		h.Set("Content-Length", "0")

		return
	}

	id := r.Header.Get(headerID)
	h.Set(headerID, id)

	if e := r.Header.Get(headerExpected); e != "" && e != u.id {
		h.Set(headerInstance, u.id)
		u.reject(w, id, http.StatusMisdirectedRequest)

		return
	}

	if !u.queue(r) {
		u.reject(w, id, http.StatusServiceUnavailable)

		return
	}

	defer func() { <-u.slot }()

	u.add(1, 0)
	defer u.add(-1, 0)

	u.record.add("run", "id", id, "upstream", u.id, "service", u.service, "method", r.Method, "path", r.URL.RequestURI(), "deadline", r.Header.Get(headerDeadline))

	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}

	select {
	case <-time.After(min(limit, u.work(r.URL.Path))):
	case <-r.Context().Done():
		u.record.add("dropped", "id", id, "upstream", u.id, "cause", "its connection was closed while it ran")

		return
	}

	body := fmt.Sprintf("%s by %s\n", id, u.id)
	h.Set(headerSeal, fmt.Sprintf("%x", rand.Uint64()))
	h.Set(headerLoad, u.load())
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
	u.record.add("done", "id", id, "upstream", u.id)
}

// queue waits for a slot. It returns false if the queue is full or the caller has gone.
func (u *upstream) queue(r *http.Request) bool {
	select {
	case u.slot <- struct{}{}:
		return true
	default:
	}

	u.mutex.Lock()
	full := u.waiting >= queueLength
	if !full {
		u.waiting++
	}
	u.mutex.Unlock()

	if full {
		return false
	}

	defer u.add(0, -1)

	select {
	case u.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *upstream) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set(headerNotRun, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	u.record.add("rejected", "id", id, "upstream", u.id, "status", status)
}
