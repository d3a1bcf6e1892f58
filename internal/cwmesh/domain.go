package cwmesh

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// Limits of what an entry VM keeps about other failure domains. It knows each peer of its
// own failure domain, and of every other one a summary and some entry VMs to contact:
// what it receives, keeps and sends grows with its own failure domain and with the number
// of failure domains, not with the fleet.
const (
	// summarySenders is how many entry VMs of a failure domain send its summary to each
	// other one in one heartbeatInterval, in rotation. At a packet loss of 3 in 100 all four
	// are lost once in 10^6 intervals, and each receiver passes the summary on.
	summarySenders = 4
	// domainTimeout is how long after its last summary a failure domain counts as alive:
	// liveTimeout, two heartbeats for the summary to spread, and two lost summaries.
	domainTimeout = 6500 * time.Millisecond
	// callableTime is how old a summary may be whose entry VMs are named to callers. An
	// entry VM that died counts as alive in its own failure domain for liveTimeout; both
	// together stay below the 6 s after which callers must not be sent to it.
	callableTime = 3 * time.Second
	// rankedNodes and randomNodes are how many entry VMs a summary names: the first by
	// rank, which ask the store before others, and a random sample of the rest.
	rankedNodes = 2
	randomNodes = 4
	// maxContacts is how many entry VMs of another failure domain are kept to contact.
	// Seeds name them to newcomers from there.
	maxContacts = 32
	// relaysPerDomain is how many entry VMs of each other failure domain get urgent
	// updates, and pass them on. The second one covers the loss of the first datagram.
	relaysPerDomain = 2
)

// Summary describes the entry VMs of a failure domain as a whole.
type Summary struct {
	Domain carobward.Domain
	// stamp has the run of the entry VM that made it, and its number.
	stamp
	// Made is when it was made in that failure domain, by this entry VM's clock.
	Made time.Time
	// Alive is the number of entry VMs that live and are not stopping, Size the largest
	// recent number, by which budgets are divided.
	Alive int
	Size  int
	// StoreDown is the number of those that the store does not serve.
	StoreDown int
	// Rate is the requests a second of all together.
	Rate int
	// Nodes has some of those that take callers. It is empty if none does.
	Nodes []Node
	// Contacts has entry VMs to contact while Nodes is empty. They may no longer exist.
	Contacts []Node
	// Lost has those of Nodes that reach no server of some service.
	Lost []carobward.VMID
	// Loads is the load of services summed over all of them.
	Loads []carobward.ServiceLoad
}

// otherDomain is what is kept of another failure domain.
type otherDomain struct {
	Summary

	// seen has the newest summary of each entry VM that was received.
	seen seenNumbers
	// contacts has entry VMs that sent a heartbeat or were named, the newest last.
	contacts []Node
	// unsent is set if the summary came from outside this failure domain and its peers
	// have not got it yet.
	unsent bool
}

// touchContact makes an entry VM the newest contact; the table's mutex must be held.
func (o *otherDomain) touchContact(n Node) {
	at := slices.IndexFunc(o.contacts, func(c Node) bool { return c.ID == n.ID })

	switch {
	case at >= 0:
		o.contacts = slices.Delete(o.contacts, at, at+1)
	case len(o.contacts) >= maxContacts:
		o.contacts = slices.Delete(o.contacts, 0, 1)
	}

	o.contacts = append(o.contacts, n)
}

// otherDomain returns what is kept of another failure domain; t.mutex must be held.
func (t *Table) otherDomain(d carobward.Domain) *otherDomain {
	o := t.others[d]
	if o == nil {
		o = &otherDomain{Summary: Summary{Domain: d}, seen: seenNumbers{}}
		t.others[d] = o
	}

	return o
}

// recordContact records an entry VM of another failure domain that sent a heartbeat here.
func (t *Table) recordContact(n Node) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.otherDomain(n.Domain).touchContact(n)
}

// addSummary stores a summary if it is newer. Outside is set if another failure domain sent it.
// Summaries of one entry VM are ordered by their numbers, those of several by when they were made.
func (t *Table) addSummary(s Summary, outside bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if s.Domain == t.self.Domain {
		return
	}

	o := t.otherDomain(s.Domain)
	for _, n := range slices.Concat(s.Contacts, s.Nodes) {
		o.touchContact(n)
	}

	s.Contacts = nil

	if o.seen.add(s.stamp, now) && s.Made.After(o.Made) {
		o.Summary = s
		o.unsent = o.unsent || outside
	}
}

// Summary returns the summary of this failure domain for the others. Own has the state of this
// entry VM.
func (t *Table) Summary(now time.Time, own Peer) Summary {
	s := Summary{Domain: t.self.Domain, Made: now, Size: t.recentDomainSize(now), Rate: own.Rate}

	var ready []*Peer

	add := func(p *Peer) {
		if p.State == Leaving {
			return
		}

		s.Alive++

		if p.StoreDown {
			s.StoreDown++
		}

		if p.State == Ready && p.IsProven(now) {
			ready = append(ready, p)
		}
	}

	own.Node = t.self
	own.ProvenAt = now
	own.rank = own.Rank() // Computed once, not at each comparison.
	add(&own)

	live := t.Live(now)
	for i := range live {
		s.Rate += live[i].Rate
		add(&live[i])
	}

	s.Nodes, s.Lost = pickNodes(ready)

	return s
}

