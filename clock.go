package carobward

import (
	"context"
	"time"
)

// Clock provides the current time. Functions that decide something take the time as an
// argument; only the outermost code has a Clock.
type Clock interface {
	// Now returns the current time, with its monotonic clock reading.
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the system time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// SetBack moves a time back by the duration of a suspension that the monotonic clock did
// not count, so that the age of the time includes the suspension. The zero time stays zero.
func SetBack(t time.Time, by time.Duration) time.Time {
	if t.IsZero() {
		return t
	}

	return t.Add(-by)
}
