package carobward

import "context"

// VMState is the state of a VM in the platform's VM list.
type VMState uint8

// The states of a VM.
const (
	// Live means that the VM runs and is not scheduled to stop.
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

// EntryService is the service name of entry VMs in the VM list.
const EntryService Service = "carobward"

// VM is an entry of the platform's VM list: an entry VM or a server.
type VM struct {
	// Address is the address that the VM serves: the port of a server, the peer listener of
	// an entry VM.
	Address Address
	// ID identifies an entry VM; it is empty for a server.
	ID VMID
	// Service is the service that the VM runs.
	Service Service
	// Domain is the VM's failure domain.
	Domain Domain
	// State is whether the VM is leaving.
	State VMState
}

// VMList is the platform's list of VMs. It may lag behind the actual state.
type VMList interface {
	// List returns all VMs. With an error it returns those that could be read, if any.
	List(ctx context.Context) ([]VM, error)
}
