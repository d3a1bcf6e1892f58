package cwleave

import "time"

// Cost is what the gossip about leaving servers costs one entry VM, in calls
// and in bytes of the messages in both directions.
type Cost struct {
	VMs int
	// IdleCalls and IdleBytes are the cost per second without a change.
	IdleCalls, IdleBytes float64
	// Calls and Bytes are what one leaving server adds.
	Calls, Bytes float64
	// Last is the time from an operator's drain request to the last new request
	// to the server.
	Last time.Duration
}

// costWindow is the period over which the idle cost and the cost of a leave are
// counted.
const costWindow = 10 * time.Second

// Measure returns the cost in a fleet without faults.
func Measure(seed uint64, vms int) Cost {
	f := New(seed, vms, false)
	f.until(signalAt, staleList(f))

	idleCalls, idleBytes := f.measure()
	drainByOperator(f)

	begin := f.now
	calls, bytes := f.measure()
	seconds := costWindow.Seconds()

	return Cost{vms, idleCalls / seconds, idleBytes / seconds, calls - idleCalls, bytes - idleBytes, f.last - begin}
}

// measure runs the fleet for costWindow and returns the mean calls and bytes
// per entry VM.
func (f *Fleet) measure() (calls, bytes float64) {
	f.calls, f.bytes = 0, 0
	f.until(f.now+costWindow, staleList(f))

	vms := float64(len(f.vms))

	return float64(f.calls) / vms, float64(f.bytes) / vms
}
