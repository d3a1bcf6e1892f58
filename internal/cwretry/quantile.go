package cwretry

import (
	"sync"
	"time"
)

// Quantile estimates one quantile of latencies in constant memory. Each sample moves the
// estimate up or down by a small factor, so that it settles where the two balance.
type Quantile struct {
	quantile float64

	mutex    sync.Mutex
	estimate float64
	samples  int
}

// The parameters of the estimate.
const (
	// step is the largest relative change by one sample.
	step = 0.05
	// minSamples is how many samples are needed before the estimate is usable.
	minSamples = 50
	// firstFactor is the first estimate as a multiple of the first sample.
	firstFactor = 2
)

// NewQuantile returns an estimator of the given quantile, from 0 to 1.
func NewQuantile(quantile float64) *Quantile { return &Quantile{quantile: quantile} }

// Add adds one latency.
func (q *Quantile) Add(d time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	q.samples++

	switch sample := float64(d); {
	case q.estimate == 0:
		q.estimate = firstFactor * sample
	case sample > q.estimate:
		q.estimate *= 1 + step*q.quantile
	default:
		q.estimate *= 1 - step*(1-q.quantile)
	}
}

// Value returns the estimate, and whether there are enough samples for it.
func (q *Quantile) Value() (time.Duration, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	return time.Duration(q.estimate), q.samples >= minSamples
}
