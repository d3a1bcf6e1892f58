package cwnode

import (
	"context"
	"time"

	"carobward.example/carobward"
)

// tickEvery is the pace of the systems.
const tickEvery = 200 * time.Millisecond

// tick runs the systems over the tables until ctx ends.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
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
		n.tickMetrics(now)
		n.owner.Tick(now)
		n.widths.Tick(now, n.carrier.Counts)

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// listed returns what tells whether an address is on a VM list.
func listed(list []carobward.VM) func(carobward.Address) bool {
	all := make(map[carobward.Address]bool, len(list))
	for i := range list {
		all[list[i].Address] = true
	}

	return func(a carobward.Address) bool { return all[a] }
}

// readList takes the VM list: servers into their table, entry VMs to the
// membership.
func (n *Node) readList(ctx context.Context) {
	list, err := n.list.List(ctx)
	if err != nil {
		n.log.Info("The VM list could not be read whole.", "read", len(list), "cause", err.Error())
	}

	if len(list) == 0 {
		return // What was listed before stands.
	}

	n.news.Listed(list)
	n.measure.listVMs(n.clock.Now(), list)
	n.servers.Update(list)
	n.link.Retain(listed(list))
	n.member.Seeds(list)
}
