package cwticket

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Close ends the starting of new work for good. From then on a ticket that
// is not in the table has not run and never will.
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

// Drain waits until no work runs, after Close.
func (t *Table) Drain(ctx context.Context) error {
	select {
	case <-t.drained:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "ticket: work was still running")
	}
}

// Entry is one ticket as it is handed over.
type Entry struct {
	Key    Key
	Digest Digest
	// Kind is what became of the ticket.
	Kind Kind
	// Outcome is the answer of one that ran, if it was kept.
	Outcome *Outcome
}

// Size returns what the ticket costs in bytes.
func (e *Entry) Size() int { return recordCost + int(sizeOf(e.Outcome)) }

// Kind is what became of a ticket.
type Kind uint8

// The kinds of a ticket that is handed over.
const (
	// KindLost: the outcome is not known.
	KindLost Kind = iota
	// KindRan: the work ran.
	KindRan
	// KindClosed: the work did not run and never will.
	KindClosed
)

// Export returns all tickets of a closed table. Work that still runs is
// handed over as lost.
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

// Whole tells whether the table has every ticket that its owner started.
func (t *Table) Whole() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.phase == closed
}

// NewSuccessor returns the table of an owner that hands its tickets over. Until
// Complete it answers for none of those that are missing.
func NewSuccessor(issuer *Issuer, budget *Budget) *Table {
	t := NewTable(issuer, budget)
	t.phase = partial
	close(t.drained)

	return t
}

// Import takes handed over tickets. It returns ErrFull if there is no room,
// and then keeps what it took.
func (t *Table) Import(all []Entry) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for i := range all {
		if !t.take(&all[i]) {
			return ErrFull
		}
	}

	return nil
}

// take files one ticket. One that is there already stays as it is.
func (t *Table) take(e *Entry) bool {
	if e.Kind == KindClosed {
		_, has := t.span(e.Key).closed[e.Key]

		return has || t.shut(e.Key)
	}

	if t.find(e.Key) != nil {
		return true
	}

	size := sizeOf(e.Outcome)
	if !t.budget.start() {
		return false
	}

	r := &record{digest: e.Digest, state: lost}
	if e.Kind == KindRan {
		r.state = ran
	}

	s := t.span(e.Key)
	s.records[e.Key] = r
	s.bytes += recordCost

	if t.budget.answer(size) {
		r.outcome = e.Outcome
		s.bytes += size
	}

	return true
}

// Complete marks that every ticket has been handed over.
func (t *Table) Complete() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.phase = closed
}

// Drop gives the table's room back.
func (t *Table) Drop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for n, s := range t.spans {
		t.budget.free(len(s.records), len(s.closed), s.bytes)
		delete(t.spans, n)
	}

	t.phase = partial
}

// Expired tells whether the last ticket that the owner can have issued, at
// the given age, is no longer honoured.
func (t *Table) Expired(now time.Time, last time.Duration) bool {
	return t.issuer.Age(now)-last >= t.horizon
}
