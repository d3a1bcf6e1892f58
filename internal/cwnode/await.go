package cwnode

import (
	"context"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
)

// awaitInterval is the polling interval of Await.
const awaitInterval = 10 * time.Millisecond

// Apply changes the configuration, as an operator would.
func (n *Node) Apply(ctx context.Context, change cwconfig.Change) (carobward.Revision, error) {
	return cwconfig.NewWriter(n.store, n.holder).Apply(ctx, change)
}

// Await waits until this entry VM has at least configuration revision r and sees
// at least vms live entry VMs, including itself.
func (n *Node) Await(ctx context.Context, r carobward.Revision, vms int) error {
	for n.holder.Revision() < r || n.count(carobward.PeerLive) < int64(vms) {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "node: revision %d, %d live entry VMs", n.holder.Revision(), n.count(carobward.PeerLive))
		case <-time.After(awaitInterval):
		}
	}

	return nil
}
