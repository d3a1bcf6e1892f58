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

// clock is the time of the model.
type clock struct{ now time.Time }

// Now returns the model's time.
func (c *clock) Now() time.Time { return c.now }

// vm is one entry VM.
type vm struct {
	*cwdrain.System

	news    *cwdrain.Table
	servers *cwserver.Table
	address carobward.Address
	// deaf tells that no peer can call it, though it can call them.
	deaf           bool
	joined         time.Duration
	frozen, thawed time.Duration
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
	// kinds is the number of kinds of entry VM: there all the time, frozen,
	// joining, and one that no peer can call.
	kinds = 4
	// frozenBefore is how long before the sign a freeze begins at most.
	frozenBefore = 2 * time.Second
	// frozenMost is the longest freeze.
	frozenMost = 15 * time.Second
	// joinedMost is when the last entry VM joins at most.
	joinedMost = 20 * time.Second
)

// draw draws the fault of the entry VM at a place.
func (v *vm) draw(i int, rng *rand.Rand) {
	switch i % kinds {
	case 1:
		v.frozen = signAt - upTo(rng, frozenBefore)
		v.thawed = v.frozen + upTo(rng, frozenMost)
	case 2:
		v.joined = upTo(rng, joinedMost)
	case 3:
		v.deaf = true
	}
}

func upTo(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(most)))
}

func (v *vm) runs(at time.Duration) bool {
	return at >= v.joined && (at < v.frozen || at >= v.thawed)
}

// leaver returns the server that leaves, or nil while it is not known.
func (v *vm) leaver() *cwserver.Server {
	for _, s := range v.servers.Of(service) {
		if s.Address == Leaver {
			return s
		}
	}

	return nil
}
