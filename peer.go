package carobward

import "time"

// Peer is the state of an entry VM, this one or another, as far as it is known here.
type Peer struct {
	// ID and Incarnation identify one run of the entry VM.
	ID          VMID
	Incarnation Incarnation
	// Domain is its failure domain.
	Domain Domain
	// Callers, Lookup, Peers and Operators are the addresses of its four listeners: for the
	// callers' requests, the callers' lookups, net/rpc between peers, and the operators.
	Callers   Address
	Lookup    Address
	Peers     Address
	Operators Address
	// State is its state, as far as known here.
	State PeerState
	// Revision is the configuration that was effective there when it was last seen.
	Revision Revision
	// LastSeen is when it was last seen, by the local clock.
	LastSeen time.Time
}

// PeerState is the state of an entry VM as its peers see it.
type PeerState uint8

// The states of a peer. Within the same incarnation a later one overrides an earlier one.
const (
	// PeerLive: it answers heartbeats.
	PeerLive PeerState = iota
	// PeerSuspect: it has missed heartbeats.
	PeerSuspect
	// PeerLeaving: it announced that it is stopping.
	PeerLeaving
	// PeerDead: it has been silent for longer than the suspicion timeout.
	PeerDead
)

var peerStateNames = [...]string{
	PeerLive: "live", PeerSuspect: "suspect", PeerLeaving: "leaving", PeerDead: "dead",
}

// String returns the state's name.
func (s PeerState) String() string {
	if int(s) < len(peerStateNames) {
		return peerStateNames[s]
	}

	return "unknown"
}

// Peers is the table of the entry VMs that this one knows.
type Peers interface {
	// Self returns this entry VM.
	Self() Peer
	// All returns all entry VMs, including this one.
	All() []Peer
}
