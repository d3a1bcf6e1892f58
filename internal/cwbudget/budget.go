// Package cwbudget keeps this entry VM within its share of the operators'
// measuring budget, which holds for all entry VMs together. See
// docs/design/budget.md.
package cwbudget

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Cost is what measuring spends.
type Cost struct {
	// Calls is the number of requests made only to measure.
	Calls int64
	// Bytes is the number of bytes sent and received only to measure.
	Bytes int64
}

// Plus returns the sum of both costs.
func (c Cost) Plus(d Cost) Cost { return Cost{c.Calls + d.Calls, c.Bytes + d.Bytes} }

// Minus returns what is left of c without d.
func (c Cost) Minus(d Cost) Cost { return Cost{c.Calls - d.Calls, c.Bytes - d.Bytes} }

// Within tells whether neither calls nor bytes are more than the most.
func (c Cost) Within(most Cost) bool { return c.Calls <= most.Calls && c.Bytes <= most.Bytes }

// View is what this entry VM knows of the fleet.
type View struct {
	// Budget is what all entry VMs together may spend a second.
	Budget Cost
	// Size is the highest number of entry VMs that any source shows, this
	// one among them.
	Size int
	// Rank is the place of this entry VM among the ids that it knows.
	Rank int
	// At is when a source last answered.
	At time.Time
}

// The rules of a share.
const (
	// settle is how long a newcomer waits, so that the others count it, and
	// how long a change of turns takes effect after, so that two VMs never
	// take their turns by different views that are less far apart.
	settle = 5 * time.Second
	// gapMost is the longest pause between two ticks. After a longer one this
	// entry VM is a newcomer again.
	gapMost = 2 * time.Second
	// viewKeep is how long a view holds without an answer of any source.
	viewKeep = 10 * time.Second
	// sizeKeep is how long the highest size is remembered.
	sizeKeep = time.Minute
	// headroom divides the size to get the room for VMs not yet seen.
	headroom = 4
)

// Account is this entry VM's share of the budget.
type Account struct {
	mutex  sync.Mutex
	sizes  sizes
	view   View
	since  time.Time
	ticked time.Time
	steady time.Time
	share  share
	held   Cost
	window window
	total  Cost
}

// New returns an account that may spend nothing until it knows the fleet.
func New() *Account { return &Account{} }

// Tick takes the current view. It must be called more often than once in two
// seconds.
func (a *Account) Tick(now time.Time, v View) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.ticked.IsZero() || now.Sub(a.ticked) > gapMost {
		a.since = now
		a.sizes = nil
	}

	a.ticked = now
	a.sizes.note(now, v.Size)
	v.Size = a.sizes.highest(now)
	a.view = v

	next := newShare(v)
	if next.turns != a.share.turns || next.rank != a.share.rank {
		a.steady = now
	}

	a.share = next
}

// Reserve asks for the cost of measuring that is about to begin. What is
// granted counts as spent until Settle.
func (a *Account) Reserve(now time.Time, c Cost) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if !a.open(now) || !a.share.open(now) {
		return false
	}

	spent := a.window.sum(now, a.share.span()).Plus(a.held)
	if !spent.Plus(c).Within(a.share.most) {
		return false
	}

	a.held = a.held.Plus(c)

	return true
}

// ReserveReport asks for the bytes of a report on a reply, which may come
// late. It is refused where the budget is too small to divide by bytes alone.
func (a *Account) ReserveReport(now time.Time, bytes int64) bool {
	a.mutex.Lock()
	turns := a.share.turns
	a.mutex.Unlock()

	return turns <= 1 && a.Reserve(now, Cost{Bytes: bytes})
}

// Settle ends a reservation with what was spent, at the time when no more
// can follow.
func (a *Account) Settle(end time.Time, reserved, spent Cost) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.held = a.held.Minus(reserved)
	a.window.add(end, spent)
	a.total = a.total.Plus(spent)
}

// Most returns what this entry VM may spend a second now.
func (a *Account) Most(now time.Time) Cost {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if !a.open(now) {
		return Cost{}
	}

	return a.share.most
}

// Total returns what has been spent since the start.
func (a *Account) Total() Cost {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.total
}

// open tells whether this entry VM knows the fleet and is known in it.
func (a *Account) open(now time.Time) bool {
	if a.share.turns > 1 && now.Sub(a.steady) < settle {
		return false
	}

	return !a.ticked.IsZero() &&
		now.Sub(a.ticked) <= gapMost &&
		now.Sub(a.since) >= settle &&
		now.Sub(a.view.At) <= viewKeep &&
		a.view.At.After(a.since)
}

// DefaultBudget is in force until the operators set one.
func DefaultBudget() Cost {
	const (
		calls = 100
		bytes = int64(carobward.Megabyte)
	)

	return Cost{Calls: calls, Bytes: bytes}
}
