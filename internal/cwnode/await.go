package cwnode

import (
	"context"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
)

// awaitPoll is the pause between two looks.
const awaitPoll = 10 * time.Millisecond

// Apply makes a change of the configuration, as an operator would.
func (n *Node) Apply(ctx context.Context, change cwconfig.Change) (carobward.Revision, error) {
	return cwconfig.NewWriter(n.store, n.holder).Apply(ctx, change)
}

// Await waits until a revision is in force here and as many entry VMs are
// live, this one among them.
func (n *Node) Await(ctx context.Context, r carobward.Revision, vms int) error {
	for n.holder.Revision() < r || n.count(carobward.PeerLive) < int64(vms) {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "node: revision %d, %d live entry VMs", n.holder.Revision(), n.count(carobward.PeerLive))
		case <-time.After(awaitPoll):
		}
	}

	return nil
}
