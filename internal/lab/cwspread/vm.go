package cwspread

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwwire"
	"carobward.example/carobward/internal/lab/cwstore"
)

// errCut tells that the direction between two entry VMs is cut.
const errCut = errors.ConstError("spread: cut")

// VM is one entry VM of a fleet. It is its own carobward.Peers and cwpeer.Calls.
type VM struct {
	// Store is what the entry VM reaches as the store.
	Store *cwstore.Switch
	// Holder has the configuration in force.
	Holder *cwconfig.Holder
	// Writer makes changes by way of this entry VM.
	Writer *cwconfig.Writer
	// Syncer keeps the configuration up to date.
	Syncer *cwconfig.Syncer
	// Deaf is whether it lets those wait who call it.
	Deaf bool

	fleet *Fleet
	self  carobward.Peer
}

// Self returns the entry VM as a peer.
func (v *VM) Self() carobward.Peer { return v.self }

// All returns the peers. It knows the revisions of those that a call would
// reach.
func (v *VM) All() []carobward.Peer {
	f := v.fleet

	f.mutex.Lock()
	defer f.mutex.Unlock()

	var all []carobward.Peer

	for _, a := range f.Order {
		o := f.vms[a]
		if o == v || !f.Cut[Link{v.self.Peers, a}] {
			p := o.self
			p.Revision = o.Holder.Revision()
			all = append(all, p)
		}
	}

	return all
}

// Call exchanges with a peer. Request and reply are encoded on the way, as
// over net/rpc, and their bytes counted.
func (v *VM) Call(ctx context.Context, to carobward.Address, _ string, in, out proto.Message) error {
	o, cut := v.reach(to)
	if o != nil && o.Deaf {
		<-ctx.Done()

		return ctx.Err()
	}

	if cut {
		return errCut
	}

	raw, err := proto.Marshal(in)
	if err != nil {
		return errors.Annotate(err, "spread")
	}

	req, reply := &cwwire.ConfigRequest{}, &cwwire.ConfigReply{}
	if err := proto.Unmarshal(raw, req); err != nil {
		return errors.Annotate(err, "spread")
	}

	if err := o.Syncer.Service().Exchange(req, reply); err != nil {
		return err
	}

	back, err := proto.Marshal(reply)
	if err != nil {
		return errors.Annotate(err, "spread")
	}

	v.fleet.count(len(raw) + len(back))

	return errors.Annotate(proto.Unmarshal(back, out), "spread")
}

// reach returns the entry VM at an address and whether no call passes to it
// and back.
func (v *VM) reach(to carobward.Address) (*VM, bool) {
	f := v.fleet

	f.mutex.Lock()
	defer f.mutex.Unlock()

	o := f.vms[to]

	return o, o == nil || f.Cut[Link{v.self.Peers, to}] || f.Cut[Link{to, v.self.Peers}]
}

// count adds to the bytes of all exchanges.
func (f *Fleet) count(bytes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.bytes += bytes
}

// Apply makes a change by way of this entry VM, as the operators' API does.
// Once is whether it gives up after one try.
func (v *VM) Apply(change cwconfig.Change, once bool) (carobward.Revision, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	if err := v.Syncer.CatchUp(ctx); err != nil {
		return 0, err
	}

	if once {
		cancel()
	}

	return v.Writer.Apply(ctx, change)
}
