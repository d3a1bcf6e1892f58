// Package cwmetric has the metrics of an entry VM and their documentation. They are expvar
// variables, but not in expvar's global registry, which allows each name only once in a
// process: the demo and the tests run several entry VMs in one process.
package cwmetric

import (
	"expvar"
	"net/http"
	"sync"
)

// Set has all metrics of an entry VM, in one map for each part. It also shows expvar's own
// variables, which belong to the process.
type Set struct {
	mutex    sync.Mutex
	root     expvar.Map
	requests *Requests
}

// The names of parts.
const (
	PartRequests = "requests"
)

// New returns a set that has the metrics of requests.
func New() *Set {
	s := &Set{requests: newRequests()}
	s.root.Set(PartRequests, s.requests)

	return s
}

// Requests returns the counts of the callers' requests.
func (s *Set) Requests() *Requests { return s.requests }

// Part returns the map of a part and creates it if necessary.
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

// Gauge adds a metric whose value is the result of read each time the metrics are
// requested. Read must be safe for concurrent use.
func (s *Set) Gauge(part, name string, read func() int64) {
	s.Part(part).Set(name, expvar.Func(func() any { return read() }))
}

// String returns all metrics as JSON.
func (s *Set) String() string {
	var all expvar.Map

	add := func(v expvar.KeyValue) { all.Set(v.Key, v.Value) }
	expvar.Do(add)
	s.root.Do(add)

	return all.String()
}

// ServeHTTP writes all metrics as JSON, as expvar's own handler does.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.String()))
}
