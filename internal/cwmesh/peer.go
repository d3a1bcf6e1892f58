package cwmesh

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwrank"
)

// State is whether an entry VM takes callers.
type State uint8

// The states of an entry VM.
const (
	// Starting: the entry VM has no configuration yet.
	Starting State = iota
	// Ready: the entry VM takes callers.
	Ready
	// Leaving: the entry VM is stopping.
	Leaving
)

// Node has the identity and the addresses of an entry VM.
type Node struct {
	ID      carobward.VMID
	Domain  carobward.Domain
	Callers carobward.Address
	Peers   carobward.Address
	// Relay is the address at which it takes requests that peers pass on, on the same host as
	// Peers; "" if it takes none.
	Relay carobward.Address
}

// Peer is what is known of another entry VM.
type Peer struct {
	Node

	// Boot identifies the run of the entry VM. It is 0 if the entry VM was never heard from.
	Boot uint64
	// number is that of the heartbeat in its run, 0 if it has none. former are the runs before.
	number uint64
	former []uint64
	State  State
	// Replica is the state of its replica of the store.
	Replica cwmirror.State
	// StoreDown is set if the store does not serve it.
	StoreDown bool
	// Rate is its requests a second.
	Rate int
	// Loads is its own load of services.
	Loads []carobward.ServiceLoad
	// Lost are the services of which it reaches no server.
	Lost Lost
	// LastSeen is when its last heartbeat was read.
	LastSeen time.Time
	// ProvenAt is when it certainly ran: LastSeen without the time for which the heartbeat may
	// have waited here, and without later suspensions of this VM.
	ProvenAt time.Time

	// rank is the rendezvous weight of its name, or 0 before it is computed.
	rank uint64
}

// Rank returns the rendezvous weight of the peer's name, by which all entry VMs
// sort them in the same order.
func (p *Peer) Rank() uint64 {
	if p.rank == 0 {
		return cwrank.Weight(string(p.ID), "")
	}

	return p.rank
}

// IsProven reports whether the peer ran so lately that callers may be told of it. One that is alive
// without that is told nobody: after a pause of this entry VM its peers most likely run on, but
// some may have ended meanwhile.
func (p *Peer) IsProven(now time.Time) bool { return now.Sub(p.ProvenAt) < liveTimeout }

// maxFormerRuns is how many former runs of a peer are remembered: heartbeats of earlier ones have
// long arrived.
const maxFormerRuns = 4

// isLate reports whether a heartbeat was sent before the last one that was applied. It says nothing
// new of its sender.
func (p *Peer) isLate(in *Peer) bool {
	if p == nil {
		return false
	}

	return p.Boot == in.Boot && in.number != 0 && in.number <= p.number || slices.Contains(p.former, in.Boot)
}

// formerRuns returns the former runs of a peer whose current run is the given one.
func (p *Peer) formerRuns(boot uint64) []uint64 {
	switch {
	case p == nil:
		return nil
	case p.Boot == 0 || p.Boot == boot:
		return p.former
	}

	list := append(slices.Clone(p.former), p.Boot)

	return list[max(0, len(list)-maxFormerRuns):]
}

// isRecent reports whether a peer was heard from or named within keepTime.
func (p *Peer) isRecent(now time.Time) bool {
	return p.LastSeen.IsZero() || now.Sub(p.LastSeen) < keepTime
}

// neverSeen reports whether the peer was only named by others, and never heard from.
func (p *Peer) neverSeen() bool { return p.Boot == 0 }
