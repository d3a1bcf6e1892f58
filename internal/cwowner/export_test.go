package cwowner

import "carobward.example/carobward"

// KnowsSuccessor reports whether the owner knows the successor of a VM.
func (o *Owner) KnowsSuccessor(of carobward.VMID) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	for e := range o.handovers {
		if e.VM == of {
			return true
		}
	}

	for e := range o.successors {
		if e.VM == of {
			return true
		}
	}

	return false
}
