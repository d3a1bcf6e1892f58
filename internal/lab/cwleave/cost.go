package cwleave

import "time"

// Cost is what the news cost one entry VM, both ways, in calls and in bytes of
// the messages.
type Cost struct {
	VMs int
	// IdleCalls and IdleBytes are those of a second without a change.
	IdleCalls, IdleBytes float64
	// Calls and Bytes are what one leaving server adds.
	Calls, Bytes float64
	// Last is the time from an operator's word to the last new work.
	Last time.Duration
}

// costWindow is the time over which idle cost and that of a leave are counted.
const costWindow = 10 * time.Second

// Measure returns the cost in a fleet without faults.
func Measure(seed uint64, vms int) Cost {
	f := New(seed, vms, false)
	f.until(signAt, stale(f))

	idleCalls, idleBytes := f.spend()
	operator(f)

	sign := f.now
	calls, bytes := f.spend()
	seconds := costWindow.Seconds()

	return Cost{vms, idleCalls / seconds, idleBytes / seconds, calls - idleCalls, bytes - idleBytes, f.last - sign}
}

// spend runs the fleet for the window and returns what each entry VM spent.
func (f *Fleet) spend() (calls, bytes float64) {
	f.calls, f.bytes = 0, 0
	f.until(f.now+costWindow, stale(f))

	vms := float64(len(f.vms))

	return float64(f.calls) / vms, float64(f.bytes) / vms
}
