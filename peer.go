package carobward

import "time"

// Peer is what an entry VM knows of another one, or of itself.
type Peer struct {
	// ID and Incarnation name one run of the entry VM.
	ID          VMID
	Incarnation Incarnation
	// Domain is its failure domain.
	Domain Domain
	// Callers, Lookup, Peers and Operators are its four listeners: the
	// callers' requests, the callers' question for addresses, net/rpc of
	// the peers, and the operators.
	Callers   Address
	Lookup    Address
	Peers     Address
	Operators Address
	// State tells whether it leaves.
	State PeerState
	// Revision is the configuration in force there, when last heard.
	Revision Revision
	// Heard is when it was last heard, by our own clock.
	Heard time.Time
}

// PeerState is the state of an entry VM as its peers see it.
type PeerState uint8

// The states of a peer, each overriding the one before it within the same
// incarnation.
const (
	// PeerLive: it answers heartbeats.
	PeerLive PeerState = iota
	// PeerSuspect: it has missed heartbeats.
	PeerSuspect
	// PeerLeaving: it said itself that it stops.
	PeerLeaving
	// PeerDead: it has been silent for longer than the suspicion lasts.
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

// Peers is the table of entry VMs as this one knows them.
type Peers interface {
	// Self returns this entry VM.
	Self() Peer
	// All returns all entry VMs, this one among them.
	All() []Peer
}
