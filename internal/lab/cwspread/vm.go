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

// errBlocked is returned for calls in a direction that is blocked.
const errBlocked = errors.ConstError("spread: the direction between the entry VMs is blocked")

// VM is one entry VM of a fleet. It implements carobward.Peers and cwpeer.Calls
// for itself.
type VM struct {
	// Store is the store that the entry VM uses.
	Store *cwstore.Switch
	// Holder has the effective configuration.
	Holder *cwconfig.Holder
	// Writer makes changes through this entry VM.
	Writer *cwconfig.Writer
	// Syncer keeps the configuration up to date.
	Syncer *cwconfig.Syncer
	// Unresponsive reports whether calls of peers to this VM hang.
	Unresponsive bool

	fleet *Fleet
	self  carobward.Peer
}

// Self returns the entry VM as a peer.
func (v *VM) Self() carobward.Peer { return v.self }

// All returns this VM and the peers that it can reach, with their current
// revisions.
func (v *VM) All() []carobward.Peer {
	f := v.fleet

	f.mutex.Lock()
	defer f.mutex.Unlock()

	var all []carobward.Peer

	for _, a := range f.Addresses {
		o := f.vms[a]
		if o == v || !f.Blocked[Link{v.self.Peers, a}] {
			p := o.self
			p.Revision = o.Holder.Revision()
			all = append(all, p)
		}
	}

	return all
}

// Call makes an exchange with a peer. Request and reply are encoded as over
// net/rpc, and their bytes are counted.
func (v *VM) Call(ctx context.Context, to carobward.Address, _ string, in, out proto.Message) error {
	o, blocked := v.reach(to)
	if o != nil && o.Unresponsive {
		<-ctx.Done()

		return ctx.Err()
	}

	if blocked {
		return errBlocked
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

// reach returns the entry VM at an address and whether calls to it are blocked
// in either direction.
func (v *VM) reach(to carobward.Address) (*VM, bool) {
	f := v.fleet

	f.mutex.Lock()
	defer f.mutex.Unlock()

	o := f.vms[to]

	return o, o == nil || f.Blocked[Link{v.self.Peers, to}] || f.Blocked[Link{to, v.self.Peers}]
}

// count adds to the size of all exchanges.
func (f *Fleet) count(bytes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.bytes += bytes
}

// Apply makes a change through this entry VM, as the operators' API does. With
// once it gives up after one try.
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
