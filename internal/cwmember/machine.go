package cwmember

import (
	"math"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// Options are the parameters of the membership protocol.
type Options struct {
	// Period is the protocol period: one member is pinged in each.
	Period time.Duration
	// ReplyTimeout is how long to wait for an ACK before asking other members
	// to ping the target.
	ReplyTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip. There are none
	// without updates to send.
	GossipInterval time.Duration
	// Relays is the number of members asked to ping a target that did not
	// reply.
	Relays int
	// Fanout is the number of members that receive updates in a round of
	// gossip.
	Fanout int
	// SuspicionFactor sets the suspicion timeout, after which a suspected
	// member is considered dead: this number of periods, times the decimal
	// logarithm of the fleet's size, which counts as at least 1.
	SuspicionFactor float64
	// Retry is the time between two pings of VMs outside the membership: dead
	// members and VMs known only from the VM list.
	Retry time.Duration
	// Settle is how long the local view must be unchanged before all members
	// are fetched from a peer whose view differs.
	Settle time.Duration
	// DeadRetention is how long dead members are kept.
	DeadRetention time.Duration
}

// Defaults returns the options of entry VMs in production.
func Defaults() Options {
	return Options{
		Period:          time.Second,
		ReplyTimeout:    300 * time.Millisecond,
		GossipInterval:  200 * time.Millisecond,
		Relays:          3,
		Fanout:          3,
		SuspicionFactor: 6,
		Retry:           2 * time.Second,
		Settle:          10 * time.Second,
		DeadRetention:   time.Hour,
	}
}

// Limits on memory and on the size of a datagram.
const (
	maxMembers = 4096
	maxRelays  = 1024
	// maxUpdateBytes limits the updates in one datagram. It bounds the traffic
	// after a network partition heals, when there are many updates: each VM
	// sends Fanout datagrams per GossipInterval.
	maxUpdateBytes = 250
)

// fullUpdateAge is for how long after its first sighting the updates about a
// run include its failure domain and addresses.
const fullUpdateAge = 30 * time.Second

// Message is a datagram and its destination.
type Message struct {
	To       carobward.Address
	Datagram *cwwire.Datagram
}

// probe is the outstanding ping of the current protocol period.
type probe struct {
	number  uint64
	target  carobward.VMID
	sent    time.Time
	relayed bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	to        carobward.Address
	requester carobward.VMID
	number    uint64
	expires   time.Time
}

// Machine is the state machine of the membership protocol. It is driven by
// Tick and Receive, does no I/O, and is not safe for concurrent use. It is
// deterministic: the same calls and the same seed give the same results.
type Machine struct {
	options Options
	rng     *rand.Rand
	self    member
	members map[carobward.VMID]*member
	seeds   []Seed

	ring  []carobward.VMID
	next  int
	probe *probe
	// retryNumber is the number of the last ping to a VM outside the
	// membership.
	retryNumber uint64
	// relays are the pings sent on behalf of other members, by number.
	relays map[uint64]relay
	// updates counts how often the update about each member has been sent. An
	// entry is removed after maxTransmissions.
	updates map[carobward.VMID]int
	// revisionRounds is the number of gossip rounds that are still to announce
	// our configuration revision.
	revisionRounds int
	// unconfirmed are the members that have not confirmed yet that this VM is
	// leaving, with the number of the ping that announces it.
	unconfirmed map[carobward.VMID]uint64

	lastTick, lastProbe, lastGossip, lastRetry time.Time
	// lastReceived is when a datagram from any other VM last arrived, or when
	// this process started or resumed, if that was later.
	lastReceived time.Time
	// lastChange is when the view last changed, lastPull when a pull was last
	// scheduled.
	lastChange, lastPull time.Time
	pullFrom             carobward.Address
	// joined reports whether a peer has confirmed that it knows no later run of
	// this VM.
	joined   bool
	replaced bool
	counts   Counts
	// cachedDigest is the digest, unless digestStale is set.
	cachedDigest uint64
	digestStale  bool
	dirty        bool
}

// Counts are event counters, for metrics and tests.
type Counts struct {
	// Suspicions is the number of members that this VM began to suspect itself.
	Suspicions int
	// Deaths is the number of members that this VM declared dead.
	Deaths int
	// Refutations is the number of suspicions of this VM that it refuted.
	Refutations int
	// Pauses is the number of gaps of at least one period between two ticks, in
	// which this process must have been paused.
	Pauses int
}

// Seed is an entry VM in the VM list.
type Seed struct {
	ID      carobward.VMID
	Address carobward.Address
}

// New returns a machine whose only member is this entry VM.
func New(self carobward.Peer, o Options, rng *rand.Rand) *Machine {
	return &Machine{
		options:     o,
		rng:         rng,
		self:        fromPeer(&self),
		members:     map[carobward.VMID]*member{},
		relays:      map[uint64]relay{},
		updates:     map[carobward.VMID]int{self.ID: 0},
		digestStale: true,
		dirty:       true,
	}
}

// Counts returns the event counters since the start.
func (m *Machine) Counts() Counts { return m.counts }

// Join records that peers were asked and know no later run of this VM. A later
// run that is reported from now on has replaced this one.
func (m *Machine) Join() { m.joined = true }

// Replaced reports whether a later run of this VM exists, in which case this
// one must stop.
func (m *Machine) Replaced() bool { return m.replaced }

// Dirty reports whether the results of Self or Peers may have changed since the
// previous call of Dirty.
func (m *Machine) Dirty() bool {
	d := m.dirty
	m.dirty = false

	return d
}

// Self returns this entry VM.
func (m *Machine) Self() carobward.Peer { return m.self.peer() }

// Peers returns all other members, including dead ones.
func (m *Machine) Peers() []carobward.Peer {
	all := make([]carobward.Peer, 0, len(m.members))
	for _, e := range m.members {
		all = append(all, e.peer())
	}

	return all
}

// SetSeeds replaces the entry VMs known from the VM list.
func (m *Machine) SetSeeds(all []Seed) { m.seeds = all }

// SetRevision sets the revision of the configuration that is in effect here. A
// newer one is gossiped even if there are no other updates.
func (m *Machine) SetRevision(r carobward.Revision) {
	if r > m.self.revision {
		m.self.revision = r
		m.revisionRounds = m.gossipRounds()
	}
}

// gossipRounds returns the number of rounds in which an update reaches all
// members.
func (m *Machine) gossipRounds() int { return 1 + int(math.Ceil(math.Log(float64(len(m.members)+1)))) }

// maxTransmissions returns how often this VM sends the same update.
func (m *Machine) maxTransmissions() int { return m.options.Fanout * m.gossipRounds() }

// suspicionTimeout returns how long a member is suspected before it is declared
// dead. It is three times as long if this VM itself has received nothing for
// that time, since the fault may then be on this side.
func (m *Machine) suspicionTimeout(now time.Time) time.Duration {
	const isolationFactor = 3

	periods := m.options.SuspicionFactor * max(1, math.Log10(float64(len(m.members)+1)))
	d := time.Duration(periods * float64(m.options.Period))

	if now.Sub(m.lastReceived) > d {
		d *= isolationFactor
	}

	return d
}

// Tick does the work that is due and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Message {
	if m.lastTick.IsZero() {
		m.lastReceived, m.self.firstSeen = now, now
	}

	m.detectPause(now)
	m.lastTick = now

	var out []Message

	out = append(out, m.requestRelays(now)...)
	m.endProbe(now)
	out = append(out, m.startProbe(now)...)
	out = append(out, m.retry(now)...)

	if now.Sub(m.lastGossip) >= m.options.GossipInterval {
		m.lastGossip = now
		m.expire(now)
		out = append(out, m.pingUnconfirmed()...)
		out = append(out, m.pingSuspect()...)
		out = append(out, m.gossip()...)
	}

	return out
}

