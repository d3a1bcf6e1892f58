package cwnetwork

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrLate tells that something took longer than its bound.
const ErrLate = errors.ConstError("too late")

// Settled returns a network of machines that have met within a time.
func Settled(size int, seed uint64, most time.Duration) (*Network, error) {
	n := New(size, seed, Machine)
	_, err := n.Until(most, "the fleet has met", n.Whole)

	return n, err
}

// Until runs the network until ok and returns how long that took, ErrLate if
// it took more than most.
func (n *Network) Until(most time.Duration, what string, ok func() bool) (time.Duration, error) {
	for begin := n.Now; n.Now.Sub(begin) < most; {
		if ok() {
			return n.Now.Sub(begin), nil
		}

		n.Run(lookEvery*Step, nil)
	}

	return 0, errors.Annotatef(ErrLate, "network: not within %v: %s", most, what)
}

// Doubt counts who sees a VM in a state or one that overrides it.
func (n *Network) Doubt(of int, state carobward.PeerState) int {
	count := 0

	for i := range n.VMs {
		if p, _ := n.State(i, of); i != of && p.State >= state {
			count++
		}
	}

	return count
}

// rate returns the bytes a second and VM, while a VM is replaced each every.
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

// worst returns the bytes a VM in the worst second.
func (n *Network) worst(d time.Duration) float64 {
	most := 0.0
	for range d / time.Second {
		most = max(most, n.rate(time.Second, 0))
	}

	return most
}
