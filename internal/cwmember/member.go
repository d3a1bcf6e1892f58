// Package cwmember keeps the membership between entry VMs: who is live, who
// is suspected, who leaves and who is gone. Machine is the pure state machine
// and Service its sockets.
//
// The protocol follows SWIM (Das, Gupta, Motivala 2002): each period one
// member is pinged, by way of others if it does not answer, and suspected
// before it is taken for dead; changes ride on the messages. Unlike there,
// death is never told to others: each VM concludes it for itself once a
// suspicion has stood for long enough.
package cwmember

import (
	"cmp"
	"net/netip"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
	"carobward.example/carobward/internal/cwwire"
)

// rank is a VM's own word about its run. It only rises.
type rank uint32

const (
	serving rank = iota
	leaving
	gone
)

// version orders what is said of one VM: the greater one holds. So the order
// in which messages arrive does not matter, nor does it if they come twice.
type version struct {
	incarnation carobward.Incarnation
	rank        rank
	sequence    uint32
	suspect     bool
}

func (v version) compare(w version) int {
	return cmp.Or(
		cmp.Compare(v.incarnation, w.incarnation),
		cmp.Compare(v.rank, w.rank),
		cmp.Compare(v.sequence, w.sequence),
		cwrank.CompareBool(v.suspect, w.suspect),
	)
}

// member is what is known of one VM.
type member struct {
	version

	id       carobward.VMID
	about    *cwwire.About
	revision carobward.Revision
	// since is when this run became known to us.
	since time.Time
	// heard is when it last answered us itself.
	heard time.Time
	// suspected is when its suspicion reached us.
	suspected time.Time
	// dead tells that a suspicion has stood for too long, or that the VM
	// said it is gone, since died.
	dead bool
	died time.Time
}

func (m *member) address() carobward.Address { return carobward.Address(m.about.GetPeers()) }

func (m *member) state() carobward.PeerState {
	switch {
	case m.dead || m.rank == gone:
		return carobward.PeerDead
	case m.rank == leaving:
		return carobward.PeerLeaving
	case m.suspect:
		return carobward.PeerSuspect
	default:
		return carobward.PeerLive
	}
}

func (m *member) peer() carobward.Peer {
	return carobward.Peer{
		ID:          m.id,
		Incarnation: m.incarnation,
		Domain:      carobward.Domain(m.about.GetDomain()),
		Callers:     carobward.Address(m.about.GetCallers()),
		Lookup:      carobward.Address(m.about.GetLookup()),
		Peers:       carobward.Address(m.about.GetPeers()),
		Operators:   carobward.Address(m.about.GetOperators()),
		State:       m.state(),
		Revision:    m.revision,
		LastSeen:    m.heard,
	}
}

// wire returns the member as a message. What never changes is left out of
// the many short ones.
func (m *member) wire(whole bool) *cwwire.Member {
	w := &cwwire.Member{
		Id:          string(m.id),
		Incarnation: uint64(m.incarnation),
		Rank:        uint32(m.rank),
		Sequence:    m.sequence,
		Suspect:     m.suspect,
		Revision:    uint64(m.revision),
	}

	if whole {
		w.About = m.about
	}

	return w
}

func fromPeer(p *carobward.Peer) member {
	return member{
		version:  version{incarnation: p.Incarnation},
		id:       p.ID,
		revision: p.Revision,
		about: &cwwire.About{
			Domain:    string(p.Domain),
			Callers:   string(p.Callers),
			Lookup:    string(p.Lookup),
			Peers:     string(p.Peers),
			Operators: string(p.Operators),
		},
	}
}

func versionOf(w *cwwire.Member) version {
	return version{
		incarnation: carobward.Incarnation(w.GetIncarnation()),
		rank:        rank(w.GetRank()),
		sequence:    w.GetSequence(),
		suspect:     w.GetSuspect(),
	}
}

// nameMost bounds an id and a failure domain in bytes.
const nameMost = 128

// valid tells whether a message about a member can be taken.
func valid(w *cwwire.Member) bool {
	if w.GetId() == "" || len(w.GetId()) > nameMost || rank(w.GetRank()) > gone {
		return false
	}

	a := w.GetAbout()
	if a == nil {
		return true
	}

	for _, one := range []string{a.GetCallers(), a.GetLookup(), a.GetPeers(), a.GetOperators()} {
		if _, err := netip.ParseAddrPort(one); err != nil {
			return false
		}
	}

	return len(a.GetDomain()) <= nameMost
}
