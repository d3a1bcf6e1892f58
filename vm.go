package carobward

import "context"

// VMState is what the platform's VM list says of a VM.
type VMState uint8

// The states of a VM.
const (
	// Live means that the VM runs and stays.
	Live VMState = iota
	// Leaving means that the VM will be stopped.
	Leaving
)

var vmStateNames = [...]string{Live: "live", Leaving: "leaving"}

// String returns the state's name.
func (s VMState) String() string {
	if int(s) < len(vmStateNames) {
		return vmStateNames[s]
	}

	return "unknown"
}

// EntryService is the service name under which the VM list has entry VMs.
const EntryService Service = "carobward"

// VM is one line of the platform's VM list: an entry VM or a server.
type VM struct {
	// Address is where the VM serves: for a server its port, for an
	// entry VM its peer listener.
	Address Address
	// ID names an entry VM; it is empty for a server.
	ID VMID
	// Service is what runs there.
	Service Service
	// Domain is the VM's failure domain.
	Domain Domain
	// State tells whether the VM leaves.
	State VMState
}

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList interface {
	// List returns all VMs. Beside an error it returns those that could be
	// read all the same, if any.
	List(ctx context.Context) ([]VM, error)
}
