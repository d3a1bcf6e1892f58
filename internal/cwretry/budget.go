// Package cwretry decides when a request is sent a second time. Retries and hedges share
// one budget, a fraction of all requests, so that they don't amplify an outage.
package cwretry

import "sync"

// Budget is a token bucket that fills with requests, not with time.
type Budget struct {
	share, most float64

	mutex  sync.Mutex
	tokens float64
}

// NewBudget returns a full budget. Share is the number of extra calls earned by each
// request, most the number that can be saved up.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, tokens: most}
}

// Earn records a request, which earns a share of an extra call.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.tokens = min(b.most, b.tokens+b.share)
}

// Take spends one extra call and reports whether the budget had one left.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}
