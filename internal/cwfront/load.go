package cwfront

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// A load is measured over loadTime, in slices of loadSlice. At seven requests a second a
// shorter time says little; a longer one delays what follows from it.
const (
	loadSlices = 12
	loadSlice  = 100 * time.Millisecond
	loadTime   = loadSlices * loadSlice
)

// loadMeter measures the recent load of a service at this entry VM.
type loadMeter struct {
	mutex  sync.Mutex
	slices [loadSlices]loadCounts
	// current is the number of the slice that is being filled, counted from the zero time.
	current int64
	waiting int
}

// loadCounts has the numbers of requests of one slice.
type loadCounts struct {
	demand    [carobward.LoadRanks]int
	completed int
	full      int
}

// slice returns the current slice; l.mutex must be held.
func (l *loadMeter) slice(now time.Time) *loadCounts {
	number := now.UnixNano() / int64(loadSlice)

	for n := max(l.current+1, number-loadSlices+1); n <= number; n++ {
		l.slices[n%loadSlices] = loadCounts{}
	}

	l.current = max(l.current, number)

	return &l.slices[l.current%loadSlices]
}

// countRequest counts a request of a rank.
func (l *loadMeter) countRequest(rank int, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.slice(now).demand[min(max(0, rank), carobward.LoadRanks-1)]++
}

// countCompleted counts a reply of a server that ran a request.
func (l *loadMeter) countCompleted(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.slice(now).completed++
}

// countFull counts a request that found no server with room at first.
func (l *loadMeter) countFull(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.slice(now).full++
}

// addWaiting changes the number of requests that wait for a server.
func (l *loadMeter) addWaiting(by int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.waiting += by
}

// load returns the load over the last loadTime.
func (l *loadMeter) load(s carobward.Service, now time.Time) carobward.ServiceLoad {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.slice(now) // Clears the slices that are over.

	const each = carobward.Rate(time.Second) / carobward.Rate(loadTime)

	out := carobward.ServiceLoad{Service: s, Waiting: l.waiting}

	for i := range l.slices {
		for rank, n := range l.slices[i].demand {
			out.Demand[rank] += carobward.Rate(n) * each
		}

		out.Completed += carobward.Rate(l.slices[i].completed) * each
		out.Full += carobward.Rate(l.slices[i].full) * each
	}

	return out
}

// Loads returns the recent load at this entry VM of the services for whose servers requests
// compete, as far as there were any: those with requests of several priorities or teams.
func (f *Front) Loads(now time.Time) []carobward.ServiceLoad {
	routes := f.routes.Load()
	if routes == nil {
		return nil
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	var list []carobward.ServiceLoad

	for name, s := range f.services {
		if !routes.Competes(name) {
			continue
		}

		if l := s.load.load(name, now); l.Total()+l.Completed+l.Full > 0 || l.Waiting > 0 {
			list = append(list, l)
		}
	}

	return list
}

// rank returns the rank of the request's priority at its service.
func (r *request) rank() int {
	rank, _ := r.routes.Rank(r.service, r.priority)

	return rank
}