// pickNodes returns the entry VMs that a summary names: the first by rank that the store
// serves, and a random sample of the others, from those that reach all services if there are
// any. It also returns which of them do not.
func pickNodes(ready []*Peer) ([]Node, []carobward.VMID) {
	slices.SortFunc(ready, func(a, b *Peer) int {
		return cmp.Or(cwrank.CompareBool(a.StoreDown, b.StoreDown), cmp.Compare(a.Rank(), b.Rank()))
	})

	first := min(rankedNodes, len(ready))
	rest := slices.DeleteFunc(slices.Clone(ready[first:]), func(p *Peer) bool { return p.Lost.Any() })

	if len(rest) == 0 {
		rest = ready[first:]
	}

	var (
		list []Node
		lost []carobward.VMID
	)

	for _, p := range slices.Concat(ready[:first], sample(rest, randomNodes)) {
		list = append(list, p.Node)

		if p.Lost.Any() {
			lost = append(lost, p.ID)
		}
	}

	return list, lost
}

// Domains returns the summaries of the other failure domains that are alive, in
// the order of their names.
func (t *Table) Domains(now time.Time) []Summary {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.domains(func(o *otherDomain) bool { return now.Sub(o.Made) < domainTimeout })
}

// domains returns the summaries for which want returns true; t.mutex must be held.
func (t *Table) domains(want func(*otherDomain) bool) []Summary {
	list := make([]Summary, 0, len(t.others))

	for _, o := range t.others {
		if want(o) {
			list = append(list, o.Summary)
		}
	}

	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.Domain, b.Domain) })

	return list
}

// takeUnsent returns the summaries that came from other failure domains and have not been
// sent to the peers of this one, and marks them as sent.
func (t *Table) takeUnsent() []Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	list := t.domains(func(o *otherDomain) bool { return o.unsent })
	for _, o := range t.others {
		o.unsent = false
	}

	return list
}

// knownDomains returns all that is known of the other failure domains: their summaries,
// and the newest contacts of those whose summary names no entry VM.
func (t *Table) knownDomains() []Summary {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	list := t.domains(func(*otherDomain) bool { return true })
	for i := range list {
		if s := &list[i]; len(s.Nodes) == 0 {
			contacts := t.others[s.Domain].contacts
			// Cloned, as contacts is modified in place by each heartbeat from there.
			s.Contacts = slices.Clone(contacts[max(0, len(contacts)-randomNodes):])
		}
	}

	return list
}

// Contacts returns up to n entry VMs of a failure domain, drawn at random: those
// that its summary names while it is alive, or else those that sent heartbeats or were named.
func (t *Table) Contacts(d carobward.Domain, n int, now time.Time) []Node {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	o := t.others[d]
	if o == nil {
		return nil
	}

	list := slices.Clone(o.Nodes)
	if now.Sub(o.Made) >= domainTimeout || len(list) == 0 {
		list = slices.Clone(o.contacts)
	}

	return sample(list, n)
}

// Callable returns the entry VMs of another failure domain that may be named to callers:
// those that a recent summary names and that are not known to reach no server of some service.
// If the two failure domains can't reach each other, the summary may have come through a third.
func (t *Table) Callable(d carobward.Domain, now time.Time) []Node {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	o := t.others[d]
	if o == nil || now.Sub(o.Made) >= callableTime {
		return nil
	}

	return slices.DeleteFunc(slices.Clone(o.Nodes), func(n Node) bool { return slices.Contains(o.Lost, n.ID) })
}

// peersFor returns entry VMs of a failure domain for a newcomer there.
func (t *Table) peersFor(d carobward.Domain, newcomer carobward.VMID, now time.Time) []Node {
	var list []Node

	if d == t.self.Domain {
		for _, p := range t.sampleLive(now, maxNamedPeers) {
			list = append(list, p.Node)
		}
	} else {
		t.mutex.RLock()
		if o := t.others[d]; o != nil {
			list = slices.Clone(o.contacts)
		}
		t.mutex.RUnlock()
	}

	list = slices.DeleteFunc(list, func(n Node) bool { return n.ID == newcomer })

	return sample(list, maxNamedPeers)
}

// sample returns up to n elements of a list, drawn at random. It changes the list's order.
func sample[T any](list []T, n int) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list[:min(n, len(list))]
}

// isSummarySender reports whether it is this entry VM's turn to send the summary of
// its failure domain to the others.
func (t *Table) isSummarySender(now time.Time, round int) bool {
	position, count := 0, 1

	for _, p := range t.Live(now) {
		count++

		if p.ID < t.self.ID {
			position++
		}
	}

	turns := (count + summarySenders - 1) / summarySenders

	return (position+round)%turns == 0
}

// domainNames returns the other failure domains that are known, alive or not.
func (t *Table) domainNames() []carobward.Domain {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	names := make([]carobward.Domain, 0, len(t.others))
	for d := range t.others {
		names = append(names, d)
	}

	return names
}
