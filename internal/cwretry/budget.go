// Package cwretry decides when a request is sent a second time: retries and
// hedges share one budget, a share of all requests, so that an outage is not
// amplified by them.
package cwretry

import "sync"

// Budget is a token bucket that fills with requests, not with time.
type Budget struct {
	share, most float64

	mutex  sync.Mutex
	tokens float64
}

// NewBudget returns a full budget: share is the number of extra calls for
// each request, most bounds how many can be saved up.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, tokens: most}
}

// Earn notes a request.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.tokens = min(b.most, b.tokens+b.share)
}

// Take spends one extra call if the budget has it.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}
