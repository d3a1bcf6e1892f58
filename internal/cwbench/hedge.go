package cwbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// hedge says when a second attempt is due: after a quantile of the latest
// latencies, within a budget.
type hedge struct {
	share, quantile float64
	calls, spent    int

	last, current *hdrhistogram.Histogram
	turned        time.Duration
	wait          time.Duration
}

// hedgeWindow is how long latencies are collected before they count.
const hedgeWindow = time.Second

func newHedge(share, quantile float64) *hedge {
	return &hedge{share: share, quantile: quantile, last: histogram(), current: histogram()}
}

// after returns how long to wait before the second attempt.
func (h *hedge) after(now time.Duration) (time.Duration, bool) {
	if h.share == 0 {
		return 0, false
	}

	if now-h.turned >= hedgeWindow {
		h.turned = now
		h.last, h.current = h.current, h.last
		h.current.Reset()
		h.wait = time.Duration(h.last.ValueAtQuantile(h.quantile)) * time.Microsecond
	}

	return h.wait, h.wait > 0
}

func (h *hedge) record(took time.Duration) {
	if h.share > 0 {
		_ = h.current.RecordValue(took.Microseconds())
	}
}

// take spends one hedge if the budget has it.
func (h *hedge) take() bool {
	if float64(h.spent+1) > h.share*float64(h.calls) {
		return false
	}

	h.spent++

	return true
}
