package cwmember

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// datagram returns a message with our own word and as much news as fits.
func (m *Machine) datagram(kind cwwire.Datagram_Kind, number uint64, to carobward.VMID) *cwwire.Datagram {
	d := &cwwire.Datagram{
		Kind:   kind,
		Number: number,
		To:     string(to),
		From:   m.self.wire(false),
		Digest: m.digest(),
	}
	d.News = m.takeNews(to)

	return d
}

// startProbe pings the next member once a period has passed.
func (m *Machine) startProbe(now time.Time) []Message {
	if m.probe != nil || now.Sub(m.probed) < m.options.Period {
		return nil
	}

	e := m.nextTarget()
	if e == nil {
		return nil
	}

	m.probed = now
	m.probe = &probe{number: m.rng.Uint64(), target: e.id, at: now}

	return []Message{m.ping(e, m.probe.number)}
}

// ping returns a ping, which also tells a suspected member that it is.
func (m *Machine) ping(e *member, number uint64) Message {
	d := m.datagram(cwwire.Datagram_PING, number, e.id)
	if e.suspect {
		d.News = append(d.News, e.wire(false))
	}

	return Message{To: e.address(), Datagram: d}
}

// nextTarget goes round the members, in a new order each time round.
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

// insert puts a member at a random place of the round that is left, so that
// newcomers are not all pinged at once.
func (m *Machine) insert(id carobward.VMID) {
	at := m.next + m.rng.IntN(len(m.ring)-m.next+1)
	m.ring = append(m.ring, id)
	copy(m.ring[at+1:], m.ring[at:])
	m.ring[at] = id
}

// relayProbe asks others to ping a member that has not answered us.
func (m *Machine) relayProbe(now time.Time) []Message {
	p := m.probe
	if p == nil || p.relayed || now.Sub(p.at) < m.options.Reply {
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

// endProbe suspects a member that has not answered by any way. If nobody at
// all was heard meanwhile, the fault may be ours and the others are not told.
func (m *Machine) endProbe(now time.Time) {
	p := m.probe
	if p == nil || now.Sub(p.at) < m.options.Period {
		return
	}

	m.probe = nil

	e := m.members[p.target]
	if e == nil || e.dead || e.suspect {
		return
	}

	m.counts.Suspicions++
	e.suspect, e.suspected, m.dirty = true, now, true

	if m.heard.After(p.at) {
		m.news[e.id] = 0
	} else {
		delete(m.news, e.id)
	}
}

// confirm pings one of the suspected members, whoever suspected it, so that a
// lost refutation does not cost a live one its membership.
func (m *Machine) confirm() []Message {
	var some []*member

	for _, id := range m.ring {
		if e := m.members[id]; e != nil && !e.dead && e.suspect {
			some = append(some, e)
		}
	}

	if len(some) == 0 {
		return nil
	}

	return []Message{m.ping(some[m.rng.IntN(len(some))], m.rng.Uint64())}
}

// retry pings one VM that is no member, so that a healed cut is noticed on
// both sides.
func (m *Machine) retry(now time.Time) []Message {
	if now.Sub(m.retried) < m.options.Retry {
		return nil
	}

	m.retried = now

	var others []Seed

	for _, s := range m.seeds {
		if m.members[s.ID] == nil && s.ID != m.self.id {
			others = append(others, s)
		}
	}

	for _, e := range m.members {
		if e.dead && e.rank != gone {
			others = append(others, Seed{ID: e.id, Address: e.address()})
		}
	}

	if len(others) == 0 {
		return nil
	}

	sortSeeds(others)

	s := others[m.rng.IntN(len(others))]
	m.greeting = m.rng.Uint64()
	d := m.datagram(cwwire.Datagram_PING, m.greeting, s.ID)
	d.From = m.self.wire(true)

	if e := m.members[s.ID]; e != nil {
		d.News = append(d.News, e.wire(false))
	}

	return []Message{{To: s.Address, Datagram: d}}
}

// sample returns up to n members that are not dead, other than one.
func (m *Machine) sample(n int, but carobward.VMID) []*member {
	var some []*member

	for _, i := range m.rng.Perm(len(m.ring)) {
		if len(some) == n {
			break
		}

		if e := m.members[m.ring[i]]; e != nil && !e.dead && e.id != but {
			some = append(some, e)
		}
	}

	return some
}
