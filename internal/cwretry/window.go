package cwretry

import (
	"sync"
	"time"
)

// buckets is the number of buckets that a window is counted in. One more is kept, so that
// the counts always cover at least the window.
const buckets = 10

// Window limits the calls beyond the first of each request in each span of time. It has
// this entry VM's share of a limit over all entry VMs.
type Window struct {
	share float64
	span  time.Duration

	mutex    sync.Mutex
	start    time.Time
	bucket   int64
	requests [buckets + 1]int
	extras   [buckets + 1]int
	// capped has those of the extra calls whose claims are capped.
	capped [buckets + 1]int
	// earned is how many extra calls paced claims have earned by recent requests, from
	// -maxOwed to maxEarned.
	earned float64
}

// The limits of what paced claims have earned.
const (
	// maxEarned is how many extra calls they may save up, for some requests that are refused
	// at the same moment.
	maxEarned = 4
	// maxOwed is how many extra calls may be used before they are earned. The other claims
	// wait until these are made up for.
	maxOwed = 4
)

// NewWindow returns a window that allows extra calls up to share of the requests in each
// span, and a number on top that is passed to Take.
func NewWindow(share float64, span time.Duration, now time.Time) *Window {
	return &Window{share: share, span: span, start: now}
}

// SetShare changes the share.
func (w *Window) SetShare(share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.share = share
}

// Request records a request.
func (w *Window) Request(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)
	w.requests[w.bucket%(buckets+1)]++
	w.earned = min(maxEarned, w.earned+w.share)
}

// Usage is what a window has counted within its span, and the bound that follows from it.
type Usage struct {
	// Requests and Extras are the requests and the extra calls of the span.
	Requests, Extras int
	// Bound is how many extra calls the span allows.
	Bound float64
	// Age is how long this entry VM has counted.
	Age time.Duration
}

// Usage returns the counts at a time. MinExtra is passed as to Take.
func (w *Window) Usage(now time.Time, minExtra float64) Usage {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	u := Usage{Age: now.Sub(w.start)}
	for i := range w.requests {
		u.Requests += w.requests[i]
		u.Extras += w.extras[i]
	}

	u.Bound = w.share*float64(u.Requests) + minExtra

	return u
}

// Take spends one extra call and reports whether there was one left for the claim.
// MinExtra is how many are allowed regardless of the number of requests.
func (w *Window) Take(now time.Time, minExtra float64, c Claim) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	requests, extras, capped := 0, 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		extras += w.extras[i]
		capped += w.capped[i]
	}

	bound := w.share*float64(requests) + minExtra
	next := float64(extras + 1)
	paced := c.Paced && w.earned >= 1+c.Reserve

	if next > bound || next > c.Share*bound && !paced {
		return false
	}

	if c.Capped && float64(capped+1) > c.Share*bound {
		return false
	}

	w.extras[w.bucket%(buckets+1)]++
	if c.Capped {
		w.capped[w.bucket%(buckets+1)]++
	}

	w.earned = max(-maxOwed, w.earned-1)

	return true
}

// advance clears the buckets whose time has passed.
func (w *Window) advance(now time.Time) {
	current := int64(now.Sub(w.start) / (w.span / buckets))

	for steps := 0; w.bucket < current && steps <= buckets; steps++ {
		w.bucket++
		at := w.bucket % (buckets + 1)
		w.requests[at], w.extras[at], w.capped[at] = 0, 0, 0
	}

	w.bucket = max(w.bucket, current)
}
