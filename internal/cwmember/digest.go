package cwmember

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// digestOf hashes the fields of a member that must agree between equal views:
// its id, its incarnation and its rank.
func digestOf(e *member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.id))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.incarnation)))
	_, _ = h.Write([]byte{byte(e.rank)})

	return h.Sum64()
}

// digest returns a hash of this VM's view of the membership, independent of
// the order of the members. Dead members don't count.
func (m *Machine) digest() uint64 {
	if !m.digestStale {
		return m.cachedDigest
	}

	sum := digestOf(&m.self)

	for _, e := range m.members {
		if !e.dead {
			sum ^= digestOf(e)
		}
	}

	m.cachedDigest, m.digestStale = sum, false

	return sum
}

// compareDigest schedules a pull if a peer's view differs and our own view has
// not changed for Options.Settle. A VM that knows at most one member pulls
// sooner, every Options.Period.
func (m *Machine) compareDigest(now time.Time, theirs uint64, from carobward.Address) {
	if theirs == m.digest() {
		return
	}

	fewMembers := len(m.members) <= 1
	settled := now.Sub(m.lastChange) >= m.options.Settle && now.Sub(m.lastPull) >= m.options.Settle

	if fewMembers && now.Sub(m.lastPull) >= m.options.Period || settled {
		m.lastPull = now
		m.pullFrom = from
	}
}

// TakePull returns the address of the peer to fetch all members from, if a pull
// is due, and clears it.
func (m *Machine) TakePull() (carobward.Address, bool) {
	to := m.pullFrom
	m.pullFrom = ""

	return to, to != ""
}

// MembersFor returns all members that are not dead, and the incarnation of the
// requesting VM that is known here, so that a restarted VM learns of its
// earlier runs.
func (m *Machine) MembersFor(in *cwwire.Ask) *cwwire.Members {
	out := &cwwire.Members{Members: []*cwwire.Member{m.self.wire(true)}}

	for _, id := range sortedIDs(m.members) {
		e := m.members[id]
		if !e.dead {
			out.Members = append(out.Members, e.wire(true))
		}

		if string(id) == in.GetId() {
			out.Incarnation = uint64(e.incarnation)
		}
	}

	return out
}
