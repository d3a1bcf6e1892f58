package cwmember

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// datagram returns a datagram with our own state and as many updates as fit.
func (m *Machine) datagram(kind cwwire.Datagram_Kind, number uint64, to carobward.VMID) *cwwire.Datagram {
	d := &cwwire.Datagram{
		Kind:   kind,
		Number: number,
		To:     string(to),
		From:   m.self.wire(false),
		Digest: m.digest(),
	}
	d.News = m.takeUpdates(to)

	return d
}

// startProbe pings the next member once per period.
func (m *Machine) startProbe(now time.Time) []Message {
	if m.probe != nil || now.Sub(m.lastProbe) < m.options.Period {
		return nil
	}

	e := m.nextTarget()
	if e == nil {
		return nil
	}

	m.lastProbe = now
	m.probe = &probe{number: m.rng.Uint64(), target: e.id, sent: now}

	return []Message{m.ping(e, m.probe.number)}
}

// ping returns a ping. To a suspected member it includes the suspicion, so that
// the member can refute it.
func (m *Machine) ping(e *member, number uint64) Message {
	d := m.datagram(cwwire.Datagram_PING, number, e.id)
	if e.suspect {
		d.News = append(d.News, e.wire(false))
	}

	return Message{To: e.address(), Datagram: d}
}

// nextTarget returns the next member to ping: round-robin, in a new random
// order in each round.
func (m *Machine) nextTarget() *member {
	for range len(m.ring) + 1 {
		if m.next >= len(m.ring) {
			m.shuffle()
		}

		if m.next >= len(m.ring) {
			return nil
		}

		id := m.ring[m.next]
		m.next++

		if e := m.members[id]; e != nil && !e.dead {
			return e
		}
	}

	return nil
}

func (m *Machine) shuffle() {
	m.next = 0
	kept := m.ring[:0]

	for _, id := range m.ring {
		if e := m.members[id]; e != nil && !e.dead {
			kept = append(kept, id)
		}
	}

	m.ring = kept
	m.rng.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
}

// insert adds a member at a random position in the rest of the current round,
// so that new members are not all pinged at once.
func (m *Machine) insert(id carobward.VMID) {
	at := m.next + m.rng.IntN(len(m.ring)-m.next+1)
	m.ring = append(m.ring, id)
	copy(m.ring[at+1:], m.ring[at:])
	m.ring[at] = id
}

// requestRelays asks other members to ping a target that has not replied to us.
func (m *Machine) requestRelays(now time.Time) []Message {
	p := m.probe
	if p == nil || p.relayed || now.Sub(p.sent) < m.options.ReplyTimeout {
		return nil
	}

	p.relayed = true

	var out []Message

	for _, e := range m.sample(m.options.Relays, p.target) {
		d := m.datagram(cwwire.Datagram_RELAY, p.number, e.id)
		d.Target = string(p.target)
		out = append(out, Message{To: e.address(), Datagram: d})
	}

	return out
}

// endProbe starts to suspect a member that replied neither directly nor through
// a relay. The suspicion is not gossiped if nothing at all was received since
// the ping, because the fault may then be on this side.
func (m *Machine) endProbe(now time.Time) {
	p := m.probe
	if p == nil || now.Sub(p.sent) < m.options.Period {
		return
	}

	m.probe = nil

	e := m.members[p.target]
	if e == nil || e.dead || e.suspect {
		return
	}

	m.counts.Suspicions++
	e.suspect, e.suspected, m.dirty = true, now, true

	if m.lastReceived.After(p.sent) {
		m.updates[e.id] = 0
	} else {
		delete(m.updates, e.id)
	}
}

// pingSuspect pings a random suspected member, no matter who suspected it
// first, so that a live member is not declared dead because its refutation was
// lost.
func (m *Machine) pingSuspect() []Message {
	var suspects []*member

	for _, id := range m.ring {
		if e := m.members[id]; e != nil && !e.dead && e.suspect {
			suspects = append(suspects, e)
		}
	}

	if len(suspects) == 0 {
		return nil
	}

	return []Message{m.ping(suspects[m.rng.IntN(len(suspects))], m.rng.Uint64())}
}

// retry pings a random VM outside the membership, so that both sides notice
// when a network partition heals.
func (m *Machine) retry(now time.Time) []Message {
	if now.Sub(m.lastRetry) < m.options.Retry {
		return nil
	}

	m.lastRetry = now

	var others []Seed

	for _, s := range m.seeds {
		if m.members[s.ID] == nil && s.ID != m.self.id {
			others = append(others, s)
		}
	}

	for _, e := range m.members {
		if e.dead && e.rank != stopped {
			others = append(others, Seed{ID: e.id, Address: e.address()})
		}
	}

	if len(others) == 0 {
		return nil
	}

	sortSeeds(others)

	s := others[m.rng.IntN(len(others))]
	m.retryNumber = m.rng.Uint64()
	d := m.datagram(cwwire.Datagram_PING, m.retryNumber, s.ID)
	d.From = m.self.wire(true)

	if e := m.members[s.ID]; e != nil {
		d.News = append(d.News, e.wire(false))
	}

	return []Message{{To: s.Address, Datagram: d}}
}

// sample returns up to n random members that are not dead, without the excluded
// one.
func (m *Machine) sample(n int, exclude carobward.VMID) []*member {
	var chosen []*member

	for _, i := range m.rng.Perm(len(m.ring)) {
		if len(chosen) == n {
			break
		}

		if e := m.members[m.ring[i]]; e != nil && !e.dead && e.id != exclude {
			chosen = append(chosen, e)
		}
	}

	return chosen
}
