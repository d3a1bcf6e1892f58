package cwretry

import (
	"sync"
	"time"
)

// slices is the number of parts that a window is counted in. One more is kept,
// so that what is counted is never less than the window.
const slices = 10

// Window bounds the calls beyond the first of each request in each span of
// time, as this entry VM's part of a bound on all of them.
type Window struct {
	share float64
	span  time.Duration

	mutex    sync.Mutex
	start    time.Time
	turn     int64
	requests [slices + 1]int
	extras   [slices + 1]int
}

// NewWindow returns a window: in each span extra calls may be up to share of
// the requests, and a number on top that Take is told.
func NewWindow(share float64, span time.Duration, now time.Time) *Window {
	return &Window{share: share, span: span, start: now}
}

// SetShare changes the share of the requests that extra calls may be.
func (w *Window) SetShare(share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.share = share
}

// Request notes a request.
func (w *Window) Request(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.move(now)
	w.requests[w.turn%(slices+1)]++
}

// Take spends one extra call if there is one left. Slack is how many may be
// made whatever the number of requests.
func (w *Window) Take(now time.Time, slack float64) bool { return w.TakeLeaving(now, slack, 0) }

// TakeLeaving spends one extra call if a part of the bound is left after it.
func (w *Window) TakeLeaving(now time.Time, slack, part float64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.move(now)

	requests, extras := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		extras += w.extras[i]
	}

	if float64(extras+1) > (1-part)*(w.share*float64(requests)+slack) {
		return false
	}

	w.extras[w.turn%(slices+1)]++

	return true
}

// move empties the parts of the window that have passed.
func (w *Window) move(now time.Time) {
	turn := int64(now.Sub(w.start) / (w.span / slices))

	for steps := 0; w.turn < turn && steps <= slices; steps++ {
		w.turn++
		w.requests[w.turn%(slices+1)], w.extras[w.turn%(slices+1)] = 0, 0
	}

	w.turn = max(w.turn, turn)
}
