package cwretry

import (
	"sync"
	"time"
)

// Quantile follows one quantile of latencies in constant memory: each sample
// moves the estimate by a small factor, up or down, so that it rests where
// the two balance.
type Quantile struct {
	at float64

	mutex    sync.Mutex
	estimate float64
	samples  int
}

// The pace of the estimate.
const (
	// step is the largest change by one sample, as a share.
	step = 0.05
	// enough samples must be seen before the estimate is of use.
	enough = 50
	// firstFactor is where the estimate starts, in first samples.
	firstFactor = 2
)

// NewQuantile follows the given quantile, from 0 to 1.
func NewQuantile(at float64) *Quantile { return &Quantile{at: at} }

// Add takes one latency.
func (q *Quantile) Add(d time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	q.samples++

	switch sample := float64(d); {
	case q.estimate == 0:
		q.estimate = firstFactor * sample
	case sample > q.estimate:
		q.estimate *= 1 + step*q.at
	default:
		q.estimate *= 1 - step*(1-q.at)
	}
}

// Value returns the estimate, and whether it rests on enough samples.
func (q *Quantile) Value() (time.Duration, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	return time.Duration(q.estimate), q.samples >= enough
}
