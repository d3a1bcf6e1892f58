package cwspread

import (
	"sync"
	"time"
)

// Clock is a clock that stands until it is advanced.
type Clock struct {
	mutex sync.Mutex
	now   time.Time
}

// NewClock returns a clock that stands at a time.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the time that the clock shows.
func (c *Clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.now
}

// Advance moves the clock on.
func (c *Clock) Advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.now = c.now.Add(d)
}
