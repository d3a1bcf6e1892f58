package carobward

import "time"

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
