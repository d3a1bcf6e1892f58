package cwmember

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// Receive handles an authenticated datagram from an address and returns the
// messages to send. Duplicate and late datagrams are harmless: updates are
// applied only if their version is greater than the known one, and ACKs only if
// their number is expected.
func (m *Machine) Receive(now time.Time, from carobward.Address, d *cwwire.Datagram) []Message {
	sender := d.GetFrom()
	if !valid(sender) || (d.GetTo() != "" && d.GetTo() != string(m.self.id)) {
		return nil
	}

	if sender.GetId() == string(m.self.id) {
		m.applySelf(sender)

		return nil
	}

	m.lastReceived = now
	m.apply(now, sender)

	for _, w := range d.GetNews() {
		if valid(w) {
			m.apply(now, w)
		}
	}

	from = m.replyTo(sender, from)
	m.compareDigest(now, d.GetDigest(), from)

	switch d.GetKind() {
	case cwwire.Datagram_PING:
		return []Message{m.acknowledge(from, d)}
	case cwwire.Datagram_ACK:
		return m.handleAck(now, d)
	case cwwire.Datagram_RELAY:
		return m.relayPing(now, from, d)
	default:
		return nil
	}
}

// replyTo returns the address to reply to. It is the sender's announced address,
// or the source address if the sender is another run than the known one, which
// may have another address.
func (m *Machine) replyTo(sender *cwwire.Member, from carobward.Address) carobward.Address {
	e := m.members[carobward.VMID(sender.GetId())]
	if e == nil || e.incarnation != versionOf(sender).incarnation {
		return from
	}

	return e.address()
}

// acknowledge replies to a ping. The reply includes our version of the sender if
// that is greater than the sender's own, so that the sender can refute it, or
// if we know only an earlier run, so that the sender announces itself.
func (m *Machine) acknowledge(to carobward.Address, d *cwwire.Datagram) Message {
	a := m.datagram(cwwire.Datagram_ACK, d.GetNumber(), carobward.VMID(d.GetFrom().GetId()))

	e := m.members[carobward.VMID(a.GetTo())]

	switch {
	case e == nil:
		// The sender is not known here, and may not know this VM: introduce
		// this VM and have the sender announce itself.
		a.From = m.self.wire(true)
		a.News = append(a.News, &cwwire.Member{Id: a.GetTo()})
	case uint64(e.incarnation) < d.GetFrom().GetIncarnation():
		a.News = append(a.News, e.wire(false))
	case e.compare(versionOf(d.GetFrom())) > 0:
		a.News = append(a.News, e.wire(false))
	}

	return Message{To: to, Datagram: a}
}

// handleAck handles the ACK of a probe, of the announcement that this VM is
// leaving, of a ping outside the membership, or of a ping that was relayed for
// another member.
func (m *Machine) handleAck(now time.Time, d *cwwire.Datagram) []Message {
	id := carobward.VMID(d.GetFrom().GetId())
	target := id

	if d.GetTarget() != "" {
		target = carobward.VMID(d.GetTarget())
	}

	if m.retryNumber != 0 && d.GetNumber() == m.retryNumber {
		m.joined = true
	}

	if p := m.probe; p != nil && p.number == d.GetNumber() && p.target == target {
		m.probe = nil
		m.joined = true

		if e := m.members[target]; e != nil && target == id {
			e.lastSeen, m.dirty = now, true
		}
	}

	if n, ok := m.unconfirmed[id]; ok && n == d.GetNumber() {
		delete(m.unconfirmed, id)
	}

	r, ok := m.relays[d.GetNumber()]
	if !ok {
		return nil
	}

	delete(m.relays, d.GetNumber())

	a := m.datagram(cwwire.Datagram_ACK, r.number, r.requester)
	a.Target = string(id)
	a.News = append(a.News, d.GetFrom())

	return []Message{{To: r.to, Datagram: a}}
}

// relayPing pings a member for the requester. The requester gets a message at
// once, which shows it that its own datagrams arrive.
func (m *Machine) relayPing(now time.Time, from carobward.Address, d *cwwire.Datagram) []Message {
	e := m.members[carobward.VMID(d.GetTarget())]
	if e == nil || len(m.relays) >= maxRelays {
		return nil
	}

	requesterID := carobward.VMID(d.GetFrom().GetId())
	number := m.rng.Uint64()
	m.relays[number] = relay{to: from, requester: requesterID, number: d.GetNumber(), expires: now.Add(m.options.Period)}

	return []Message{
		m.ping(e, number),
		{To: from, Datagram: m.datagram(cwwire.Datagram_NEWS, 0, requesterID)},
	}
}

