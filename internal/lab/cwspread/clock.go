package cwspread

import (
	"sync"
	"time"
)

// Clock is a clock that stands still until it is advanced.
type Clock struct {
	mutex sync.Mutex
	now   time.Time
}

// NewClock returns a clock that shows a time.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the clock's time.
func (c *Clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.now
}

// Advance moves the clock forward.
func (c *Clock) Advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.now = c.now.Add(d)
}
