package cwmesh

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

// The figures of knowing other failure domains. An entry VM knows each one of its
// own failure domain, and of the others a summary and some to talk to: what it is
// told, keeps and sends grows with its own failure domain and with their number,
// not with the fleet.
const (
	// tellersMost is how many entry VMs of a failure domain send its summary to
	// each other one in one beatTime, by turns. The four together are lost once in
	// 10^6 at a loss of 3 in 100, and each receiver passes it on.
	tellersMost = 4
	// domainTime is how long after its last summary a failure domain counts as
	// alive: liveTime, the way through two heartbeats, and two lost summaries.
	domainTime = 6500 * time.Millisecond
	// nameTime is how old a summary may be whose entry VMs are named to callers. One
	// that died counts as alive in its own failure domain for liveTime; both together
	// stay below the 6 s after which callers must not be sent to it.
	nameTime = 3 * time.Second
	// firstNodes and otherNodes are how many entry VMs a summary names: the first
	// by rank, which ask the store before others, and some drawn at random.
	firstNodes = 2
	otherNodes = 4
	// contactsMost is how many entry VMs of another failure domain are kept to
	// talk to. Seeds name them to newcomers from there.
	contactsMost = 32
	// relays is how many entry VMs of each other failure domain get what all must
	// know at once, and pass it on. A second one covers the loss of the first.
	relays = 2
)

// Summary is what is known of the entry VMs of a failure domain as a whole.
type Summary struct {
	Domain carobward.Domain
	// Made is when it was put together there, by this entry VM's clock.
	Made time.Time
	// Alive is the number of those that live and do not stop, Size the largest
	// number lately, for budgets.
	Alive int
	Size  int
	// Away is the number of those that the store does not serve.
	Away int
	// Rate is the requests a second of all.
	Rate int
	// Nodes are some of those that take callers.
	Nodes []Node
}

// other is another failure domain.
type other struct {
	Summary

	// contacts are entry VMs that spoke or were named, the newest last.
	contacts []Node
	// news tells that the summary came from outside this failure domain, which was
	// not told yet.
	news bool
}

// contact notes an entry VM of another failure domain; the mutex is held.
func (o *other) contact(n Node) {
	o.contacts = slices.DeleteFunc(o.contacts, func(c Node) bool { return c.ID == n.ID })
	if len(o.contacts) >= contactsMost {
		o.contacts = slices.Delete(o.contacts, 0, 1)
	}

	o.contacts = append(o.contacts, n)
}

// other returns what is kept of a failure domain; the mutex is held.
func (t *Table) other(d carobward.Domain) *other {
	o := t.others[d]
	if o == nil {
		o = &other{Summary: Summary{Domain: d}}
		t.others[d] = o
	}

	return o
}

// met notes an entry VM of another failure domain that spoke to this one.
func (t *Table) met(n Node) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.other(n.Domain).contact(n)
}

// learn takes a summary. Outside tells that it came from another failure domain.
func (t *Table) learn(s Summary, outside bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if s.Domain == t.self.Domain {
		return
	}

	o := t.other(s.Domain)
	for _, n := range s.Nodes {
		o.contact(n)
	}

	if s.Made.After(o.Made) {
		o.Summary = s
		o.news = o.news || outside
	}
}

// Summary returns what others are told of this failure domain.
func (t *Table) Summary(now time.Time, state State, away bool, rate int) Summary {
	s := Summary{Domain: t.self.Domain, Made: now, Size: t.nearSize(now), Rate: rate}

	var ready []Peer

	add := func(p Peer) {
		if p.State == Leaving {
			return
		}

		s.Alive++

		if p.Away {
			s.Away++
		}

		if p.State == Ready {
			ready = append(ready, p)
		}
	}

	add(Peer{Node: t.self, State: state, Away: away})

	for _, p := range t.Live(now) {
		s.Rate += p.Rate
		add(p)
	}

	s.Nodes = named(ready)

	return s
}

