package carobward

import (
	"context"
	"time"
)

// Clock tells the time. Decisions take the time as an argument; only the
// edges hold a Clock.
type Clock interface {
	// Now returns the current time, with its monotonic reading.
	Now() time.Time
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// Pause waits for a time or for the end of the context.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// SetBack returns a time that a clock told before a while that the clock did not count. The
// zero time, which is none, stays.
func SetBack(t time.Time, by time.Duration) time.Time {
	if t.IsZero() {
		return t
	}

	return t.Add(-by)
}
