// Package cwmember implements the membership protocol of the entry VMs, which
// tracks whether each of them is live, suspected, leaving or dead. Machine is
// the state machine without I/O, Service runs it over a socket.
//
// The protocol follows SWIM (Das, Gupta, Motivala 2002): in each period one
// member is pinged, indirectly through others if it does not reply, and is
// suspected before it is considered dead; updates are piggybacked on the
// messages. Unlike in SWIM, a death is not gossiped: each VM declares a member
// dead itself once its suspicion has timed out.
package cwmember

import (
	"cmp"
	"net/netip"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
	"carobward.example/carobward/internal/cwwire"
)

// rank is the lifecycle stage that a VM announces for its own run. It only
// increases.
type rank uint32

const (
	serving rank = iota
	leaving
	stopped
)

// version orders updates about one VM: the greatest one wins. Updates may
// therefore arrive in any order and more than once.
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

// member is the local state of one VM.
type member struct {
	version

	id       carobward.VMID
	about    *cwwire.About
	revision carobward.Revision
	// firstSeen is when this run became known here.
	firstSeen time.Time
	// lastSeen is when it last replied to a probe of ours directly.
	lastSeen time.Time
	// suspected is when the suspicion began here, or zero.
	suspected time.Time
	// dead reports whether the suspicion timed out or the VM announced that it
	// stopped; died is when.
	dead bool
	died time.Time
}

func (m *member) address() carobward.Address { return carobward.Address(m.about.GetPeers()) }

func (m *member) state() carobward.PeerState {
	switch {
	case m.dead || m.rank == stopped:
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
		LastSeen:    m.lastSeen,
	}
}

// wire encodes the member. The failure domain and the addresses, which do not
// change during a run, are included only if full is set, to keep the frequent
// messages short.
func (m *member) wire(full bool) *cwwire.Member {
	w := &cwwire.Member{
		Id:          string(m.id),
		Incarnation: uint64(m.incarnation),
		Rank:        uint32(m.rank),
		Sequence:    m.sequence,
		Suspect:     m.suspect,
		Revision:    uint64(m.revision),
	}

	if full {
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

// maxNameBytes is the maximum length of an id and of a failure domain.
const maxNameBytes = 128

// valid reports whether a received member is well-formed.
func valid(w *cwwire.Member) bool {
	if w.GetId() == "" || len(w.GetId()) > maxNameBytes || rank(w.GetRank()) > stopped {
		return false
	}

	a := w.GetAbout()
	if a == nil {
		return true
	}

	for _, s := range []string{a.GetCallers(), a.GetLookup(), a.GetPeers(), a.GetOperators()} {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return false
		}
	}

	return len(a.GetDomain()) <= maxNameBytes
}
