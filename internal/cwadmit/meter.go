package cwadmit

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// The load is measured over loadTime, in slices of loadSlice. A shorter time has too few samples
// at a few requests a second; a longer one delays the decisions based on it.
const (
	loadSlices = 8
	loadSlice  = 100 * time.Millisecond
	loadTime   = loadSlices * loadSlice
)

// Meter measures the recent load of a service at one entry VM. It is safe for concurrent use.
type Meter struct {
	mutex  sync.Mutex
	slices [loadSlices]counts
	// current is the number of the slice that is being filled, counted from the zero time.
	current int64
	waiting int
}

// counts has the numbers of requests of one slice.
type counts struct {
	demand    [carobward.LoadRanks]int
	completed int
	full      int
}

// slice returns the current slice; m.mutex must be held.
func (m *Meter) slice(now time.Time) *counts {
	number := now.UnixNano() / int64(loadSlice)

	if number <= m.current-loadSlices { // The clock was set back.
		m.slices, m.current = [loadSlices]counts{}, number
	}

	for n := max(m.current+1, number-loadSlices+1); n <= number; n++ {
		m.slices[n%loadSlices] = counts{}
	}

	m.current = max(m.current, number)

	return &m.slices[m.current%loadSlices]
}

// CountRequest counts a request of a rank.
func (m *Meter) CountRequest(rank int, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.slice(now).demand[min(max(0, rank), carobward.LoadRanks-1)]++
}

// CountCompleted counts a reply of a server that ran a request.
func (m *Meter) CountCompleted(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.slice(now).completed++
}

// CountFull counts a request that found no server with room at first.
func (m *Meter) CountFull(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.slice(now).full++
}

// AddWaiting changes the number of requests that wait for a server.
func (m *Meter) AddWaiting(by int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.waiting += by
}

// Load returns the load over the last loadTime.
func (m *Meter) Load(s carobward.Service, now time.Time) carobward.ServiceLoad {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.slice(now) // Clears the slices that are over.

	const each = carobward.Rate(time.Second) / carobward.Rate(loadTime)

	out := carobward.ServiceLoad{Service: s, Waiting: m.waiting}

	for i := range m.slices {
		for rank, n := range m.slices[i].demand {
			out.Demand[rank] += carobward.Rate(n) * each
		}

		out.Completed += carobward.Rate(m.slices[i].completed) * each
		out.Full += carobward.Rate(m.slices[i].full) * each
	}

	return out
}
