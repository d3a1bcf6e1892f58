package cwnetwork

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrTimeout is returned if a condition is not met in time.
const ErrTimeout = errors.ConstError("timeout")

// Settled returns a network of membership machines that have all discovered
// each other, or an error if that takes too long.
func Settled(size int, seed uint64, timeout time.Duration) (*Network, error) {
	n := New(size, seed, Machine)
	_, err := n.RunUntil(timeout, "all VMs have discovered each other", n.Converged)

	return n, err
}

// RunUntil runs the network until ok and returns how long that took, or
// ErrTimeout if it took too long.
func (n *Network) RunUntil(timeout time.Duration, what string, ok func() bool) (time.Duration, error) {
	for begin := n.Now; n.Now.Sub(begin) < timeout; {
		if ok() {
			return n.Now.Sub(begin), nil
		}

		n.Run(checkSteps*Step, nil)
	}

	return 0, errors.Annotatef(ErrTimeout, "network: not within %v: %s", timeout, what)
}

// CountState counts the VMs that see a VM in a state or in one that overrides
// it.
func (n *Network) CountState(of int, state carobward.PeerState) int {
	count := 0

	for i := range n.VMs {
		if p, _ := n.State(i, of); i != of && p.State >= state {
			count++
		}
	}

	return count
}

// rate returns the bytes per second and VM. If every is positive, a random VM
// is replaced at that interval.
func (n *Network) rate(d, every time.Duration) float64 {
	before := n.bytes

	for left := d; left > 0; {
		part := left
		if every > 0 {
			part = min(every, left)
			i := n.rng.IntN(len(n.VMs)-1) + 1
			n.VMs[i] = &VM{Actor: Machine(i, n)}
		}

		n.Run(part, nil)
		left -= part
	}

	return float64(n.bytes-before) / d.Seconds() / float64(len(n.VMs))
}

// peak returns the bytes per VM in the worst second.
func (n *Network) peak(d time.Duration) float64 {
	highest := 0.0
	for range d / time.Second {
		highest = max(highest, n.rate(time.Second, 0))
	}

	return highest
}
