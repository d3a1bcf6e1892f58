package cwleave

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwserver"
)

// clock is the virtual time of the model.
type clock struct{ now time.Time }

// Now returns the model's time.
func (c *clock) Now() time.Time { return c.now }

// vm is one entry VM.
type vm struct {
	*cwdrain.System

	news    *cwdrain.Table
	servers *cwserver.Table
	address carobward.Address
	// unreachable reports whether no peer can call it, though it can call them.
	unreachable     bool
	joined          time.Duration
	paused, resumed time.Duration
}

func newVM(i int, c *clock, rng *rand.Rand) *vm {
	v := &vm{address: vmAddress(i), news: cwdrain.NewTable(), servers: cwserver.NewTable()}
	v.System = cwdrain.New(cwdrain.Options{Table: v.news, Servers: v.servers, Clock: c, Rand: rng, Log: logr.Discard()})
	v.servers.SetFreshUntil(c.now.Add(-1))

	return v
}

func vmAddress(i int) carobward.Address {
	const subnet = 200

	return carobward.Address(fmt.Sprintf("10.0.%d.%d:7003", i/subnet, i%subnet+1))
}

// The faults of entry VMs.
const (
	// kindCount is the number of kinds of entry VM: without a fault, paused,
	// joining, and unreachable for its peers.
	kindCount = 4
	// maxPauseLead bounds how long before the signal a pause begins.
	maxPauseLead = 2 * time.Second
	// maxPause bounds the length of a pause.
	maxPause = 15 * time.Second
	// maxJoin bounds when an entry VM joins.
	maxJoin = 20 * time.Second
)

// drawFault draws the fault of the entry VM with an index.
func (v *vm) drawFault(i int, rng *rand.Rand) {
	switch i % kindCount {
	case 1:
		v.paused = signalAt - upTo(rng, maxPauseLead)
		v.resumed = v.paused + upTo(rng, maxPause)
	case 2:
		v.joined = upTo(rng, maxJoin)
	case 3:
		v.unreachable = true
	}
}

func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

func (v *vm) runs(at time.Duration) bool {
	return at >= v.joined && (at < v.paused || at >= v.resumed)
}

// leaver returns the server that leaves, or nil if this entry VM does not have
// it.
func (v *vm) leaver() *cwserver.Server {
	for _, s := range v.servers.Of(service) {
		if s.Address == Leaver {
			return s
		}
	}

	return nil
}
