package cwowner

import "carobward.example/carobward"

// Knows tells whether an owner knows who stands in for a VM.
func (o *Owner) Knows(of carobward.VMID) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	for e := range o.handovers {
		if e.VM == of {
			return true
		}
	}

	for e := range o.moved {
		if e.VM == of {
			return true
		}
	}

	return false
}
