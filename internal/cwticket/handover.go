package cwticket

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Close permanently stops the start of new work. From then on a ticket that
// isn't in the table has not run and never will.
func (t *Table) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.phase != open {
		return
	}

	t.phase = closed

	if t.running == 0 {
		close(t.drained)
	}
}

// Drain waits after Close until no work runs, or ctx is done.
func (t *Table) Drain(ctx context.Context) error {
	select {
	case <-t.drained:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "ticket: work was still running")
	}
}

// Entry is one ticket of a handover to another entry VM.
type Entry struct {
	Key    Key
	Digest Digest
	// Kind is the ticket's final state.
	Kind Kind
	// Outcome is set if the work ran and its outcome was kept.
	Outcome *Outcome
}

// Size returns the accounted memory of the ticket in bytes.
func (e *Entry) Size() int { return recordCost + int(answerSize(e.Outcome)) }

// Kind is the final state of a ticket that is handed over.
type Kind uint8

// The kinds of tickets.
const (
	// KindLost: the outcome is unknown.
	KindLost Kind = iota
	// KindRan: the work ran.
	KindRan
	// KindClosed: the work did not run and never will.
	KindClosed
)

// Export returns all tickets of a closed table. Work that is still running is
// exported as KindLost.
func (t *Table) Export() []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var all []Entry

	for _, s := range t.spans {
		for k, r := range s.records {
			e := Entry{Key: k, Digest: r.digest}
			if r.state == ran {
				e.Kind, e.Outcome = KindRan, r.outcome
			}

			all = append(all, e)
		}

		for k := range s.closed {
			all = append(all, Entry{Key: k, Kind: KindClosed})
		}
	}

	return all
}

// IsComplete reports whether the table is closed and has every ticket that its
// owner started.
func (t *Table) IsComplete() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.phase == closed
}

// NewSuccessor returns a table for the tickets that another owner hands over.
// Until MarkComplete, a ticket that is missing in it gets the verdict unknown.
func NewSuccessor(issuer *Issuer, budget *Budget) *Table {
	t := NewTable(issuer, budget)
	t.phase = partial
	close(t.drained)

	return t
}

// Import adds tickets that another owner hands over. If there is no room for
// all of them, it keeps those that it added and returns ErrFull.
func (t *Table) Import(all []Entry) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for i := range all {
		if !t.importEntry(&all[i]) {
			return ErrFull
		}
	}

	return nil
}

// importEntry adds one ticket and reports whether there was room. A ticket that
// is already in the table stays as it is.
func (t *Table) importEntry(e *Entry) bool {
	if e.Kind == KindClosed {
		_, exists := t.ensureSpan(e.Key).closed[e.Key]

		return exists || t.closeTicket(e.Key)
	}

	if t.find(e.Key) != nil {
		return true
	}

	size := answerSize(e.Outcome)
	if !t.budget.reserveRecord() {
		return false
	}

	r := &record{digest: e.Digest, state: lost}
	if e.Kind == KindRan {
		r.state = ran
	}

	s := t.ensureSpan(e.Key)
	s.records[e.Key] = r
	s.bytes += recordCost

	if t.budget.reserveAnswer(size) {
		r.outcome = e.Outcome
		s.bytes += size
	}

	return true
}

// MarkComplete records that every ticket has been handed over.
func (t *Table) MarkComplete() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.phase = closed
}

// Drop removes all tickets and releases their memory. The table then counts as
// incomplete.
func (t *Table) Drop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for n, s := range t.spans {
		t.budget.release(len(s.records), len(s.closed), s.bytes)
		delete(t.spans, n)
	}

	t.phase = partial
}

// Expired reports whether every ticket of the owner has expired, where last is
// the owner's age when it issued the last one.
func (t *Table) Expired(now time.Time, last time.Duration) bool {
	return t.issuer.Age(now)-last >= t.horizon
}
