// Package cwspread measures how a configuration change propagates to many entry
// VMs. It runs the real writers and syncers, either over an in-memory store and
// direct calls instead of net/rpc, both with injected faults, or over loopback
// sockets.
package cwspread

import (
	"context"
	"expvar"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwstore"
)

const (
	// domains is the number of failure domains of a fleet.
	domains = 3
	// subnet is the number of entry VMs whose addresses share the first three
	// octets.
	subnet = 250
)

// Link is the direction from one entry VM to another.
type Link struct{ From, To carobward.Address }

// Fleet is a set of entry VMs over fakes of the store and of net/rpc.
type Fleet struct {
	// Store is the store that the entry VMs share.
	Store *cwstore.Store
	// Addresses has the addresses of the entry VMs in the order in which they
	// were added.
	Addresses []carobward.Address
	// Blocked has the directions in which no call gets through. Set it only
	// while no syncer runs.
	Blocked map[Link]bool

	clock carobward.Clock
	mutex sync.Mutex
	vms   map[carobward.Address]*VM
	// bytes is the total size of all exchanges.
	bytes int
}

// New returns a fleet of a number of entry VMs that use a clock.
func New(vms int, clock carobward.Clock) *Fleet {
	f := &Fleet{Store: cwstore.New(), Blocked: map[Link]bool{}, clock: clock, vms: map[carobward.Address]*VM{}}
	for range vms {
		f.Add(f.Store)
	}

	return f
}

// Add adds an entry VM that uses the given store.
func (f *Fleet) Add(store carobward.Store) *VM {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	i := len(f.Addresses)
	v := &VM{fleet: f, Store: &cwstore.Switch{Store: store}, Holder: cwconfig.NewHolder(), self: carobward.Peer{
		ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: carobward.Domain(fmt.Sprint(i % domains)),
		Peers: carobward.Address(fmt.Sprintf("10.0.%d.%d:1", i/subnet, i%subnet)),
	}}
	v.Writer = cwconfig.NewWriter(v.Store, v.Holder)
	v.Syncer = cwconfig.NewSyncer(v.Store, v.Holder, v, v, &expvar.Map{}, f.clock, logr.Discard())
	f.vms[v.self.Peers] = v
	f.Addresses = append(f.Addresses, v.self.Peers)

	return v
}

// At returns the entry VM with an index, from zero.
func (f *Fleet) At(i int) *VM {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.vms[f.Addresses[i]]
}

// Join lets each entry VM join the fleet and reports whether all succeeded.
func (f *Fleet) Join() bool {
	for i := range f.Addresses {
		if !f.At(i).Syncer.Join(context.Background(), true) {
			return false
		}
	}

	return true
}

// Gossip lets each entry VM query every other.
func (f *Fleet) Gossip() {
	for i := range f.Addresses {
		for _, to := range f.Addresses {
			if v := f.At(i); v.self.Peers != to {
				v.Syncer.ExchangeWith(context.Background(), to)
			}
		}
	}
}

// PauseWatchers makes all calls to the store hang on entry VMs that watch it,
// and all calls of peers to these VMs. It returns the indexes of the other VMs.
func (f *Fleet) PauseWatchers() []int {
	var running []int

	for i := range f.Addresses {
		v := f.At(i)
		if !cwconfig.IsWatcher(v.self, v.All()) {
			running = append(running, i)

			continue
		}

		v.Store.Store, v.Unresponsive = cwstore.Hanging{}, true
	}

	return running
}

// Start runs the syncers. The returned function stops them and waits until they
// have ended.
func (f *Fleet) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())

	for i := range f.Addresses {
		go f.At(i).Syncer.Run(ctx)
	}

	return func() {
		cancel()

		for i := range f.Addresses {
			<-f.At(i).Syncer.Done()
		}
	}
}

// sent returns the total size of all exchanges so far, in bytes.
func (f *Fleet) sent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.bytes
}
