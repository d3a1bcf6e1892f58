// Package cwnetwork is a network in memory that carries datagrams between
// membership machines, with loss, cuts and freezes, and the experiments on it.
package cwnetwork

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmember"
	"carobward.example/carobward/internal/cwwire"
)

// The pace of the network.
const (
	// Step is the time that each datagram takes, and between two ticks.
	Step = 50 * time.Millisecond
	// overhead are the bytes of tag, UDP and IP headers.
	overhead = 16 + 8 + 20
	// inboxMost is what a frozen VM's socket holds.
	inboxMost = 500
)

// Actor is what the network drives: a machine or the naive version.
type Actor interface {
	Tick(now time.Time) []cwmember.Message
	Receive(now time.Time, from carobward.Address, d *cwwire.Datagram) []cwmember.Message
	Peers() []carobward.Peer
}

// Envelope is a datagram on its way between two places.
type Envelope struct {
	From, To int
	Datagram *cwwire.Datagram
}

// VM is one place of the network; the actor in it may be replaced.
type VM struct {
	Actor Actor
	// Down has it receive nothing, Frozen receive what fits when it resumes.
	Down   bool
	Frozen bool
	inbox  []Envelope
}

// Machine returns the machine in this place, nil if another actor is.
func (v *VM) Machine() *cwmember.Machine {
	m, _ := v.Actor.(*cwmember.Machine)

	return m
}

// Network carries datagrams between actors in memory, by a seed.
type Network struct {
	// Now is the network's own time.
	Now time.Time
	VMs []*VM
	// Loss is the share of datagrams that are lost.
	Loss float64
	// Cut tells whether datagrams from one to another are lost.
	Cut func(from, to int) bool

	rng    *rand.Rand
	byAddr map[carobward.Address]int
	flying []Envelope
	bytes  int
}

// ID returns the id of the VM at a place.
func ID(i int) carobward.VMID { return carobward.VMID(fmt.Sprintf("vm-%03d", i)) }

// Self returns what the VM at a place tells of itself.
func Self(i int, incarnation carobward.Incarnation) carobward.Peer {
	at := func(port int) carobward.Address {
		return carobward.Address(fmt.Sprintf("10.%d.%d.%d:%d", i%8, i/250, i%250+1, port))
	}

	return carobward.Peer{
		ID: ID(i), Incarnation: incarnation, Domain: carobward.Domain(fmt.Sprintf("domain-%d", i%16)),
		Callers: at(7001), Lookup: at(7002), Peers: at(7003), Operators: at(7004),
	}
}

// New returns a network of so many VMs, filled place by place.
func New(size int, seed uint64, create func(i int, n *Network) Actor) *Network {
	n := &Network{
		Now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[carobward.Address]int{}, Cut: none,
	}

	for i := range size {
		n.byAddr[Self(i, 0).Peers] = i
		n.VMs = append(n.VMs, &VM{})
	}

	for i := range size {
		n.VMs[i].Actor = create(i, n)
	}

	return n
}

// none is the cut of a network that is whole.
func none(int, int) bool { return false }

// Machine returns a newcomer that has the others as seeds.
func Machine(i int, n *Network) Actor {
	return NewMachine(n, i, carobward.Incarnation(n.Now.UnixNano()+int64(i)))
}

// NewMachine is Machine with an incarnation of choice.
func NewMachine(n *Network, i int, incarnation carobward.Incarnation) *cwmember.Machine {
	m := cwmember.New(Self(i, incarnation), cwmember.Defaults(), rand.New(rand.NewPCG(n.rng.Uint64(), 2)))

	var seeds []cwmember.Seed
	for j := range n.VMs {
		seeds = append(seeds, cwmember.Seed{ID: ID(j), Address: Self(j, 0).Peers})
	}

	m.SetSeeds(seeds)

	return m
}

// Run lets time pass, with a look at the end of each Step.
func (n *Network) Run(d time.Duration, look func()) {
	for end := n.Now.Add(d); n.Now.Before(end); {
		n.Now = n.Now.Add(Step)

		flying := n.flying
		n.flying = nil

		for _, e := range flying {
			n.Deliver(e)
		}

		for i, v := range n.VMs {
			if !v.Down && !v.Frozen {
				n.tick(i, v)
			}
		}

		if look != nil {
			look()
		}
	}
}

func (n *Network) tick(i int, v *VM) {
	inbox := v.inbox
	v.inbox = nil

	for _, e := range inbox {
		n.Deliver(e)
	}

	n.Send(i, v.Actor.Tick(n.Now))

	if m := v.Machine(); m != nil {
		n.pull(i, m)
	}
}

// pull has a machine ask another for all that it knows, if it wants to.
func (n *Network) pull(i int, m *cwmember.Machine) {
	to, pull := m.TakePull()
	if !pull {
		return
	}

	j, known := n.byAddr[to]
	if known && n.reaches(i, j) && n.reaches(j, i) {
		answer := n.VMs[j].Machine().MembersFor(&cwwire.Ask{Id: string(ID(i))})
		n.bytes += proto.Size(answer)
		m.Merge(n.Now, answer)
	}
}

// reaches tells whether a call from one to another would get through.
func (n *Network) reaches(from, to int) bool {
	return !n.VMs[to].Down && !n.VMs[to].Frozen && !n.Cut(from, to)
}

// Deliver hands a datagram to the VM that it is for.
func (n *Network) Deliver(e Envelope) {
	v := n.VMs[e.To]

	switch {
	case v.Down:
	case v.Frozen:
		if len(v.inbox) < inboxMost {
			v.inbox = append(v.inbox, e)
		}
	default:
		n.Send(e.To, v.Actor.Receive(n.Now, Self(e.From, 0).Peers, e.Datagram))
	}
}

// Send puts datagrams on their way, but for those that are lost.
func (n *Network) Send(from int, all []cwmember.Message) {
	for _, m := range all {
		n.bytes += proto.Size(m.Datagram) + overhead

		to, ok := n.byAddr[m.To]
		if ok && !n.Cut(from, to) && n.rng.Float64() >= n.Loss {
			n.flying = append(n.flying, Envelope{from, to, m.Datagram})
		}
	}
}

// State is how one VM sees another.
func (n *Network) State(viewer, of int) (carobward.Peer, bool) {
	for _, p := range n.VMs[viewer].Actor.Peers() {
		if p.ID == ID(of) {
			return p, true
		}
	}

	return carobward.Peer{}, false
}

// Suspicions counts those that were raised by anyone.
func (n *Network) Suspicions() int {
	count := 0
	for _, v := range n.VMs {
		count += v.Machine().Counts().Suspicions
	}

	return count
}

// Whole tells whether all VMs that run see each other live and none else.
func (n *Network) Whole() bool {
	for i, v := range n.VMs {
		if v.Down {
			continue
		}

		live := make([]bool, len(n.VMs))
		live[i] = true

		for _, p := range v.Actor.Peers() {
			live[n.byAddr[p.Peers]] = p.State == carobward.PeerLive
		}

		for j, w := range n.VMs {
			if live[j] == w.Down {
				return false
			}
		}
	}

	return true
}
