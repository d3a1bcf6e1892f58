package cwconfig

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwwire"
)

// manualClock is a clock that a test moves.
type manualClock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.now = c.now.Add(d)
}

// fleet is a set of entry VMs over fakes of the store and of net/rpc.
type fleet struct {
	store *cwtest.Store
	clock carobward.Clock
	mutex sync.Mutex
	vms   map[carobward.Address]*vm
	order []carobward.Address
	// cut has the directions in which no call passes.
	cut map[[2]carobward.Address]bool
	// bytes is what all exchanges took.
	bytes int
}

// vm is one entry VM of a fleet. It is its own Peers and Caller.
type vm struct {
	fleet  *fleet
	self   carobward.Peer
	holder *Holder
	writer *Writer
	syncer *Syncer
	// deaf is whether it lets those wait who call it.
	deaf bool
}

func newFleet(n int) *fleet {
	f := &fleet{
		store: cwtest.NewStore(), clock: &manualClock{now: time.Unix(1000, 0)},
		vms: map[carobward.Address]*vm{}, cut: map[[2]carobward.Address]bool{},
	}
	for range n {
		f.add(f.store)
	}

	return f
}

// add returns a new entry VM that reaches the given store.
func (f *fleet) add(store carobward.Store) *vm {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	i := len(f.order)
	v := &vm{fleet: f, holder: NewHolder(), self: carobward.Peer{
		ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: carobward.Domain(fmt.Sprint(i % 3)),
		Peers: carobward.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)),
	}}
	v.writer = NewWriter(store, v.holder)
	v.syncer = NewSyncer(store, v.holder, v, v, &expvar.Map{}, f.clock, logr.Discard())
	f.vms[v.self.Peers] = v
	f.order = append(f.order, v.self.Peers)

	return v
}

func (f *fleet) at(i int) *vm {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.vms[f.order[i]]
}

func (v *vm) Self() carobward.Peer { return v.self }

// All knows the revisions of those that a call would reach.
func (v *vm) All() []carobward.Peer {
	f := v.fleet

	f.mutex.Lock()
	defer f.mutex.Unlock()

	var all []carobward.Peer

	for _, a := range f.order {
		o := f.vms[a]
		if o == v || !f.cut[[2]carobward.Address{v.self.Peers, a}] {
			p := o.self
			p.Revision = o.holder.Revision()
			all = append(all, p)
		}
	}

	return all
}

func (v *vm) Call(ctx context.Context, to carobward.Address, _ string, in, out proto.Message) error {
	f := v.fleet

	f.mutex.Lock()
	o := f.vms[to]
	cut := o == nil || f.cut[[2]carobward.Address{v.self.Peers, to}] || f.cut[[2]carobward.Address{to, v.self.Peers}]
	deaf := o != nil && o.deaf
	f.mutex.Unlock()

	if deaf {
		<-ctx.Done()

		return ctx.Err()
	}

	if cut {
		return errors.New("cut")
	}

	// Over the wire and back, as net/rpc does.
	raw, _ := proto.Marshal(in)

	req := &cwwire.ConfigRequest{}
	if err := proto.Unmarshal(raw, req); err != nil {
		return err
	}

	reply := &cwwire.ConfigReply{}
	if err := o.syncer.Service().Exchange(req, reply); err != nil {
		return err
	}

	back, _ := proto.Marshal(reply)

	f.mutex.Lock()
	f.bytes += len(raw) + len(back)
	f.mutex.Unlock()

	return proto.Unmarshal(back, out)
}

// ready lets each entry VM join.
func (f *fleet) ready(t testing.TB) {
	t.Helper()

	for i := range f.order {
		if !f.at(i).syncer.Join(context.Background(), true) {
			t.Fatalf("vm-%d did not join", i)
		}
	}
}

// apply makes a change by way of one entry VM, as the operators' API does.
// Once is whether it gives up after one try.
func (v *vm) apply(change Change, once bool) (carobward.Revision, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	if err := v.syncer.CatchUp(ctx); err != nil {
		return 0, err
	}

	if once {
		cancel()
	}

	return v.writer.Apply(ctx, change)
}

// gossip lets each entry VM ask each other.
func (f *fleet) gossip() {
	for _, a := range f.order {
		for _, b := range f.order {
			if a != b {
				f.vms[a].syncer.Ask(context.Background(), b)
			}
		}
	}
}
