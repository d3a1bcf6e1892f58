// Package cwspread measures how a change of the configuration spreads over
// many entry VMs. It runs the product's writers and syncers, over a store in
// memory and direct calls in place of net/rpc, both with faults, and over
// loopback.
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
	// domains is how many failure domains a fleet has.
	domains = 3
	// subnet is how many entry VMs share the first parts of their addresses.
	subnet = 250
)

// Link is the direction from one entry VM to another.
type Link struct{ From, To carobward.Address }

// Fleet is a set of entry VMs over fakes of the store and of net/rpc.
type Fleet struct {
	// Store is the one that the entry VMs share.
	Store *cwstore.Store
	// Order has the addresses of the entry VMs in the order they came.
	Order []carobward.Address
	// Cut has the directions in which no call passes. Set it only while no
	// syncer runs.
	Cut map[Link]bool

	clock carobward.Clock
	mutex sync.Mutex
	vms   map[carobward.Address]*VM
	// bytes is what all exchanges took.
	bytes int
}

// New returns a fleet of so many entry VMs that go by a clock.
func New(vms int, clock carobward.Clock) *Fleet {
	f := &Fleet{Store: cwstore.New(), Cut: map[Link]bool{}, clock: clock, vms: map[carobward.Address]*VM{}}
	for range vms {
		f.Add(f.Store)
	}

	return f
}

// Add returns a new entry VM that reaches the given store.
func (f *Fleet) Add(store carobward.Store) *VM {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	i := len(f.Order)
	v := &VM{fleet: f, Store: &cwstore.Switch{Store: store}, Holder: cwconfig.NewHolder(), self: carobward.Peer{
		ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: carobward.Domain(fmt.Sprint(i % domains)),
		Peers: carobward.Address(fmt.Sprintf("10.0.%d.%d:1", i/subnet, i%subnet)),
	}}
	v.Writer = cwconfig.NewWriter(v.Store, v.Holder)
	v.Syncer = cwconfig.NewSyncer(v.Store, v.Holder, v, v, &expvar.Map{}, f.clock, logr.Discard())
	f.vms[v.self.Peers] = v
	f.Order = append(f.Order, v.self.Peers)

	return v
}

// At returns an entry VM by its number, from zero.
func (f *Fleet) At(i int) *VM {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.vms[f.Order[i]]
}

// Join lets each entry VM join the fleet and tells whether all could.
func (f *Fleet) Join() bool {
	for i := range f.Order {
		if !f.At(i).Syncer.Join(context.Background(), true) {
			return false
		}
	}

	return true
}

// Gossip lets each entry VM ask each other.
func (f *Fleet) Gossip() {
	for i := range f.Order {
		for _, to := range f.Order {
			if v := f.At(i); v.self.Peers != to {
				v.Syncer.ExchangeWith(context.Background(), to)
			}
		}
	}
}

// Freeze takes the store from all entry VMs that watch it, and stops their
// answers to peers. It returns the numbers of the others.
func (f *Fleet) Freeze() []int {
	var well []int

	for i := range f.Order {
		v := f.At(i)
		if !cwconfig.IsWatcher(v.self, v.All()) {
			well = append(well, i)

			continue
		}

		v.Store.Store, v.Deaf = cwstore.Frozen{}, true
	}

	return well
}

// Start runs the syncers until the returned function is called, which waits
// for their end.
func (f *Fleet) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())

	for i := range f.Order {
		go f.At(i).Syncer.Run(ctx)
	}

	return func() {
		cancel()

		for i := range f.Order {
			<-f.At(i).Syncer.Done()
		}
	}
}

// sent returns the bytes of all exchanges so far.
func (f *Fleet) sent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.bytes
}