// detectPause handles a gap between ticks during which this process was paused.
// Replies that were due in the gap say nothing about other members, so the
// probe is dropped and suspicions are extended by the gap.
func (m *Machine) detectPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if m.lastTick.IsZero() || gap < m.options.Period {
		return
	}

	m.counts.Pauses++
	m.probe = nil
	m.lastReceived = now

	for _, e := range m.members {
		if !e.suspected.IsZero() {
			e.suspected = e.suspected.Add(gap)
		}
	}
}

// expire declares members dead whose suspicion timed out, and removes expired
// dead members and relays.
func (m *Machine) expire(now time.Time) {
	timeout := m.suspicionTimeout(now)

	for id, e := range m.members {
		switch {
		case e.dead && now.Sub(e.died) > m.options.DeadRetention:
			delete(m.members, id)
			delete(m.updates, id)

			m.dirty = true
		case !e.dead && !e.suspected.IsZero() && now.Sub(e.suspected) >= timeout:
			m.markDead(e, now)
			m.counts.Deaths++
		}
	}

	for n, r := range m.relays {
		if now.After(r.expires) {
			delete(m.relays, n)
		}
	}
}

func (m *Machine) markDead(e *member, now time.Time) {
	e.dead, e.died, e.suspected = true, now, time.Time{}
	m.viewChanged(now)
}

// viewChanged records a change of the membership view.
func (m *Machine) viewChanged(now time.Time) {
	m.lastChange, m.digestStale, m.dirty = now, true, true
}
