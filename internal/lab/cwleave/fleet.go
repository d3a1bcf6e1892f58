// Package cwleave models a fleet of entry VMs that tell each other which
// server leaves, over a network that loses messages and cuts ways, and notes
// when the server last got new work. The same seed gives the same fleet.
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

// The model's rules.
const (
	service = "records"
	servers = 30
	// stepEvery is the model's step.
	stepEvery = cwdrain.TickInterval
	// listEvery is the time between two reads of the VM list.
	listEvery = time.Second
	// signAt is when the first sign that the server leaves is seen.
	signAt = 4900 * time.Millisecond
	// runUntil is the end of a run.
	runUntil = 22 * time.Second
	// lossPart of all messages is lost each way, and cutPart of all ways
	// between two entry VMs is cut for good, in a fleet with faults.
	lossPart = 0.1
	cutPart  = 0.2
)

// way is one direction between two entry VMs.
type way struct{ from, to carobward.Address }

// List returns the VM list that the entry VM at a place reads now.
type List func(i int) []carobward.VM

// Fleet is a fleet over its network.
type Fleet struct {
	clock   *clock
	vms     []*vm
	address map[carobward.Address]*vm
	rng     *rand.Rand
	cut     map[way]bool
	loss    float64
	now     time.Duration
	list    []carobward.VM
	// last is when the leaving server last got new work.
	last time.Duration
	// calls and bytes are those of the news since they were last taken.
	calls, bytes int
}

// New draws a fleet of so many entry VMs. With faults, some are frozen around
// the sign, join after it or can't be called, messages are lost and ways cut.
func New(seed uint64, vms int, faults bool) *Fleet {
	f := &Fleet{
		clock:   &clock{time.Unix(4_000_000_000, 0)},
		rng:     rand.New(rand.NewPCG(seed, 2)),
		address: map[carobward.Address]*vm{},
		cut:     map[way]bool{},
	}

	for i := range servers {
		a := carobward.Address(fmt.Sprintf("10.1.0.%d:80", i+1))
		f.list = append(f.list, carobward.VM{Address: a, Service: service})
	}

	for i := range vms {
		v := newVM(i, f.clock, rand.New(rand.NewPCG(f.rng.Uint64(), 3)))
		if faults && i > 0 {
			v.draw(i, f.rng)
		}

		f.vms = append(f.vms, v)
		f.address[v.address] = v
	}

	if faults {
		f.fail()
	}

	return f
}

// fail has the network lose messages and cuts ways.
func (f *Fleet) fail() {
	f.loss = lossPart

	for _, from := range f.vms {
		for _, to := range f.vms {
			f.cut[way{from.address, to.address}] = f.rng.Float64() < cutPart
		}
	}
}

// LastWork runs the fleet with a sign that the server leaves, and returns the
// time from it to the last new work that the server got.
func (f *Fleet) LastWork(list List, sign func(*Fleet)) time.Duration {
	f.until(signAt, list)
	sign(f)
	f.until(runUntil, list)

	return f.last - signAt
}

func (f *Fleet) until(end time.Duration, list List) {
	for f.now < end {
		f.step(list)
	}
}

// step has each entry VM give out work, in the worst place before its tick,
// and then tick.
func (f *Fleet) step(list List) {
	f.now += stepEvery
	f.clock.now = f.clock.now.Add(stepEvery)

	for i, v := range f.vms {
		if !v.runs(f.now) {
			continue
		}

		f.dispatch(v)

		if f.now%listEvery == 0 {
			l := list(i)
			v.Listed(l)
			v.servers.Update(l)
		}

		v.Tick(func(s *cwdrain.Gossip) { f.tell(v, s) })
		f.dispatch(v)
	}
}

func (f *Fleet) dispatch(v *vm) {
	if s := v.leaver(); s != nil && v.servers.MayDispatch(s, f.clock.now) {
		f.last = f.now
	}
}

// tell sends what one entry VM has to tell to others.
func (f *Fleet) tell(v *vm, s *cwdrain.Gossip) {
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

// send returns the answer to one message, or nil if either was lost.
func (f *Fleet) send(v *vm, s cwdrain.Message) *cwwire.News {
	to := f.address[s.To]
	answer := &cwwire.News{}
	lost := !to.runs(f.now) || to.deaf || f.cut[way{v.address, s.To}] || f.rng.Float64() < f.loss

	if !lost {
		_ = to.Service().Exchange(s.News, answer)
		lost = f.cut[way{s.To, v.address}] && !v.deaf || f.rng.Float64() < f.loss
	}

	f.calls++
	f.bytes += proto.Size(s.News) + proto.Size(answer)

	if lost {
		return nil
	}

	return answer
}
