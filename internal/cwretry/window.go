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
	// earned is what the newest requests add to the bound, up to earnedMost.
	earned float64
}

// earnedMost is how many extra calls paced claims may save up, for two requests that
// are refused at the same moment.
const earnedMost = 2

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
	w.earned = min(earnedMost, w.earned+w.share)
}

// Take spends one extra call if there is one left for the claim. Slack is how many
// may be made whatever the number of requests.
func (w *Window) Take(now time.Time, slack float64, c Claim) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.move(now)

	requests, extras := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		extras += w.extras[i]
	}

	bound := w.share*float64(requests) + slack
	next := float64(extras + 1)
	paced := c.Paced && w.earned >= 1

	if next > bound || next > c.Part*bound && !paced {
		return false
	}

	w.extras[w.turn%(slices+1)]++
	w.earned = max(0, w.earned-1)

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
