package cwretry

import (
	"sync"
	"time"
)

// buckets is the number of buckets that a window is counted in. One more is kept, so that
// the counts always cover at least the window.
const buckets = 10

// Limit is the part of a limit on extra calls that grows with the requests. The fixed part depends
// on the size of the fleet and is passed to Check and Take.
type Limit struct {
	// Share is how many extra calls a request earns, Burst how many earned ones may be saved up
	// for each request of the last span. No span has more than both together allow, however
	// requests move between entry VMs and however often these restart.
	Share, Burst float64
	Span         time.Duration
}

// Window limits the calls beyond the first of each request in each span of time. It has
// this entry VM's share of a limit over all entry VMs.
//
// It counts the span, and it is a token bucket besides: the counts end with the process, and the
// next process may serve the same callers. The capacity bounds what an entry VM can use right
// before its process ends, and a new process begins with an empty bucket. docs/design/retry.md has
// the worst case.
type Window struct {
	mutex    sync.Mutex
	limit    Limit
	start    time.Time
	bucket   int64
	requests [buckets + 1]int
	extras   [buckets + 1]int
	// shared has those of the extra calls whose claims have a share of the bound.
	shared [buckets + 1]int
	// tokens is how many extra calls requests have earned that were not made.
	tokens float64
	fixed  fixedPart
}

// NewWindow returns a window of a process that started at a time. Initial is the part of one extra
// call that it may use before requests have earned it. It should be random, from 0 to 1: a process
// that ends leaves such a part unused, which would be lost with each restart.
func NewWindow(l Limit, start time.Time, initial float64) *Window {
	return &Window{limit: l, start: start, fixed: fixedPart{opened: initial}}
}

// SetLimit changes the limit, except for its span.
func (w *Window) SetLimit(l Limit) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	l.Span = w.limit.Span
	w.limit = l
}

// Request records a request.
func (w *Window) Request(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)
	w.requests[w.bucket%(buckets+1)]++
	w.tokens += w.limit.Share
	w.overflow()
}

// overflow moves the tokens beyond the capacity to the fixed part.
func (w *Window) overflow() {
	if excess := w.tokens - w.capacity(); excess > 0 {
		w.tokens -= excess
		w.fixed.refill(excess)
	}
}

// capacity returns how many tokens can be saved up now. The bucket that is kept beyond the window
// does not count: the requests must be of the last span at most.
func (w *Window) capacity() float64 {
	requests := sum(w.requests[:]) - w.requests[(w.bucket+1)%(buckets+1)]

	return w.limit.Burst * float64(requests)
}

// Usage is what a window has counted within its span, and what follows from it.
type Usage struct {
	// Requests and Extras are the requests and the extra calls of the span.
	Requests, Extras int
	// Bound is how many extra calls the counts of the span allow.
	Bound float64
	// Available is how many may be made at once.
	Available float64
	// Age is how long this process has run.
	Age time.Duration
}

// Cause is why an extra call is denied.
type Cause string

// The causes of denials.
const (
	// CauseBound is that the span has as many extra calls as its requests allow.
	CauseBound Cause = "bound"
	// CauseShare is that it has as many of this kind as the kind may use.
	CauseShare Cause = "share"
	// CauseAvailable is that none is available at once, apart from those that are reserved.
	CauseAvailable Cause = "available"
)

// Decision is whether an extra call may be made, and what that was decided from.
type Decision struct {
	Usage

	// Reserved is how many of the available extra calls the claim leaves to more urgent ones.
	Reserved float64
	// Denied is empty if the call may be made.
	Denied Cause
}

// Granted reports whether the extra call may be made.
func (d Decision) Granted() bool { return d.Denied == "" }

// Usage returns the counts at a time. Fixed is passed as to Take.
func (w *Window) Usage(now time.Time, fixed float64) Usage {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	return w.usage(now, fixed)
}

func (w *Window) usage(now time.Time, fixed float64) Usage {
	u := Usage{Requests: sum(w.requests[:]), Extras: sum(w.extras[:]), Age: now.Sub(w.start)}
	u.Bound = w.limit.Share*float64(u.Requests) + fixed
	u.Available = w.tokens + w.fixed.available(fixed, u.Age >= w.limit.Span)

	return u
}

// Check decides as Take does, and spends nothing.
func (w *Window) Check(now time.Time, fixed float64, c Claim) Decision {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	return w.decide(now, fixed, c)
}

// Take spends one extra call if there is one left for the claim. Fixed is how many this entry VM is
// allowed in each span regardless of the number of requests.
func (w *Window) Take(now time.Time, fixed float64, c Claim) Decision {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.advance(now)

	d := w.decide(now, fixed, c)
	if d.Granted() {
		w.spend(c)
	}

	return d
}

func (w *Window) decide(now time.Time, fixed float64, c Claim) Decision {
	d := Decision{Usage: w.usage(now, fixed)}
	most := w.capacity() + w.fixed.size(fixed, d.Age >= w.limit.Span)
	d.Reserved = c.Reserve * max(0, most-1)

	switch {
	case float64(d.Extras+1) > d.Bound:
		d.Denied = CauseBound
	case c.Share > 0 && float64(sum(w.shared[:])+1) > c.Share*d.Bound:
		d.Denied = CauseShare
	case d.Available < 1+d.Reserved:
		d.Denied = CauseAvailable
	}

	return d
}

// spend counts an extra call. Tokens are used before the fixed part.
func (w *Window) spend(c Claim) {
	at := w.bucket % (buckets + 1)
	w.extras[at]++

	if c.Share > 0 {
		w.shared[at]++
	}

	earned := min(w.tokens, 1)
	w.tokens -= earned
	w.fixed.used[at] += 1 - earned
}

// advance clears the buckets whose time has passed.
func (w *Window) advance(now time.Time) {
	current := int64(now.Sub(w.start) / (w.limit.Span / buckets))

	for steps := 0; w.bucket < current && steps <= buckets; steps++ {
		w.bucket++
		at := w.bucket % (buckets + 1)
		w.requests[at], w.extras[at], w.shared[at], w.fixed.used[at] = 0, 0, 0, 0
	}

	w.bucket = max(w.bucket, current)
	w.overflow()
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}

	return total
}
