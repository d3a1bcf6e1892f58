// Package cwmetric holds the metrics of one entry VM, and says what each one
// means. They are expvar variables, kept out of expvar's own registry, which
// is one a process and lets no name come twice: the demo and the tests run
// several entry VMs in one process.
package cwmetric

import (
	"expvar"
	"net/http"
	"sync"
)

// Set has all metrics of one entry VM, in one map a part. expvar's own, which
// are of the process, are shown beside them.
type Set struct {
	mutex    sync.Mutex
	root     expvar.Map
	requests *Requests
}

// The names of the parts.
const (
	PartRequests = "requests"
)

// New returns a set with the metrics of the requests.
func New() *Set {
	s := &Set{requests: newRequests()}
	s.root.Set(PartRequests, s.requests)

	return s
}

// Requests counts the callers' requests.
func (s *Set) Requests() *Requests { return s.requests }

// Part returns the map of a part by its name; it makes one if need be.
func (s *Set) Part(name string) *expvar.Map {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if m, ok := s.root.Get(name).(*expvar.Map); ok {
		return m
	}

	m := &expvar.Map{}
	s.root.Set(name, m)

	return m
}

// Gauge shows what read returns each time that the metrics are asked for.
// Read must be safe to call from any goroutine.
func (s *Set) Gauge(part, name string, read func() int64) {
	s.Part(part).Set(name, expvar.Func(func() any { return read() }))
}

// String returns all metrics as JSON.
func (s *Set) String() string {
	var all expvar.Map

	take := func(v expvar.KeyValue) { all.Set(v.Key, v.Value) }
	expvar.Do(take)
	s.root.Do(take)

	return all.String()
}

// ServeHTTP writes all metrics as JSON, as expvar's own handler does.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.String()))
}
