package cwmetric

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// buckets is the number of buckets of a histogram. The first ends at one
// unit, each next one at twice as much; the last takes the rest.
const buckets = 20

// unit is the upper end of the first bucket.
const unit = 250 * time.Microsecond

// Histogram counts times in buckets that double. It may be used by many
// goroutines.
type Histogram struct {
	counts [buckets]atomic.Int64
	sum    atomic.Int64
}

// Add counts one time.
func (h *Histogram) Add(d time.Duration) {
	d = max(d, 0)
	h.counts[min(bits.Len64(uint64((d-1)/unit)), buckets-1)].Add(1)
	h.sum.Add(int64(d))
}

// histogram is a Histogram as it is shown.
type histogram struct {
	// Count is the number of times, Sum their sum in milliseconds.
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	// Below has the count of each bucket that is not empty, by its upper
	// end; "more" is the last one.
	Below map[string]int64 `json:"below"`
}

// String returns the histogram as JSON.
func (h *Histogram) String() string {
	out := histogram{Below: map[string]int64{}}

	for i := range h.counts {
		n := h.counts[i].Load()
		if n == 0 {
			continue
		}

		name := "more"
		if i < buckets-1 {
			name = (unit << i).String()
		}

		out.Count += n
		out.Below[name] = n
	}

	out.Sum = float64(h.sum.Load()) / float64(time.Millisecond)

	return encode(out)
}
