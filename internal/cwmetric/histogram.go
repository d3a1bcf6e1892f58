package cwmetric

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// buckets is the number of buckets of a histogram. The first one ends at unit, and each
// next one at twice the end of the one before; the last one has no end.
const buckets = 20

// unit is the upper end of the first bucket.
const unit = 250 * time.Microsecond

// Histogram counts durations in buckets of doubling width. It is safe for concurrent use.
type Histogram struct {
	counts [buckets]atomic.Int64
	sum    atomic.Int64
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) {
	d = max(d, 0)
	h.counts[min(bits.Len64(uint64((d-1)/unit)), buckets-1)].Add(1)
	h.sum.Add(int64(d))
}

// histogram is the JSON form of a Histogram.
type histogram struct {
	// Count is the number of durations, Sum their sum in milliseconds.
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	// Below has the count of each non-empty bucket by its upper end; the last bucket is
	// "more".
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
