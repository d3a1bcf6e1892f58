package cwticket

import (
	"time"

	"carobward.example/carobward"
)

// Claim is the right, and the duty, to do the work of one ticket. It must be
// settled by Ran, NotRun or Lost; Close settles what was left open.
type Claim struct {
	table *Table
	key   Key
	live  *live
}

// Done is closed once the claim is settled.
func (c *Claim) Done() <-chan struct{} { return c.live.done }

// Ran records that the work ran, with its answer. An answer for which there
// is no room is not kept, only that the work ran.
func (c *Claim) Ran(now time.Time, o *Outcome) {
	c.settle(now, func(s *span, r *record) {
		r.state = ran

		if size := sizeOf(o); c.table.budget.answer(size) {
			r.outcome = o
			s.bytes += size
		}
	})
}

// Lost records that the outcome is not known.
func (c *Claim) Lost(now time.Time) {
	c.settle(now, func(_ *span, r *record) { r.state = lost })
}

// Close records the outcome as not known if none was recorded, so that a
// panic or an early return leaves no ticket running for ever.
func (c *Claim) Close(now time.Time) { c.Lost(now) }

// NotRun records that the work has been proved not run. It returns the
// verdict for the caller. A ticket that only this one request ever had may be
// used again; any other is closed, since a late copy of a request that was
// answered not-run must not run. Without room for that the verdict is
// Unknown, and the ticket may be used again.
func (c *Claim) NotRun(now time.Time, only bool) carobward.Verdict {
	v := carobward.Unknown

	c.settle(now, func(s *span, _ *record) {
		delete(s.records, c.key)
		s.bytes -= recordCost
		c.table.budget.free(1, 0, recordCost)

		if only || c.table.shut(c.key) {
			v = carobward.NotRun
		}
	})

	return v
}

// settle ends the running state once.
func (c *Claim) settle(now time.Time, with func(*span, *record)) {
	t := c.table

	t.mutex.Lock()
	defer t.mutex.Unlock()

	select {
	case <-c.live.done:
		return
	default:
	}

	close(c.live.done)
	t.ended(now, c.live)

	r := t.find(c.key)
	if r == nil { // It has expired, and with it the ticket.
		return
	}

	r.live = nil

	with(t.span(c.key), r)
}

// The bounds of when to come back.
const (
	retryAfter = 500 * time.Millisecond
	retryLeast = 20 * time.Millisecond
	// meanWeight is the weight of one run in the moving average: 1/8.
	meanWeight = 8
)

// ended counts work that no longer runs.
func (t *Table) ended(now time.Time, l *live) {
	t.mean += (now.Sub(l.began) - t.mean) / meanWeight
	t.running--

	if t.running == 0 && t.phase != open {
		close(t.drained)
	}
}

// wait estimates when running work ends: after as long as such work took
// lately, or else halfway to its deadline.
func (t *Table) wait(now time.Time, l *live) time.Duration {
	left := l.deadline.Sub(now)

	after := t.mean - now.Sub(l.began)
	if after <= 0 {
		after = left / 2
	}

	return max(retryLeast, min(after, left))
}

// room estimates when there is room again: when the oldest span is
// forgotten.
func (t *Table) room(now time.Time) time.Duration {
	first, found := uint64(0), false

	for n, s := range t.spans {
		if len(s.records) > 0 && (!found || n < first) {
			first, found = n, true
		}
	}

	if !found {
		return retryAfter
	}

	return max(retryAfter, t.until(now, first))
}

// until returns how long a span is still kept.
func (t *Table) until(now time.Time, n uint64) time.Duration {
	end := time.Duration(n+1) * (t.horizon / spansMost)

	return end + t.horizon - t.issuer.Age(now)
}

// Tick forgets the tickets that are no longer honoured.
func (t *Table) Tick(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for n, s := range t.spans {
		if t.until(now, n) > 0 {
			continue
		}

		t.budget.free(len(s.records), len(s.closed), s.bytes)
		delete(t.spans, n)
	}
}
