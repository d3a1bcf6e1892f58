// Package cwsuspend measures for how long the VM was suspended. The monotonic clock, by which
// timers run and ages are measured, does not advance meanwhile, while clocks elsewhere do.
package cwsuspend

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that counts. The two clocks are read one after
// the other, some microseconds apart, or a scheduler time slice if the processor is busy.
const minSuspension = 200 * time.Millisecond

// Meter compares a clock that counts suspended time with one that does not.
type Meter struct {
	bootTime, monotonic func() time.Duration
	// ahead is by how much bootTime was ahead of monotonic when a suspension was last
	// reported, in nanoseconds.
	ahead atomic.Int64
}

// New returns a meter of the machine's clocks.
func New() *Meter {
	return newMeter(func() time.Duration { return read(unix.CLOCK_BOOTTIME) }, func() time.Duration { return read(unix.CLOCK_MONOTONIC) })
}

func newMeter(boot, steady func() time.Duration) *Meter {
	m := &Meter{bootTime: boot, monotonic: steady}
	m.ahead.Store(int64(m.read()))

	return m
}

// read returns by how much bootTime is ahead of monotonic.
func (m *Meter) read() time.Duration {
	steady := m.monotonic()

	return m.bootTime() - steady
}

// Passed returns for how long the VM was suspended since the last call.
func (m *Meter) Passed() time.Duration {
	passed := m.Pending()
	m.ahead.Add(int64(passed))

	return passed
}

// Pending returns what Passed would return, without resetting it. It is safe for use
// concurrently with Passed.
func (m *Meter) Pending() time.Duration {
	passed := m.read() - time.Duration(m.ahead.Load())
	if passed < minSuspension {
		return 0
	}

	return passed
}

// read returns the time of one of the machine's clocks, or zero if the clock is missing: then
// no suspension is detected.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0
	}

	return time.Duration(t.Nano())
}
