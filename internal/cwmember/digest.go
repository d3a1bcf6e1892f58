package cwmember

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// digestOf hashes what of a member must be the same in equal views: which
// run it is and what it said of it.
func digestOf(e *member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.id))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.incarnation)))
	_, _ = h.Write([]byte{byte(e.rank)})

	return h.Sum64()
}

// digest sums up whom this VM takes for members, without regard to their
// order. Equal views have equal digests.
func (m *Machine) digest() uint64 {
	if !m.stale {
		return m.sum
	}

	sum := digestOf(&m.self)

	for _, e := range m.members {
		if !e.dead {
			sum ^= digestOf(e)
		}
	}

	m.sum, m.stale = sum, false

	return sum
}

// compareDigest asks for a pull if a peer has another view and ours has not
// changed for a while, or if we have just come.
func (m *Machine) compareDigest(now time.Time, theirs uint64, from carobward.Address) {
	if theirs == m.digest() {
		return
	}

	fresh := len(m.members) <= 1
	settled := now.Sub(m.changed) >= m.options.Settle && now.Sub(m.asked) >= m.options.Settle

	if fresh && now.Sub(m.asked) >= m.options.Period || settled {
		m.asked = now
		m.pull = from
	}
}

// Pull returns the address of a peer to ask for all its members, if that is
// wanted now.
func (m *Machine) Pull() (carobward.Address, bool) {
	to := m.pull
	m.pull = ""

	return to, to != ""
}

// Answer returns all members that are not dead, and the highest incarnation
// known of the asker.
func (m *Machine) Answer(in *cwwire.Ask) *cwwire.Members {
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
