// Package cwnetwork is an in-memory network between membership machines, with
// packet loss, partitions and paused VMs, and the experiments on it.
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

// The parameters of the network.
const (
	// Step is the transit time of each datagram and the interval between two
	// ticks.
	Step = 50 * time.Millisecond
	// overhead is the size of authentication tag, UDP header and IP header, in
	// bytes.
	overhead = 16 + 8 + 20
	// maxInbox is the number of datagrams that the socket of a paused VM
	// buffers.
	maxInbox = 500
)

// Actor is what the network drives: a membership machine or the naive version.
type Actor interface {
	Tick(now time.Time) []cwmember.Message
	Receive(now time.Time, from carobward.Address, d *cwwire.Datagram) []cwmember.Message
	Peers() []carobward.Peer
}

// Envelope is a datagram in flight between the VMs at two indexes.
type Envelope struct {
	From, To int
	Datagram *cwwire.Datagram
}

// VM is one VM of the network, whose actor may be replaced.
type VM struct {
	Actor Actor
	// A VM that is Down receives nothing. A Paused one receives what its socket
	// has buffered once it resumes.
	Down   bool
	Paused bool
	inbox  []Envelope
}

// Machine returns the VM's membership machine, or nil if its actor is another
// one.
func (v *VM) Machine() *cwmember.Machine {
	m, _ := v.Actor.(*cwmember.Machine)

	return m
}

// Network carries datagrams between actors in memory. The same seed gives the
// same run.
type Network struct {
	// Now is the network's virtual time.
	Now time.Time
	VMs []*VM
	// Loss is the fraction of datagrams that are lost.
	Loss float64
	// Blocked reports whether datagrams from one VM to another are dropped.
	Blocked func(from, to int) bool

	rng      *rand.Rand
	byAddr   map[carobward.Address]int
	inFlight []Envelope
	bytes    int
}

// ID returns the id of the VM with an index.
func ID(i int) carobward.VMID { return carobward.VMID(fmt.Sprintf("vm-%03d", i)) }

// Self returns the peer entry of the VM with an index.
func Self(i int, incarnation carobward.Incarnation) carobward.Peer {
	at := func(port int) carobward.Address {
		return carobward.Address(fmt.Sprintf("10.%d.%d.%d:%d", i%8, i/250, i%250+1, port))
	}

	return carobward.Peer{
		ID: ID(i), Incarnation: incarnation, Domain: carobward.Domain(fmt.Sprintf("domain-%d", i%16)),
		Callers: at(7001), Lookup: at(7002), Peers: at(7003), Operators: at(7004),
	}
}

// New returns a network with a number of VMs, whose actors are created in the
// order of their indexes.
func New(size int, seed uint64, create func(i int, n *Network) Actor) *Network {
	n := &Network{
		Now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[carobward.Address]int{}, Blocked: noBlock,
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

// noBlock is the Blocked function of a network without a partition.
func noBlock(int, int) bool { return false }

// Machine returns a new membership machine that has all VMs as seeds.
func Machine(i int, n *Network) Actor {
	return NewMachine(n, i, carobward.Incarnation(n.Now.UnixNano()+int64(i)))
}

// NewMachine is like Machine but with the given incarnation.
func NewMachine(n *Network, i int, incarnation carobward.Incarnation) *cwmember.Machine {
	m := cwmember.New(Self(i, incarnation), cwmember.Defaults(), rand.New(rand.NewPCG(n.rng.Uint64(), 2)))

	var seeds []cwmember.Seed
	for j := range n.VMs {
		seeds = append(seeds, cwmember.Seed{ID: ID(j), Address: Self(j, 0).Peers})
	}

	m.SetSeeds(seeds)

	return m
}

// Run lets time pass and calls observe, unless it is nil, at the end of each
// Step.
func (n *Network) Run(d time.Duration, observe func()) {
	for end := n.Now.Add(d); n.Now.Before(end); {
		n.Now = n.Now.Add(Step)

		inFlight := n.inFlight
		n.inFlight = nil

		for _, e := range inFlight {
			n.Deliver(e)
		}

		for i, v := range n.VMs {
			if !v.Down && !v.Paused {
				n.tick(i, v)
			}
		}

		if observe != nil {
			observe()
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

// pull lets a machine fetch the full state of another if it asks for that.
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

// reaches reports whether a call from one VM to another would get through.
func (n *Network) reaches(from, to int) bool {
	return !n.VMs[to].Down && !n.VMs[to].Paused && !n.Blocked(from, to)
}

// Deliver hands a datagram to its destination.
func (n *Network) Deliver(e Envelope) {
	v := n.VMs[e.To]

	switch {
	case v.Down:
	case v.Paused:
		if len(v.inbox) < maxInbox {
			v.inbox = append(v.inbox, e)
		}
	default:
		n.Send(e.To, v.Actor.Receive(n.Now, Self(e.From, 0).Peers, e.Datagram))
	}
}

// Send puts datagrams in flight, except those that are lost.
func (n *Network) Send(from int, all []cwmember.Message) {
	for _, m := range all {
		n.bytes += proto.Size(m.Datagram) + overhead

		to, ok := n.byAddr[m.To]
		if ok && !n.Blocked(from, to) && n.rng.Float64() >= n.Loss {
			n.inFlight = append(n.inFlight, Envelope{from, to, m.Datagram})
		}
	}
}

// State returns one VM as another sees it.
func (n *Network) State(viewer, of int) (carobward.Peer, bool) {
	for _, p := range n.VMs[viewer].Actor.Peers() {
		if p.ID == ID(of) {
			return p, true
		}
	}

	return carobward.Peer{}, false
}

// Suspicions returns the number of suspicions raised by all VMs.
func (n *Network) Suspicions() int {
	count := 0
	for _, v := range n.VMs {
		count += v.Machine().Counts().Suspicions
	}

	return count
}

// Converged reports whether all running VMs see exactly the running VMs as
// live.
func (n *Network) Converged() bool {
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
