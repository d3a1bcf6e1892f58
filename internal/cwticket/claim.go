package cwticket

import (
	"time"

	"carobward.example/carobward"
)

// Claim is the right and the obligation to do the work of one ticket. It must
// be settled by Ran, NotRun or Lost; Close settles a claim that is still open.
type Claim struct {
	table     *Table
	key       Key
	execution *execution
}

// Done is closed once the claim is settled.
func (c *Claim) Done() <-chan struct{} { return c.execution.done }

// Ran records that the work ran, with its outcome. If there is no room for the
// outcome, only the fact that the work ran is kept.
func (c *Claim) Ran(now time.Time, o *Outcome) {
	c.settle(now, func(s *span, r *record) {
		r.state = ran

		if size := answerSize(o); c.table.budget.reserveAnswer(size) {
			r.outcome = o
			s.bytes += size
		}
	})
}

// Lost records that the outcome is unknown.
func (c *Claim) Lost(now time.Time) {
	c.settle(now, func(_ *span, r *record) { r.state = lost })
}

// Close records the outcome as unknown if the claim isn't settled, so that a
// panic or an early return doesn't leave the ticket in the running state.
func (c *Claim) Close(now time.Time) { c.Lost(now) }

// NotRun records that the work certainly did not run, and returns the verdict
// for the caller. With only set, no other request has ever had the ticket, and
// it stays usable. Otherwise the ticket is closed, since a delayed duplicate of
// a request that was answered not-run must not run. If there is no room to
// close it, the verdict is Unknown and the ticket stays usable.
func (c *Claim) NotRun(now time.Time, only bool) carobward.Verdict {
	v := carobward.Unknown

	c.settle(now, func(s *span, _ *record) {
		delete(s.records, c.key)
		s.bytes -= recordCost
		c.table.budget.release(1, 0, recordCost)

		if only || c.table.closeTicket(c.key) {
			v = carobward.NotRun
		}
	})

	return v
}

// settle ends the running state and calls update with the ticket's record. It
// does nothing if the claim is settled already.
func (c *Claim) settle(now time.Time, update func(*span, *record)) {
	t := c.table

	t.mutex.Lock()
	defer t.mutex.Unlock()

	select {
	case <-c.execution.done:
		return
	default:
	}

	close(c.execution.done)
	t.workEnded(now, c.execution)

	r := t.find(c.key)
	if r == nil { // The ticket has expired.
		return
	}

	r.execution = nil

	update(t.ensureSpan(c.key), r)
}

// The time after which a caller should retry.
const (
	// defaultRetry is used if there is no better estimate.
	defaultRetry = 500 * time.Millisecond
	minRetry     = 20 * time.Millisecond
	// meanWeight is the inverse weight of one run in the moving average of
	// run times: 1/8.
	meanWeight = 8
)

// workEnded updates the average run time and the number of running tickets.
func (t *Table) workEnded(now time.Time, x *execution) {
	t.meanRunTime += (now.Sub(x.began) - t.meanRunTime) / meanWeight
	t.running--

	if t.running == 0 && t.phase != open {
		close(t.drained)
	}
}

// retryDelay estimates when running work ends: after the average run time, or
// halfway to its deadline if it has already run for longer.
func (t *Table) retryDelay(now time.Time, x *execution) time.Duration {
	left := x.deadline.Sub(now)

	after := t.meanRunTime - now.Sub(x.began)
	if after <= 0 {
		after = left / 2
	}

	return max(minRetry, min(after, left))
}

// fullRetryDelay estimates when a full table has room again: when its oldest
// span expires.
func (t *Table) fullRetryDelay(now time.Time) time.Duration {
	first, found := uint64(0), false

	for n, s := range t.spans {
		if len(s.records) > 0 && (!found || n < first) {
			first, found = n, true
		}
	}

	if !found {
		return defaultRetry
	}

	return max(defaultRetry, t.timeToExpiry(now, first))
}

// timeToExpiry returns how long span n is still kept.
func (t *Table) timeToExpiry(now time.Time, n uint64) time.Duration {
	end := time.Duration(n+1) * (t.horizon / spansPerHorizon)

	return end + t.horizon - t.issuer.Age(now)
}

// Tick removes expired tickets.
func (t *Table) Tick(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for n, s := range t.spans {
		if t.timeToExpiry(now, n) > 0 {
			continue
		}

		t.budget.release(len(s.records), len(s.closed), s.bytes)
		delete(t.spans, n)
	}
}
