// Package cwleave simulates entry VMs that announce to each other which server
// is leaving, over a network with lost messages and blocked directions, and
// records when that server last gets a new request. The same seed gives the
// same fleet.
package cwleave

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwwire"
)

// Leaver is the address of the server that leaves.
const Leaver = carobward.Address("10.1.0.1:80")

// The parameters of the model.
const (
	service = "records"
	servers = 30
	// stepTime is the length of a step of the model.
	stepTime = cwdrain.TickInterval
	// listInterval is the interval between two reads of the VM list.
	listInterval = time.Second
	// signalAt is when the first entry VM learns that the server leaves.
	signalAt = 4900 * time.Millisecond
	// runUntil is the end of a run.
	runUntil = 22 * time.Second
	// In a fleet with faults, lossShare of all messages is lost in each
	// direction, and blockedShare of all directions between two entry VMs is
	// blocked throughout.
	lossShare    = 0.1
	blockedShare = 0.2
)

// direction is the direction from one entry VM to another.
type direction struct{ from, to carobward.Address }

// List returns the VM list that the entry VM with an index reads now.
type List func(i int) []carobward.VM

// Fleet is a fleet and its network.
type Fleet struct {
	clock   *clock
	vms     []*vm
	address map[carobward.Address]*vm
	rng     *rand.Rand
	blocked map[direction]bool
	loss    float64
	now     time.Duration
	list    []carobward.VM
	// last is when the leaving server last got a new request.
	last time.Duration
	// calls and bytes count the gossip since they were last reset.
	calls, bytes int
}

// New returns a random fleet with a number of entry VMs. With faults, some are
// paused around the signal, join after it or can't be called by peers, messages
// are lost and directions blocked.
func New(seed uint64, vms int, faults bool) *Fleet {
	f := &Fleet{
		clock:   &clock{time.Unix(4_000_000_000, 0)},
		rng:     rand.New(rand.NewPCG(seed, 2)),
		address: map[carobward.Address]*vm{},
		blocked: map[direction]bool{},
	}

	for i := range servers {
		a := carobward.Address(fmt.Sprintf("10.1.0.%d:80", i+1))
		f.list = append(f.list, carobward.VM{Address: a, Service: service})
	}

	for i := range vms {
		v := newVM(i, f.clock, rand.New(rand.NewPCG(f.rng.Uint64(), 3)))
		if faults && i > 0 {
			v.drawFault(i, f.rng)
		}

		f.vms = append(f.vms, v)
		f.address[v.address] = v
	}

	if faults {
		f.addNetworkFaults()
	}

	return f
}

// addNetworkFaults sets the message loss and blocks directions.
func (f *Fleet) addNetworkFaults() {
	f.loss = lossShare

	for _, from := range f.vms {
		for _, to := range f.vms {
			f.blocked[direction{from.address, to.address}] = f.rng.Float64() < blockedShare
		}
	}
}

// LastWork runs the fleet with a signal that the server leaves, and returns the
// time from the signal to the last new request to the server.
func (f *Fleet) LastWork(list List, signal func(*Fleet)) time.Duration {
	f.until(signalAt, list)
	signal(f)
	f.until(runUntil, list)

	return f.last - signalAt
}

func (f *Fleet) until(end time.Duration, list List) {
	for f.now < end {
		f.step(list)
	}
}

// step lets each entry VM dispatch a request if it may, before its tick, which
// is the worst case, and again after it.
func (f *Fleet) step(list List) {
	f.now += stepTime
	f.clock.now = f.clock.now.Add(stepTime)

	for i, v := range f.vms {
		if !v.runs(f.now) {
			continue
		}

		f.dispatch(v)

		if f.now%listInterval == 0 {
			l := list(i)
			v.Listed(l)
			v.servers.Update(l)
		}

		v.Tick(func(s *cwdrain.Gossip) { f.gossip(v, s) })
		f.dispatch(v)
	}
}

func (f *Fleet) dispatch(v *vm) {
	if s := v.leaver(); s != nil && v.servers.MayDispatch(s, f.clock.now) {
		f.last = f.now
	}
}

// gossip sends the announcements of one entry VM to others.
func (f *Fleet) gossip(v *vm, s *cwdrain.Gossip) {
	var peers []carobward.Address

	for _, p := range f.vms {
		if p != v && f.now >= p.joined {
			peers = append(peers, p.address)
		}
	}

	for _, one := range s.Plan(f.clock.now, peers) {
		if answer := f.send(v, one); answer != nil {
			s.Answered(f.clock.now, one.News, answer)
		} else {
			s.Failed(one.News)
		}
	}
}

// send returns the reply to one message, or nil if either was lost.
func (f *Fleet) send(v *vm, s cwdrain.Message) *cwwire.News {
	to := f.address[s.To]
	answer := &cwwire.News{}
	lost := !to.runs(f.now) || to.unreachable || f.blocked[direction{v.address, s.To}] || f.rng.Float64() < f.loss

	if !lost {
		_ = to.Service().Exchange(s.News, answer)
		lost = f.blocked[direction{s.To, v.address}] && !v.unreachable || f.rng.Float64() < f.loss
	}

	f.calls++
	f.bytes += proto.Size(s.News) + proto.Size(answer)

	if lost {
		return nil
	}

	return answer
}
