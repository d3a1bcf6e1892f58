// Package cwsuspend tells for how long the VM was suspended. The clock by which timers
// run and ages are measured stands still meanwhile, while all others went on.
package cwsuspend

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// leastTime is the shortest suspension that counts. The two clocks are read one after
// the other, some microseconds apart, or a turn of the processor where it is busy.
const leastTime = 200 * time.Millisecond

// Meter compares a clock that counts suspended time with one that does not.
type Meter struct {
	boot, steady func() time.Duration
	// ahead is by how much the clock that counts suspended time was ahead, in nanoseconds.
	ahead atomic.Int64
}

// New returns a meter of the machine's clocks.
func New() *Meter {
	return newMeter(func() time.Duration { return read(unix.CLOCK_BOOTTIME) }, func() time.Duration { return read(unix.CLOCK_MONOTONIC) })
}

func newMeter(boot, steady func() time.Duration) *Meter {
	m := &Meter{boot: boot, steady: steady}
	m.ahead.Store(int64(m.read()))

	return m
}

// read returns by how much the clock that counts suspended time is ahead.
func (m *Meter) read() time.Duration {
	steady := m.steady()

	return m.boot() - steady
}

// Passed returns for how long the VM was suspended since the last call.
func (m *Meter) Passed() time.Duration {
	passed := m.Pending()
	m.ahead.Add(int64(passed))

	return passed
}

// Pending returns what Passed would, which goes on counting it. It is safe for use beside
// Passed.
func (m *Meter) Pending() time.Duration {
	passed := m.read() - time.Duration(m.ahead.Load())
	if passed < leastTime {
		return 0
	}

	return passed
}

// read returns a clock of the machine, or zero where it has none: then no suspension is
// seen.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0
	}

	return time.Duration(t.Nano())
}
