package cwticket

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The causes of the failures that a table returns.
const (
	ErrRunning         = errors.ConstError("ticket: the work was started and has not ended yet, ask again with the same ticket")
	ErrOutcomeUnknown  = errors.ConstError("ticket: the work was started and its outcome is not known")
	ErrContentMismatch = errors.ConstError("ticket: it was used for a request with another method, URI or body")
	ErrSpent           = errors.ConstError("ticket: a request with it was answered not-run, use the one of the reply")
	ErrFull            = errors.ConstError("ticket: no room for outcomes")
	ErrLate            = errors.ConstError("ticket: the request's time was over before its work began")
	ErrClosed          = errors.ConstError("ticket: its owner starts no more work")
	ErrPartial         = errors.ConstError("ticket: its owner's outcomes were not handed over whole")
	ErrAnswerTooLarge  = errors.ConstError("ticket: the work ran, but its answer was too large to keep")
)

// Outcome is the complete reply to work that ran, and the server that sent it.
type Outcome struct {
	Reply  *carobward.Reply
	Server carobward.Address
}

// state is the state of a ticket's work. A ticket that has no record and isn't
// closed was never started.
type state uint8

const (
	started state = iota
	ran
	lost
)

// record is the entry of a ticket in the table.
type record struct {
	digest    Digest
	state     state
	execution *execution
	outcome   *Outcome
}

// execution is the part of a record that exists only while its work runs.
type execution struct {
	began    time.Time
	deadline time.Time
	done     chan struct{}
}

// span holds the tickets whose prefixes were issued within one time interval.
// They expire together, which frees their memory at once.
type span struct {
	records map[Key]*record
	closed  map[Key]struct{}
	bytes   carobward.ByteCount
}

// spansPerHorizon is the number of spans into which the horizon is divided.
const spansPerHorizon = 32

// phase says whether a table accepts new work and whether it is complete.
type phase uint8

const (
	// open: new work may be started.
	open phase = iota
	// closed: no new work; the table has every ticket that was started.
	closed
	// partial: no new work; outcomes may be missing.
	partial
)

// Table records the outcomes of the tickets of one owner. It is safe for
// concurrent use.
type Table struct {
	issuer  *Issuer
	budget  *Budget
	horizon time.Duration

	mutex       sync.Mutex
	phase       phase
	spans       map[uint64]*span
	running     int
	drained     chan struct{}
	meanRunTime time.Duration
}

// NewTable returns an empty table that accepts new work.
func NewTable(issuer *Issuer, budget *Budget) *Table {
	return &Table{
		issuer:  issuer,
		budget:  budget,
		horizon: budget.options.Horizon,
		spans:   map[uint64]*span{},
		drained: make(chan struct{}),
	}
}

// Issuer returns the issuer of the table's tickets.
func (t *Table) Issuer() *Issuer { return t.issuer }

func (t *Table) spanIndex(k Key) uint64 {
	return uint64(k.issued() / (t.horizon / spansPerHorizon))
}

// ensureSpan returns the span of a ticket and creates it if there is none.
func (t *Table) ensureSpan(k Key) *span {
	n := t.spanIndex(k)

	s := t.spans[n]
	if s == nil {
		s = &span{records: map[Key]*record{}, closed: map[Key]struct{}{}}
		t.spans[n] = s
	}

	return s
}

