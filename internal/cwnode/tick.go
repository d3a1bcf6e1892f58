package cwnode

import (
	"context"
	"time"

	"carobward.example/carobward"
)

// tickInterval is the time between two ticks of the components.
const tickInterval = 200 * time.Millisecond

// tick reads the VM list and ticks the components until ctx is done.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	var listed time.Time

	for {
		now := n.clock.Now()
		n.peers.SetRevision(n.holder.Revision())

		if now.Sub(listed) >= n.settings.List.Every.Std() {
			listed = now
			n.readList(ctx)
		}

		n.tickLink(now)
		n.pruneMetrics(now)
		n.owner.Tick(now)
		n.widths.Tick(now, n.forwarder.Counts)

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// onList returns a function that reports whether an address is in a VM list.
func onList(list []carobward.VM) func(carobward.Address) bool {
	all := make(map[carobward.Address]bool, len(list))
	for i := range list {
		all[list[i].Address] = true
	}

	return func(a carobward.Address) bool { return all[a] }
}

// readList reads the VM list and passes the servers to their table and the entry
// VMs to the membership.
func (n *Node) readList(ctx context.Context) {
	list, err := n.list.List(ctx)
	if err != nil {
		n.log.Info("The VM list could not be read whole.", "read", len(list), "cause", err.Error())
	}

	if len(list) == 0 {
		return // The previous list stays in use.
	}

	n.announcements.Listed(list)
	n.measure.listVMs(n.clock.Now(), list)
	n.servers.Update(list)
	n.link.Retain(onList(list))
	n.member.SetVMList(list)
}
