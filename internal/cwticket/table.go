package cwticket

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The reasons of a failure.
const (
	ErrRunning = errors.ConstError("ticket: the work was started and has not ended yet, ask again with the same ticket")
	ErrLost    = errors.ConstError("ticket: the work was started and its outcome is not known")
	ErrContent = errors.ConstError("ticket: it was used for a request with another method, URI or body")
	ErrSpent   = errors.ConstError("ticket: a request with it was answered not-run, use the one of the reply")
	ErrFull    = errors.ConstError("ticket: no room for outcomes")
	ErrLate    = errors.ConstError("ticket: the request's time was over before its work began")
	ErrClosed  = errors.ConstError("ticket: its owner starts no more work")
	ErrPartial = errors.ConstError("ticket: its owner's outcomes were not handed over whole")
	ErrKept    = errors.ConstError("ticket: the work ran, but its answer was too large to keep")
)

// Outcome is the whole answer to work that ran.
type Outcome struct {
	Reply  *carobward.Reply
	Server carobward.Address
}

// state is what became of a ticket. A ticket with neither a record nor a
// mark that it is closed was never started.
type state uint8

const (
	started state = iota
	ran
	lost
)

// record is one line of the table.
type record struct {
	digest  Digest
	state   state
	live    *live
	outcome *Outcome
}

// live is what a record holds only while its work runs.
type live struct {
	began    time.Time
	deadline time.Time
	done     chan struct{}
}

// span holds the tickets whose prefixes were issued within one stretch of
// time, so that they are forgotten together and their memory is given back.
type span struct {
	records map[Key]*record
	closed  map[Key]struct{}
	bytes   carobward.ByteCount
}

// spansMost is how many spans make up the horizon.
const spansMost = 32

// phase is how far a table has come.
type phase uint8

const (
	// open: new work may be started.
	open phase = iota
	// closed: no new work, and every ticket that was started is here.
	closed
	// partial: no new work, and outcomes may be missing.
	partial
)

// Table holds what became of the tickets of one owner. It is safe for use by
// many goroutines.
type Table struct {
	issuer  *Issuer
	budget  *Budget
	horizon time.Duration

	mutex   sync.Mutex
	phase   phase
	spans   map[uint64]*span
	running int
	drained chan struct{}
	mean    time.Duration
}

// NewTable returns a table without records that takes new work.
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

func (t *Table) spanOf(k Key) uint64 {
	return uint64(k.issued() / (t.horizon / spansMost))
}

// span returns the span of a ticket, which is made where there is none.
func (t *Table) span(k Key) *span {
	n := t.spanOf(k)

	s := t.spans[n]
	if s == nil {
		s = &span{records: map[Key]*record{}, closed: map[Key]struct{}{}}
		t.spans[n] = s
	}

	return s
}

// Start claims a ticket for a call with the given content and deadline. With
// a claim the caller must do the work and settle the claim. Without one the
// recorded outcome is the answer, or the error, a Failure.
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
		return nil, nil, t.refuse(k.Key, fasthttp.StatusGatewayTimeout, retryAfter, ErrLate)
	}

	if !t.budget.start() {
		return nil, nil, t.refuse(k.Key, fasthttp.StatusServiceUnavailable, t.room(now), ErrFull)
	}

	l := &live{began: now, deadline: deadline, done: make(chan struct{})}
	s := t.span(k.Key)
	s.records[k.Key] = &record{digest: d, live: l}
	s.bytes += recordCost
	t.running++

	return &Claim{table: t, key: k.Key, live: l}, nil, nil
}

// Refuse closes a ticket whose request is given up for a reason that is not
// the ticket's. It returns a Failure: that one as not-run, or as unknown where
// the ticket was started or cannot be closed.
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

// Look returns what is recorded of a ticket, without any regard to content,
// and a channel that is closed once running work has ended; it is nil where
// the answer is final.
func (t *Table) Look(now time.Time, k Ticket) (<-chan struct{}, *Outcome, error) {
	if err := t.check(now, k); err != nil {
		return nil, nil, err
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	r := t.find(k.Key)
	if r == nil {
		return nil, nil, failure(carobward.Unknown, fasthttp.StatusServiceUnavailable, retryAfter, ErrLost)
	}

	answer, err, _ := t.known(now, k.Key, r.digest)
	if r.state == started {
		return r.live.done, answer, err
	}

	return nil, answer, err
}

// check refuses tickets that the owner did not issue or no longer keeps.
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
	s := t.spans[t.spanOf(k)]
	if s == nil {
		return nil
	}

	return s.records[k]
}

// known returns what is known of a ticket; ok is false where it may still be
// started.
func (t *Table) known(now time.Time, k Key, d Digest) (answer *Outcome, err error, ok bool) { //nolint:revive // The answer is the error, ok tells whether there is one.
	if r := t.find(k); r != nil {
		answer, err = t.recorded(now, r, d)

		return answer, err, true
	}

	if s := t.spans[t.spanOf(k)]; s != nil {
		if _, shut := s.closed[k]; shut {
			return nil, failure(carobward.NotRun, fasthttp.StatusConflict, retryAfter, ErrSpent), true
		}
	}

	switch t.phase {
	case closed:
		// Nobody but this owner could have started it, and it never will.
		return nil, failure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrClosed), true
	case partial:
		return nil, notStarted(fasthttp.StatusServiceUnavailable, retryAfter, ErrPartial), true
	default:
		return nil, nil, false
	}
}

// recorded returns what a record says. Other content under the same ticket is
// refused with unknown: what the ticket stands for may have run.
func (t *Table) recorded(now time.Time, r *record, d Digest) (*Outcome, error) {
	switch {
	case r.digest != d:
		return nil, failure(carobward.Unknown, fasthttp.StatusUnprocessableEntity, 0, ErrContent)
	case r.state == started:
		return nil, failure(carobward.Unknown, fasthttp.StatusConflict, t.wait(now, r.live), ErrRunning)
	case r.state == lost:
		return nil, failure(carobward.Unknown, fasthttp.StatusGone, 0, ErrLost)
	case r.outcome == nil:
		return nil, failure(carobward.Ran, fasthttp.StatusGone, 0, ErrKept)
	default:
		return r.outcome, nil
	}
}

// refuse gives a ticket up that has not been started. It is not-run only if
// the ticket can be closed: a late copy of the request must not run either.
func (t *Table) refuse(k Key, status int, retry time.Duration, cause error) error {
	if !t.shut(k) {
		return notStarted(status, retry, cause)
	}

	return failure(carobward.NotRun, status, retry, cause)
}

// shut marks a ticket so that it is never started.
func (t *Table) shut(k Key) bool {
	if !t.budget.close() {
		return false
	}

	t.span(k).closed[k] = struct{}{}

	return true
}

func failure(v carobward.Verdict, status int, retry time.Duration, cause error) *carobward.Failure {
	return carobward.NewFailure(v, status, retry, cause)
}

// notStarted is the failure of a request that did not run, while earlier ones
// with its ticket may have.
func notStarted(status int, retry time.Duration, cause error) *carobward.Failure {
	f := failure(carobward.Unknown, status, retry, cause)
	f.Attempt = carobward.NotRun

	return f
}
