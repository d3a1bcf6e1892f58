package cwticket

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Options bound what is kept of tickets.
type Options struct {
	// Horizon is how long after the issue of its prefix a ticket is honoured
	// and its outcome kept.
	Horizon time.Duration
	// Records is the most outcomes kept at once, and as many tickets that
	// were closed without having run.
	Records int
	// Bytes bounds the memory of the outcomes with their answers.
	Bytes carobward.ByteCount
}

// The cost of one record without its answer, and of one field of an answer,
// in bytes. BenchmarkRecord measures less.
const (
	recordCost  = 160
	outcomeCost = 224
	fieldCost   = 48
)

// Work is started only below this share of the bytes, so that the answers of
// what has been started find room.
const (
	startShare = 3
	startOf    = 4
)

// Budget is the room that all tables of one entry VM share.
type Budget struct {
	options Options

	mutex   sync.Mutex
	records int
	closed  int
	bytes   carobward.ByteCount
}

// NewBudget returns a budget with nothing taken.
func NewBudget(o Options) *Budget { return &Budget{options: o} }

// Used returns how many records and closed tickets are kept, and the bytes.
func (b *Budget) Used() (records, closed int, bytes carobward.ByteCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.records, b.closed, b.bytes
}

// start takes the room of one record.
func (b *Budget) start() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.records >= b.options.Records || b.bytes+recordCost > b.options.Bytes/startOf*startShare {
		return false
	}

	b.records++
	b.bytes += recordCost

	return true
}

// answer takes the room of an answer, if there is any.
func (b *Budget) answer(size carobward.ByteCount) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.bytes+size > b.options.Bytes {
		return false
	}

	b.bytes += size

	return true
}

// close takes the room of one closed ticket.
func (b *Budget) close() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.closed >= b.options.Records {
		return false
	}

	b.closed++

	return true
}

// free gives room back.
func (b *Budget) free(records, closed int, bytes carobward.ByteCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.records -= records
	b.closed -= closed
	b.bytes -= bytes
}

// sizeOf returns what an answer costs.
func sizeOf(o *Outcome) carobward.ByteCount {
	if o == nil {
		return 0
	}

	size := carobward.ByteCount(outcomeCost + len(o.Reply.Body) + len(o.Server))
	for _, f := range o.Reply.Header {
		size += carobward.ByteCount(fieldCost + len(f.Name) + len(f.Value))
	}

	return size
}
