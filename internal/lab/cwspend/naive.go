package cwspend

import (
	"time"

	"carobward.example/carobward/internal/cwbudget"
)

// Spender decides what one entry VM may spend on measurements. cwbudget.Account
// implements it.
type Spender interface {
	Tick(now time.Time, v cwbudget.View)
	Reserve(now time.Time, c cwbudget.Cost) bool
	ReserveReport(now time.Time, bytes int64) bool
	Settle(end time.Time, reserved, spent cwbudget.Cost)
}

// Account returns the spender that entry VMs use.
func Account() Spender { return cwbudget.New() }

// Bucket returns the naive spender: a token bucket that is filled at the budget
// divided by the fleet size that this entry VM sees, and holds the whole budget
// of one second.
func Bucket() Spender { return &bucket{} }

type bucket struct {
	filled       time.Time
	calls, bytes float64
}

// Tick fills the bucket for the time since the last tick, pauses included.
func (b *bucket) Tick(now time.Time, v cwbudget.View) {
	if !b.filled.IsZero() {
		share := now.Sub(b.filled).Seconds() / float64(v.Size)
		calls, bytes := float64(v.Budget.Calls), float64(v.Budget.Bytes)

		b.calls = min(calls, b.calls+share*calls)
		b.bytes = min(bytes, b.bytes+share*bytes)
	}

	b.filled = now
}

// Reserve takes the cost out of the bucket if it holds as much.
func (b *bucket) Reserve(_ time.Time, c cwbudget.Cost) bool {
	if float64(c.Calls) > b.calls || float64(c.Bytes) > b.bytes {
		return false
	}

	b.calls -= float64(c.Calls)
	b.bytes -= float64(c.Bytes)

	return true
}

// ReserveReport takes the bytes of a report out of the bucket if it holds as
// many.
func (b *bucket) ReserveReport(now time.Time, bytes int64) bool {
	return b.Reserve(now, cwbudget.Cost{Bytes: bytes})
}

// Settle does nothing: what was reserved counts as spent.
func (b *bucket) Settle(time.Time, cwbudget.Cost, cwbudget.Cost) {}
