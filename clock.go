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
