// Package cwbudget keeps this entry VM within its share of the measurement
// budget that operators set: the limit of health probes and load reports for all
// entry VMs together. See docs/design/budget.md.
package cwbudget

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Cost is what measurement costs.
type Cost struct {
	// Calls is the number of requests made only to measure.
	Calls int64
	// Bytes is the number of bytes sent and received only to measure.
	Bytes int64
}

// Plus returns the sum of both costs.
func (c Cost) Plus(d Cost) Cost { return Cost{c.Calls + d.Calls, c.Bytes + d.Bytes} }

// Minus returns c less d.
func (c Cost) Minus(d Cost) Cost { return Cost{c.Calls - d.Calls, c.Bytes - d.Bytes} }

// Within reports whether neither calls nor bytes exceed the limit.
func (c Cost) Within(limit Cost) bool { return c.Calls <= limit.Calls && c.Bytes <= limit.Bytes }

// View is the fleet as this entry VM sees it.
type View struct {
	// Budget is what all entry VMs together may spend per second.
	Budget Cost
	// Size is the highest number of entry VMs that any source shows, including
	// this one.
	Size int
	// Rank is the position of this entry VM's id among those that it sees.
	Rank int
	// At is when a source last answered.
	At time.Time
}

// The parameters of an account.
const (
	// settleDelay is how long a new entry VM spends nothing, so that the others
	// count it first, and how long one spends nothing after its turns changed,
	// so that two entry VMs whose views differ by less than that never spend in
	// overlapping turns.
	settleDelay = 5 * time.Second
	// maxTickGap is the longest pause between two ticks. After a longer one this
	// entry VM counts as new again.
	maxTickGap = 2 * time.Second
	// maxViewAge is how long a view is valid without an answer of any source.
	maxViewAge = 10 * time.Second
	// maxSizeAge is how long the highest size is remembered.
	maxSizeAge = time.Minute
	// headroomDivisor divides the size to get the number of entry VMs to
	// reserve shares for that have not been seen yet.
	headroomDivisor = 4
)

// Account is this entry VM's share of the budget and what it spent of it.
type Account struct {
	mutex          sync.Mutex
	sizes          sizes
	view           View
	joinedAt       time.Time
	tickedAt       time.Time
	turnsChangedAt time.Time
	share          share
	pending        Cost
	window         window
	total          Cost
}

// New returns an account that grants nothing until it has a view of the fleet.
func New() *Account { return &Account{} }

// Tick sets the current view. It must be called more often than every two
// seconds.
func (a *Account) Tick(now time.Time, v View) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.tickedAt.IsZero() || now.Sub(a.tickedAt) > maxTickGap {
		a.joinedAt = now
		a.sizes = nil
	}

	a.tickedAt = now
	a.sizes.add(now, v.Size)
	v.Size = a.sizes.highest(now)
	a.view = v

	next := newShare(v)
	if next.turns != a.share.turns || next.rank != a.share.rank {
		a.turnsChangedAt = now
	}

	a.share = next
}

// Reserve reserves the cost of a measurement that is about to begin and reports
// whether the account allows it. The reservation counts as spent until Settle.
func (a *Account) Reserve(now time.Time, c Cost) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if !a.ready(now) || !a.share.inTurn(now) {
		return false
	}

	spent := a.window.sum(now, a.share.period()).Plus(a.pending)
	if !spent.Plus(c).Within(a.share.limit) {
		return false
	}

	a.pending = a.pending.Plus(c)

	return true
}

// ReserveReport reserves the bytes of a report on a reply, which may arrive
// late. It refuses if the budget is so small that entry VMs take turns, because
// a late report could fall into another one's turn.
func (a *Account) ReserveReport(now time.Time, bytes int64) bool {
	a.mutex.Lock()
	turns := a.share.turns
	a.mutex.Unlock()

	return turns <= 1 && a.Reserve(now, Cost{Bytes: bytes})
}

// Settle replaces a reservation by what was spent. The end is the time after
// which the measurement can cost nothing more.
func (a *Account) Settle(end time.Time, reserved, spent Cost) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.pending = a.pending.Minus(reserved)
	a.window.add(end, spent)
	a.total = a.total.Plus(spent)
}

// Limit returns what this entry VM may spend per second now.
func (a *Account) Limit(now time.Time) Cost {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if !a.ready(now) {
		return Cost{}
	}

	return a.share.limit
}

// Total returns what has been spent since the start.
func (a *Account) Total() Cost {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.total
}

// ready reports whether this entry VM has a current view of the fleet and has
// been in it long enough for the others to count it.
func (a *Account) ready(now time.Time) bool {
	if a.share.turns > 1 && now.Sub(a.turnsChangedAt) < settleDelay {
		return false
	}

	return !a.tickedAt.IsZero() &&
		now.Sub(a.tickedAt) <= maxTickGap &&
		now.Sub(a.joinedAt) >= settleDelay &&
		now.Sub(a.view.At) <= maxViewAge &&
		a.view.At.After(a.joinedAt)
}

// DefaultBudget returns the budget that applies until operators set one.
func DefaultBudget() Cost {
	const (
		calls = 100
		bytes = int64(carobward.Megabyte)
	)

	return Cost{Calls: calls, Bytes: bytes}
}
