package cwmemory

import (
	"sync/atomic"

	"carobward.example/carobward"
)

// Budget bounds the memory of one part of a Plan. Whoever takes some gives it back. The nil budget has no bound.
// It is safe for concurrent use.
type Budget struct {
	most, reserve carobward.ByteCount
	used, refused atomic.Int64
}

// NewBudget returns a budget of a number of bytes. Only TakeSmall gets those of the reserve.
func NewBudget(most, reserve carobward.ByteCount) *Budget {
	return &Budget{most: most, reserve: reserve}
}

// Take takes some bytes and reports whether there were as many.
func (b *Budget) Take(n carobward.ByteCount) bool {
	return b == nil || b.take(n, b.most-b.reserve)
}

// TakeSmall takes some bytes, also of the reserve, and reports whether there were as many.
func (b *Budget) TakeSmall(n carobward.ByteCount) bool {
	return b == nil || b.take(n, b.most)
}

func (b *Budget) take(n, most carobward.ByteCount) bool {
	if b.used.Add(int64(n)) <= int64(most) {
		return true
	}

	b.used.Add(-int64(n))
	b.refused.Add(1)

	return false
}

// Give gives back what was taken.
func (b *Budget) Give(n carobward.ByteCount) {
	if b != nil {
		b.used.Add(-int64(n))
	}
}

// Used returns how many bytes are taken.
func (b *Budget) Used() carobward.ByteCount { return carobward.ByteCount(b.used.Load()) }

// Refused returns how often there were not enough bytes.
func (b *Budget) Refused() int64 { return b.refused.Load() }