// named returns the entry VMs of a summary: the first by rank that the store
// serves, and some others.
func named(ready []Peer) []Node {
	slices.SortFunc(ready, func(a, b Peer) int {
		return cmp.Or(cwrank.CompareBool(a.Away, b.Away), cmp.Compare(a.Rank(), b.Rank()))
	})

	first := min(firstNodes, len(ready))

	var list []Node
	for _, p := range slices.Concat(ready[:first], draw(ready[first:], otherNodes)) {
		list = append(list, p.Node)
	}

	return list
}

// Domains returns the summaries of the other failure domains that are alive, in
// the order of their names.
func (t *Table) Domains(now time.Time) []Summary {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.domains(func(o *other) bool { return now.Sub(o.Made) < domainTime })
}

// domains returns the summaries that are wanted; the mutex is held.
func (t *Table) domains(want func(*other) bool) []Summary {
	list := make([]Summary, 0, len(t.others))

	for _, o := range t.others {
		if want(o) {
			list = append(list, o.Summary)
		}
	}

	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.Domain, b.Domain) })

	return list
}

// takeNews returns the summaries that came from other failure domains and that
// the own one has not been told of yet.
func (t *Table) takeNews() []Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	list := t.domains(func(o *other) bool { return o.news })
	for _, o := range t.others {
		o.news = false
	}

	return list
}

// known returns what an entry VM of another failure domain may lack: the summary
// of each one, or where there is none yet some to talk to.
func (t *Table) known() []Summary {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	list := t.domains(func(*other) bool { return true })
	for i := range list {
		if s := &list[i]; len(s.Nodes) == 0 {
			contacts := t.others[s.Domain].contacts
			// The list itself changes with each entry VM that speaks.
			s.Nodes = slices.Clone(contacts[max(0, len(contacts)-otherNodes):])
		}
	}

	return list
}

// Contacts returns up to n entry VMs of a failure domain, drawn at random: those
// that its summary names while it is alive, or else those that spoke lately.
func (t *Table) Contacts(d carobward.Domain, n int, now time.Time) []Node {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	o := t.others[d]
	if o == nil {
		return nil
	}

	list := slices.Clone(o.Nodes)
	if now.Sub(o.Made) >= domainTime || len(list) == 0 {
		list = slices.Clone(o.contacts)
	}

	return draw(list, n)
}

// Callable returns the entry VMs of another failure domain that take callers, as far as
// that is known for sure: those that a recent summary names. It may have come by way of a
// third failure domain where the two have lost each other.
func (t *Table) Callable(d carobward.Domain, now time.Time) []Node {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	o := t.others[d]
	if o == nil || now.Sub(o.Made) >= nameTime {
		return nil
	}

	return slices.Clone(o.Nodes)
}

// othersOf returns entry VMs of a failure domain for a newcomer there.
func (t *Table) othersOf(d carobward.Domain, newcomer carobward.VMID, now time.Time) []Node {
	var list []Node

	if d == t.self.Domain {
		for _, p := range t.some(now, othersMost) {
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

	return draw(list, othersMost)
}

// draw returns up to n of a list, drawn at random. It changes the list's order.
func draw[T any](list []T, n int) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list[:min(n, len(list))]
}

// tellsDomains tells whether it is this entry VM's turn to send the summary of
// its failure domain to the others.
func (t *Table) tellsDomains(now time.Time, round int) bool {
	place, count := 0, 1

	for _, p := range t.Live(now) {
		count++

		if p.ID < t.self.ID {
			place++
		}
	}

	turns := (count + tellersMost - 1) / tellersMost

	return (place+round)%turns == 0
}

// domainNames returns the other failure domains that were ever heard of.
func (t *Table) domainNames() []carobward.Domain {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	names := make([]carobward.Domain, 0, len(t.others))
	for d := range t.others {
		names = append(names, d)
	}

	return names
}
