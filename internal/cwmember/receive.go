package cwmember

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// Receive takes a datagram that came from an address. Its tag has been
// checked. A datagram that comes twice or late does no harm: what it says is
// taken only if it is greater than what is known, and an answer only if its
// number is waited for.
func (m *Machine) Receive(now time.Time, from carobward.Address, d *cwwire.Datagram) []Message {
	sender := d.GetFrom()
	if !valid(sender) || (d.GetTo() != "" && d.GetTo() != string(m.self.id)) {
		return nil
	}

	if sender.GetId() == string(m.self.id) {
		m.aboutSelf(sender)

		return nil
	}

	m.heard = now
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
		return m.answered(now, d)
	case cwwire.Datagram_RELAY:
		return m.pingFor(now, from, d)
	default:
		return nil
	}
}

// replyTo returns the address of a member that sent something from an address.
// Another run than the one that we know may be at another address.
func (m *Machine) replyTo(sender *cwwire.Member, from carobward.Address) carobward.Address {
	e := m.members[carobward.VMID(sender.GetId())]
	if e == nil || e.incarnation != versionOf(sender).incarnation {
		return from
	}

	return e.address()
}

// acknowledge answers a ping. It tells the sender what we hold of it if that
// is greater than its own word, so that it can refute it.
func (m *Machine) acknowledge(to carobward.Address, d *cwwire.Datagram) Message {
	a := m.datagram(cwwire.Datagram_ACK, d.GetNumber(), carobward.VMID(d.GetFrom().GetId()))

	e := m.members[carobward.VMID(a.GetTo())]

	switch {
	case e == nil:
		// We know nothing of it: it should tell us, and may not know us.
		a.From = m.self.wire(true)
		a.News = append(a.News, &cwwire.Member{Id: a.GetTo()})
	case uint64(e.incarnation) < d.GetFrom().GetIncarnation():
		a.News = append(a.News, e.wire(false))
	case e.compare(versionOf(d.GetFrom())) > 0:
		a.News = append(a.News, e.wire(false))
	}

	return Message{To: to, Datagram: a}
}

// answered takes an acknowledgement: of our own probe, of a farewell, or of
// a ping for another member.
func (m *Machine) answered(now time.Time, d *cwwire.Datagram) []Message {
	id := carobward.VMID(d.GetFrom().GetId())
	target := id

	if d.GetTarget() != "" {
		target = carobward.VMID(d.GetTarget())
	}

	if m.greeting != 0 && d.GetNumber() == m.greeting {
		m.joined = true
	}

	if p := m.probe; p != nil && p.number == d.GetNumber() && p.target == target {
		m.probe = nil
		m.joined = true

		if e := m.members[target]; e != nil && target == id {
			e.heard, m.dirty = now, true
		}
	}

	if n, ok := m.farewell[id]; ok && n == d.GetNumber() {
		delete(m.farewell, id)
	}

	r, ok := m.relays[d.GetNumber()]
	if !ok {
		return nil
	}

	delete(m.relays, d.GetNumber())

	a := m.datagram(cwwire.Datagram_ACK, r.number, r.asker)
	a.Target = string(id)
	a.News = append(a.News, d.GetFrom())

	return []Message{{To: r.to, Datagram: a}}
}

// pingFor pings a member for another one, and lets that one know at once
// that it was heard.
func (m *Machine) pingFor(now time.Time, from carobward.Address, d *cwwire.Datagram) []Message {
	e := m.members[carobward.VMID(d.GetTarget())]
	if e == nil || len(m.relays) >= relaysMost {
		return nil
	}

	asker := carobward.VMID(d.GetFrom().GetId())
	number := m.rng.Uint64()
	m.relays[number] = relay{to: from, asker: asker, number: d.GetNumber(), until: now.Add(m.options.Period)}

	return []Message{
		m.ping(e, number),
		{To: from, Datagram: m.datagram(cwwire.Datagram_NEWS, 0, asker)},
	}
}

// Merge takes the members that a peer knows.
func (m *Machine) Merge(now time.Time, in *cwwire.Members) {
	for _, w := range in.GetMembers() {
		if valid(w) {
			m.apply(now, w)
		}
	}

	m.aboutSelf(&cwwire.Member{Id: string(m.self.id), Incarnation: in.GetIncarnation()})
}

// apply takes what is said of a VM if it is greater than what is known.
func (m *Machine) apply(now time.Time, w *cwwire.Member) {
	if w.GetId() == string(m.self.id) {
		m.aboutSelf(w)

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
			return // Its addresses are not known yet; they come as news.
		}

		e.about, e.revision, e.since = w.GetAbout(), carobward.Revision(w.GetRevision()), now
	}

	m.take(now, e, v)
}

// setRevision never goes back within an incarnation.
func (m *Machine) setRevision(e *member, r carobward.Revision) {
	if r > e.revision {
		e.revision, m.dirty = r, true
	}
}

// take notes a greater version of a known member and passes it on.
func (m *Machine) take(now time.Time, e *member, v version) {
	if v.incarnation != e.incarnation || v.rank != e.rank || e.dead {
		m.changedAt(now)
	}

	if e.dead && v.rank != gone {
		m.insert(e.id)
	}

	e.version, e.dead, e.suspected = v, false, time.Time{}
	m.dirty = true
	m.news[e.id] = 0

	switch {
	case v.rank == gone:
		m.die(e, now)
	case v.suspect:
		e.suspected = now
	}
}

func (m *Machine) add(now time.Time, w *cwwire.Member) {
	v := versionOf(w)
	if w.GetAbout() == nil || v.rank == gone || len(m.members) >= membersMost {
		return
	}

	e := &member{
		version:  v,
		id:       carobward.VMID(w.GetId()),
		about:    w.GetAbout(),
		revision: carobward.Revision(w.GetRevision()),
		since:    now,
	}

	if v.suspect {
		e.suspected = now
	}

	m.members[e.id] = e
	m.news[e.id] = 0
	m.changedAt(now)
	m.insert(e.id)
}

// aboutSelf answers what others say of this VM.
func (m *Machine) aboutSelf(w *cwwire.Member) {
	v := versionOf(w)

	switch {
	case v.incarnation < m.self.incarnation:
		// They know an earlier run, or nothing.
		m.self.since = m.ticked
		m.news[m.self.id] = 0
	case v.incarnation > m.self.incarnation && m.joined:
		m.replaced, m.dirty = true, true
	case v.incarnation > m.self.incarnation:
		m.raise(v.incarnation)
	case v.suspect && v.sequence >= m.self.sequence:
		m.self.sequence = v.sequence + 1
		m.news[m.self.id] = 0
		m.counts.Refutations++
	}
}

// raise takes an incarnation above an earlier run's, whose clock was ahead of
// ours. Chance keeps two that do so at once apart.
func (m *Machine) raise(above carobward.Incarnation) {
	const spread = 1_000_000_000

	m.self.incarnation = above + 1 + carobward.Incarnation(m.rng.Uint64N(spread))
	m.self.sequence, m.self.since = 0, m.ticked
	m.news[m.self.id] = 0
	m.stale, m.dirty = true, true
}
