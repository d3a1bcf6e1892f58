package cwticket

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Options bound which outcomes of tickets are kept, and for how long.
type Options struct {
	// Horizon is how long after the issue of its prefix a ticket is accepted
	// and its outcome kept.
	Horizon time.Duration
	// Records is the maximum number of outcomes, and also that of closed
	// tickets: those that never ran and may not be started.
	Records int
	// Bytes bounds the memory of the outcomes including their replies.
	Bytes carobward.ByteCount
}

// The accounted memory in bytes of a record without its outcome, of an outcome
// without body and header, and of a header field of its reply. They are above
// the real use.
const (
	recordCost  = 160
	outcomeCost = 240
	fieldCost   = 48
)

// New work is started only while at most 3/4 of the bytes are in use, so that
// there is room for the replies of work that is already running.
const (
	startNumerator   = 3
	startDenominator = 4
)

// Budget counts the records and the memory that all tables of one entry VM
// share.
type Budget struct {
	options Options

	mutex   sync.Mutex
	records int
	closed  int
	bytes   carobward.ByteCount
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(o Options) *Budget { return &Budget{options: o} }

// Used returns the number of records, of closed tickets and of bytes in use.
func (b *Budget) Used() (records, closed int, bytes carobward.ByteCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.records, b.closed, b.bytes
}

// reserveRecord reserves memory for one record and reports whether there was
// enough.
func (b *Budget) reserveRecord() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.records >= b.options.Records || b.bytes+recordCost > b.options.Bytes/startDenominator*startNumerator {
		return false
	}

	b.records++
	b.bytes += recordCost

	return true
}

// reserveAnswer reserves memory for an outcome and reports whether there was
// enough.
func (b *Budget) reserveAnswer(size carobward.ByteCount) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.bytes+size > b.options.Bytes {
		return false
	}

	b.bytes += size

	return true
}

// reserveClosed reserves the place of one closed ticket and reports whether
// there was one.
func (b *Budget) reserveClosed() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.closed >= b.options.Records {
		return false
	}

	b.closed++

	return true
}

// release returns what was reserved.
func (b *Budget) release(records, closed int, bytes carobward.ByteCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.records -= records
	b.closed -= closed
	b.bytes -= bytes
}

// answerSize returns the accounted memory of an outcome in bytes.
func answerSize(o *Outcome) carobward.ByteCount {
	if o == nil {
		return 0
	}

	size := carobward.ByteCount(outcomeCost + len(o.Reply.Body) + len(o.Server))
	for _, f := range o.Reply.Header {
		size += carobward.ByteCount(fieldCost + len(f.Name) + len(f.Value))
	}

	return size
}