// Start claims a ticket for a call with the given content and deadline. If it
// returns a claim, the caller must do the work and settle the claim. Otherwise
// it returns the recorded outcome, or a *carobward.Failure as the error.
func (t *Table) Start(now time.Time, k Ticket, d Digest, deadline time.Time) (*Claim, *Outcome, error) {
	if err := t.check(now, k); err != nil {
		return nil, nil, err
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	if answer, err, ok := t.known(now, k.Key, d); ok {
		return nil, answer, err
	}

	if !now.Before(deadline) {
		return nil, nil, t.refuse(k.Key, fasthttp.StatusGatewayTimeout, defaultRetry, ErrLate)
	}

	if !t.budget.reserveRecord() {
		return nil, nil, t.refuse(k.Key, fasthttp.StatusServiceUnavailable, t.fullRetryDelay(now), ErrFull)
	}

	x := &execution{began: now, deadline: deadline, done: make(chan struct{})}
	s := t.ensureSpan(k.Key)
	s.records[k.Key] = &record{digest: d, execution: x}
	s.bytes += recordCost
	t.running++

	return &Claim{table: t, key: k.Key, execution: x}, nil, nil
}

// Refuse closes the ticket of a request that is refused for the reason f, which
// is unrelated to the ticket. The error is a *carobward.Failure: f with the
// verdict not-run, or unknown if the ticket was started or can't be closed.
func (t *Table) Refuse(now time.Time, k Ticket, f *carobward.Failure) error {
	if err := t.check(now, k); err != nil {
		return err
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.find(k.Key) != nil || t.phase == partial {
		return notStarted(f.Status, f.RetryAfter, f.Cause)
	}

	if _, err, ok := t.known(now, k.Key, Digest{}); ok {
		return err
	}

	return t.refuse(k.Key, f.Status, f.RetryAfter, f.Cause)
}

// Lookup returns the recorded outcome of a ticket without comparing the
// request's content. While the work runs, it also returns a channel that is
// closed when the work ends; the channel is nil if the result is final.
func (t *Table) Lookup(now time.Time, k Ticket) (<-chan struct{}, *Outcome, error) {
	if err := t.check(now, k); err != nil {
		return nil, nil, err
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	r := t.find(k.Key)
	if r == nil {
		return nil, nil, failure(carobward.Unknown, fasthttp.StatusServiceUnavailable, defaultRetry, ErrOutcomeUnknown)
	}

	answer, err, _ := t.known(now, k.Key, r.digest)
	if r.state == started {
		return r.execution.done, answer, err
	}

	return nil, answer, err
}

// check returns a failure for a ticket that the owner didn't issue or that has
// expired.
func (t *Table) check(now time.Time, k Ticket) error {
	err := t.issuer.check(k, now, t.horizon)

	switch {
	case errors.Is(err, ErrExpired):
		return notStarted(fasthttp.StatusGone, 0, err)
	case err != nil:
		return notStarted(fasthttp.StatusBadRequest, 0, err)
	default:
		return nil
	}
}

func (t *Table) find(k Key) *record {
	s := t.spans[t.spanIndex(k)]
	if s == nil {
		return nil
	}

	return s.records[k]
}

// known returns the recorded outcome or the failure of a ticket. ok is false if
// the ticket may still be started.
func (t *Table) known(now time.Time, k Key, d Digest) (answer *Outcome, err error, ok bool) { //nolint:revive // The error is a result of the lookup; ok reports whether there is one.
	if r := t.find(k); r != nil {
		answer, err = t.recorded(now, r, d)

		return answer, err, true
	}

	if s := t.spans[t.spanIndex(k)]; s != nil {
		if _, isClosed := s.closed[k]; isClosed {
			return nil, failure(carobward.NotRun, fasthttp.StatusConflict, defaultRetry, ErrSpent), true
		}
	}

	switch t.phase {
	case closed:
		// Only this owner could have started it, and it starts no more work.
		return nil, failure(carobward.NotRun, fasthttp.StatusServiceUnavailable, defaultRetry, ErrClosed), true
	case partial:
		return nil, notStarted(fasthttp.StatusServiceUnavailable, defaultRetry, ErrPartial), true
	default:
		return nil, nil, false
	}
}

// recorded returns the outcome or the failure of a record. A request with
// other content under the same ticket gets the verdict unknown, since the work
// that the ticket was first used for may have run.
func (t *Table) recorded(now time.Time, r *record, d Digest) (*Outcome, error) {
	switch {
	case r.digest != d:
		return nil, failure(carobward.Unknown, fasthttp.StatusUnprocessableEntity, 0, ErrContentMismatch)
	case r.state == started:
		return nil, failure(carobward.Unknown, fasthttp.StatusConflict, t.retryDelay(now, r.execution), ErrRunning)
	case r.state == lost:
		return nil, failure(carobward.Unknown, fasthttp.StatusGone, 0, ErrOutcomeUnknown)
	case r.outcome == nil:
		return nil, failure(carobward.Ran, fasthttp.StatusGone, 0, ErrAnswerTooLarge)
	default:
		return r.outcome, nil
	}
}

// refuse returns the failure of a request whose ticket has not been started.
// Its verdict is not-run only if the ticket can be closed: otherwise a delayed
// duplicate of the request could still run.
func (t *Table) refuse(k Key, status int, retry time.Duration, cause error) error {
	if !t.closeTicket(k) {
		return notStarted(status, retry, cause)
	}

	return failure(carobward.NotRun, status, retry, cause)
}

// closeTicket marks a ticket so that it is never started. It reports false if
// there is no room for the mark.
func (t *Table) closeTicket(k Key) bool {
	if !t.budget.reserveClosed() {
		return false
	}

	t.ensureSpan(k).closed[k] = struct{}{}

	return true
}

func failure(v carobward.Verdict, status int, retry time.Duration, cause error) *carobward.Failure {
	return carobward.NewFailure(v, status, retry, cause)
}

// notStarted returns the failure of a request that did not run itself, while
// an earlier one with the same ticket may have run.
func notStarted(status int, retry time.Duration, cause error) *carobward.Failure {
	f := failure(carobward.Unknown, status, retry, cause)
	f.Attempt = carobward.NotRun

	return f
}