// Merge applies the members that a peer returned.
func (m *Machine) Merge(now time.Time, in *cwwire.Members) {
	for _, w := range in.GetMembers() {
		if valid(w) {
			m.apply(now, w)
		}
	}

	m.applySelf(&cwwire.Member{Id: string(m.self.id), Incarnation: in.GetIncarnation()})
}

// apply applies an update about a VM if its version is greater than the known
// one.
func (m *Machine) apply(now time.Time, w *cwwire.Member) {
	if w.GetId() == string(m.self.id) {
		m.applySelf(w)

		return
	}

	e := m.members[carobward.VMID(w.GetId())]
	if e == nil {
		m.add(now, w)

		return
	}

	v := versionOf(w)
	if v.incarnation == e.incarnation {
		m.setRevision(e, carobward.Revision(w.GetRevision()))
	}

	if v.compare(e.version) <= 0 {
		return
	}

	if v.incarnation > e.incarnation {
		if w.GetAbout() == nil {
			return // The addresses of the new run are not known yet; a later update has them.
		}

		e.about, e.revision, e.firstSeen = w.GetAbout(), carobward.Revision(w.GetRevision()), now
	}

	m.setVersion(now, e, v)
}

// setRevision sets the revision of a member's configuration. It never
// decreases within an incarnation.
func (m *Machine) setRevision(e *member, r carobward.Revision) {
	if r > e.revision {
		e.revision, m.dirty = r, true
	}
}

// setVersion stores a greater version of a known member and gossips it.
func (m *Machine) setVersion(now time.Time, e *member, v version) {
	if v.incarnation != e.incarnation || v.rank != e.rank || e.dead {
		m.viewChanged(now)
	}

	if e.dead && v.rank != stopped {
		m.insert(e.id)
	}

	e.version, e.dead, e.suspected = v, false, time.Time{}
	m.dirty = true
	m.updates[e.id] = 0

	switch {
	case v.rank == stopped:
		m.markDead(e, now)
	case v.suspect:
		e.suspected = now
	}
}

func (m *Machine) add(now time.Time, w *cwwire.Member) {
	v := versionOf(w)
	if w.GetAbout() == nil || v.rank == stopped || len(m.members) >= maxMembers {
		return
	}

	e := &member{
		version:   v,
		id:        carobward.VMID(w.GetId()),
		about:     w.GetAbout(),
		revision:  carobward.Revision(w.GetRevision()),
		firstSeen: now,
	}

	if v.suspect {
		e.suspected = now
	}

	m.members[e.id] = e
	m.updates[e.id] = 0
	m.viewChanged(now)
	m.insert(e.id)
}

// applySelf handles an update about this VM: it refutes a suspicion, moves
// above the incarnation of an earlier run, or detects a later run.
func (m *Machine) applySelf(w *cwwire.Member) {
	v := versionOf(w)

	switch {
	case v.incarnation < m.self.incarnation:
		// The peer knows an earlier run, or none.
		m.self.firstSeen = m.lastTick
		m.updates[m.self.id] = 0
	case v.incarnation > m.self.incarnation && m.joined:
		m.replaced, m.dirty = true, true
	case v.incarnation > m.self.incarnation:
		m.raiseIncarnation(v.incarnation)
	case v.suspect && v.sequence >= m.self.sequence:
		m.self.sequence = v.sequence + 1
		m.updates[m.self.id] = 0
		m.counts.Refutations++
	}
}

// raiseIncarnation moves this run's incarnation above that of an earlier run,
// whose clock was ahead. The random part keeps two runs that do so at the same
// time apart.
func (m *Machine) raiseIncarnation(above carobward.Incarnation) {
	const spread = 1_000_000_000

	m.self.incarnation = above + 1 + carobward.Incarnation(m.rng.Uint64N(spread))
	m.self.sequence, m.self.firstSeen = 0, m.lastTick
	m.updates[m.self.id] = 0
	m.digestStale, m.dirty = true, true
}
