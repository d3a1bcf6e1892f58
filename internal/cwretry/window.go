package cwretry

import (
	"sync"
	"time"
)

// buckets is the number of buckets that a window is counted in. One more is kept, so that
// the counts always cover at least the window.
const buckets = 10

// Limit is the part of a limit on extra calls that each request adds. The fixed part depends on
// the size of the fleet and is passed to Take.
type Limit struct {
	// Share is how many extra calls a request allows, Saved how many more may be saved up for
	// each request of the last span. No span has more than both together allow, however
	// requests move between entry VMs and however often these restart.
	Share, Saved float64
	Span         time.Duration
}

// Window limits the calls beyond the first of each request in each span of time. It has
// this entry VM's share of a limit over all entry VMs.
//
// The counts end with the process, and the next process may serve the same callers. So the counts
// are not all that holds: the extra calls that an entry VM can make at once are limited, and a new
// process has hardly any before requests have earned them. docs/design/retry.md has the proof.
type Window struct {
	mutex    sync.Mutex
	limit    Limit
	start    time.Time
	bucket   int64
	requests [buckets + 1]int
	extras   [buckets + 1]int
	// shared has those of the extra calls whose claims have a share of the bound.
	shared [buckets + 1]int
	// saved is what requests have earned and extra calls have not used.
	saved float64
	fixed fixedPart
}

// NewWindow returns a window of a process that started at a time. First is the part of one extra
// call that it may use before requests have earned it: random, from 0 to 1, since a process that
// ends leaves such a part unused.
func NewWindow(l Limit, start time.Time, first float64) *Window {
	return &Window{limit: l, start: start, fixed: fixedPart{paid: first}}
}

// SetShares changes what requests allow. The span stays.
func (w *Window) SetShares(share, saved float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.limit.Share, w.limit.Saved = share, saved
}

// Request records a request.
func (w *Window) Request(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)
	w.requests[w.bucket%(buckets+1)]++
	w.saved += w.limit.Share
	w.trim()
}

// trim moves what can't be saved up to the fixed part.
func (w *Window) trim() {
	most := w.mostSaved()
	if w.saved > most {
		w.fixed.repay(w.saved - most)
		w.saved = most
	}
}

// mostSaved returns how much of what requests earn can be saved up now.
func (w *Window) mostSaved() float64 { return w.limit.Saved * float64(w.recentRequests()) }

// recentRequests returns the number of requests of the last span at most.
func (w *Window) recentRequests() int {
	n := 0

	for back := range int64(buckets) {
		if at := w.bucket - back; at >= 0 {
			n += w.requests[at%(buckets+1)]
		}
	}

	return n
}

// Usage is what a window has counted within its span, and what follows from it.
type Usage struct {
	// Requests and Extras are the requests and the extra calls of the span.
	Requests, Extras int
	// Bound is how many extra calls the counts of the span allow.
	Bound float64
	// Left is how many may be made at once.
	Left float64
	// Age is how long this process has run.
	Age time.Duration
}

// Usage returns the counts at a time. Fixed is passed as to Take.
func (w *Window) Usage(now time.Time, fixed float64) Usage {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	return w.usage(now, fixed)
}

func (w *Window) usage(now time.Time, fixed float64) Usage {
	u := Usage{Age: now.Sub(w.start)}

	for i := range w.requests {
		u.Requests += w.requests[i]
		u.Extras += w.extras[i]
	}

	u.Bound = w.limit.Share*float64(u.Requests) + fixed
	u.Left = w.saved + w.fixed.left(fixed, u.Age, w.limit.Span)

	return u
}

// Allows reports whether Take would spend an extra call now.
func (w *Window) Allows(now time.Time, fixed float64, c Claim) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	return w.allows(now, fixed, c)
}

// Take spends one extra call and reports whether there was one left for the claim. Fixed is
// how many this entry VM is allowed in each span regardless of the number of requests.
func (w *Window) Take(now time.Time, fixed float64, c Claim) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	if !w.allows(now, fixed, c) {
		return false
	}

	w.spend(c)

	return true
}

// allows reports whether there is an extra call left for a claim, by both accounts.
func (w *Window) allows(now time.Time, fixed float64, c Claim) bool {
	u := w.usage(now, fixed)

	if float64(u.Extras+1) > u.Bound {
		return false
	}

	if c.Share > 0 && float64(sum(w.shared[:])+1) > c.Share*u.Bound {
		return false
	}

	most := w.mostSaved() + w.fixed.most(fixed, u.Age, w.limit.Span)

	return u.Left >= 1+c.Spare*max(0, most-1)
}

// spend counts an extra call. What requests have earned is used first.
func (w *Window) spend(c Claim) {
	at := w.bucket % (buckets + 1)
	w.extras[at]++

	if c.Share > 0 {
		w.shared[at]++
	}

	earned := min(w.saved, 1)
	w.saved -= earned
	w.fixed.spent[at] += 1 - earned
}

// advance clears the buckets whose time has passed.
func (w *Window) advance(now time.Time) {
	current := int64(now.Sub(w.start) / (w.limit.Span / buckets))

	for steps := 0; w.bucket < current && steps <= buckets; steps++ {
		w.bucket++
		at := w.bucket % (buckets + 1)
		w.requests[at], w.extras[at], w.shared[at], w.fixed.spent[at] = 0, 0, 0, 0
	}

	if w.bucket < current {
		w.bucket = current
	}

	w.trim()
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}

	return total
}
