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
	for n.holder.Revision() < r || n.live() < vms {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "node: revision %d, %d live entry VMs", n.holder.Revision(), n.live())
		case <-time.After(awaitPoll):
		}
	}

	return nil
}

func (n *Node) live() int {
	count := 0

	for _, p := range n.peers.All() {
		if p.State == carobward.PeerLive {
			count++
		}
	}

	return count
}
