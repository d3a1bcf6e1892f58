package cwmember

import (
	"math"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// Options are the times and sizes of the protocol.
type Options struct {
	// Period is the time between two pings of a member of our choice.
	Period time.Duration
	// Reply is how long an answer is waited for before others are asked to
	// ping, too.
	Reply time.Duration
	// Spread is the time between two rounds of news, while there are any.
	Spread time.Duration
	// Relays is how many others are asked to ping.
	Relays int
	// Fanout is how many members get news in a round.
	Fanout int
	// Suspicion is how many periods a suspicion stands before it is taken
	// for a death, times the decimal logarithm of the fleet's size.
	Suspicion float64
	// Retry is the time between two pings of VMs that are no members: dead
	// ones and those that only the VM list knows.
	Retry time.Duration
	// Settle is the time without a change after which a peer with another
	// view is asked for all that it knows.
	Settle time.Duration
	// Forget is how long a dead member is remembered.
	Forget time.Duration
}

// Defaults returns the options that entry VMs use.
func Defaults() Options {
	return Options{
		Period:    time.Second,
		Reply:     300 * time.Millisecond,
		Spread:    200 * time.Millisecond,
		Relays:    3,
		Fanout:    3,
		Suspicion: 6,
		Retry:     2 * time.Second,
		Settle:    10 * time.Second,
		Forget:    time.Hour,
	}
}

// The bounds of memory and of one datagram.
const (
	membersMost = 4096
	relaysMost  = 1024
	// newsBytes bounds what one VM sends while there is much news, after a
	// cut has healed: Fanout datagrams in each round of Spread.
	newsBytes = 250
)

// youngMost is how long the news of a run have all that is known of it.
const youngMost = 30 * time.Second

// Message is a datagram and where it goes.
type Message struct {
	To       carobward.Address
	Datagram *cwwire.Datagram
}

// probe is the ping that an answer is waited for.
type probe struct {
	number  uint64
	target  carobward.VMID
	at      time.Time
	relayed bool
}

// relay is a ping on behalf of another member.
type relay struct {
	to     carobward.Address
	asker  carobward.VMID
	number uint64
	until  time.Time
}

// Machine decides everything about membership. It is driven by Tick and
// Receive, does no input or output, and is not safe for concurrent use. With
// the same calls and the same seed it does the same.
type Machine struct {
	options Options
	rng     *rand.Rand
	self    member
	members map[carobward.VMID]*member
	seeds   []Seed

	ring  []carobward.VMID
	next  int
	probe *probe
	// greeting is the number of the last ping to a VM that is no member.
	greeting uint64
	// relays are the pings on behalf of others, by number.
	relays map[uint64]relay
	// news counts how often the news of a member has been sent.
	news map[carobward.VMID]int
	// hot is the number of rounds for which our own revision is news.
	hot int
	// farewell are the members that have not confirmed yet that we leave,
	// with the number of the ping that tells them.
	farewell map[carobward.VMID]uint64

	ticked, probed, spread, retried time.Time
	// heard is when any member was last heard.
	heard time.Time
	// changed is when the view last changed, asked when a pull was last
	// wanted.
	changed, asked time.Time
	pull           carobward.Address
	// joined tells that some peer holds no later run of this VM than ours.
	joined   bool
	replaced bool
	counts   Counts
	// sum is the digest, unless stale.
	sum   uint64
	stale bool
	dirty bool
}

// Counts tell what has happened, for metrics and tests.
type Counts struct {
	// Suspicions are those that we raised ourselves.
	Suspicions int
	// Deaths are those that we concluded.
	Deaths int
	// Refutations are suspicions about ourselves that we refuted.
	Refutations int
	// Pauses are gaps between ticks in which we must have been frozen.
	Pauses int
}

// Seed is an entry VM that the VM list has.
type Seed struct {
	ID      carobward.VMID
	Address carobward.Address
}

// New returns a machine that knows only this entry VM.
func New(self carobward.Peer, o Options, rng *rand.Rand) *Machine {
	return &Machine{
		options: o,
		rng:     rng,
		self:    fromPeer(&self),
		members: map[carobward.VMID]*member{},
		relays:  map[uint64]relay{},
		news:    map[carobward.VMID]int{self.ID: 0},
		stale:   true,
		dirty:   true,
	}
}

// Counts returns what has happened so far.
func (m *Machine) Counts() Counts { return m.counts }

// Join notes that peers were asked and know no later run of this VM. A later
// one that is heard of from now on is its successor.
func (m *Machine) Join() { m.joined = true }

// Replaced tells that a later run of this VM has been heard of, so that this
// one must end.
func (m *Machine) Replaced() bool { return m.replaced }

// Dirty tells whether anything that Self or Peers return may have changed
// since it was last asked.
func (m *Machine) Dirty() bool {
	d := m.dirty
	m.dirty = false

	return d
}

// Self returns this entry VM.
func (m *Machine) Self() carobward.Peer { return m.self.peer() }

// Peers returns the others.
func (m *Machine) Peers() []carobward.Peer {
	all := make([]carobward.Peer, 0, len(m.members))
	for _, e := range m.members {
		all = append(all, e.peer())
	}

	return all
}

// SetSeeds replaces the entry VMs that the VM list has.
func (m *Machine) SetSeeds(all []Seed) { m.seeds = all }

// SetRevision notes the configuration in force here. A new one is told to
// some members at once.
func (m *Machine) SetRevision(r carobward.Revision) {
	if r > m.self.revision {
		m.self.revision = r
		m.hot = m.rounds()
	}
}

// rounds is the number of rounds in which news reach all.
func (m *Machine) rounds() int { return 1 + int(math.Ceil(math.Log(float64(len(m.members)+1)))) }

// copies is how often one VM sends the same news.
func (m *Machine) copies() int { return m.options.Fanout * m.rounds() }

// suspicion is how long a suspicion stands.
func (m *Machine) suspicion(now time.Time) time.Duration {
	const deafFactor = 3

	periods := m.options.Suspicion * max(1, math.Log10(float64(len(m.members)+1)))
	d := time.Duration(periods * float64(m.options.Period))

	if now.Sub(m.heard) > d {
		d *= deafFactor // It may well be us who hear nobody.
	}

	return d
}

// Tick does what is due by now.
func (m *Machine) Tick(now time.Time) []Message {
	if m.ticked.IsZero() {
		m.heard, m.self.since = now, now
	}

	m.resume(now)
	m.ticked = now

	var out []Message

	out = append(out, m.relayProbe(now)...)
	m.endProbe(now)
	out = append(out, m.startProbe(now)...)
	out = append(out, m.retry(now)...)

	if now.Sub(m.spread) >= m.options.Spread {
		m.spread = now
		m.bury(now)
		out = append(out, m.farewells()...)
		out = append(out, m.confirm()...)
		out = append(out, m.spreadNews()...)
	}

	return out
}

// resume notices that this process was frozen: the answers that were due
// meanwhile say nothing about the others.
func (m *Machine) resume(now time.Time) {
	gap := now.Sub(m.ticked)
	if m.ticked.IsZero() || gap < m.options.Period {
		return
	}

	m.counts.Pauses++
	m.probe = nil
	m.heard = now

	for _, e := range m.members {
		if !e.suspected.IsZero() {
			e.suspected = e.suspected.Add(gap)
		}
	}
}

// bury takes long suspected members for dead and forgets those long dead.
func (m *Machine) bury(now time.Time) {
	stands := m.suspicion(now)

	for id, e := range m.members {
		switch {
		case e.dead && now.Sub(e.died) > m.options.Forget:
			delete(m.members, id)
			delete(m.news, id)

			m.dirty = true
		case !e.dead && !e.suspected.IsZero() && now.Sub(e.suspected) >= stands:
			m.die(e, now)
			m.counts.Deaths++
		}
	}

	for n, r := range m.relays {
		if now.After(r.until) {
			delete(m.relays, n)
		}
	}
}

func (m *Machine) die(e *member, now time.Time) {
	e.dead, e.died, e.suspected = true, now, time.Time{}
	m.changedAt(now)
}

// changedAt notes that the set of members is another one.
func (m *Machine) changedAt(now time.Time) {
	m.changed, m.stale, m.dirty = now, true, true
}
