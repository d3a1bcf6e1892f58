package cwnode

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// The pace of the systems.
const (
	tickEvery  = 200 * time.Millisecond
	helloEvery = time.Second
	silentMost = 5 * time.Second
)

// tick runs the systems over the tables until ctx ends.
func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()

	var listed, greeted time.Time

	for {
		now := n.clock.Now()
		n.peers.SetRevision(n.holder.Revision())

		if now.Sub(listed) >= n.settings.List.Every.Std() {
			listed = now
			n.readList(ctx)
		}

		if now.Sub(greeted) >= helloEvery {
			greeted = now
			n.hello(ctx)
		}

		n.peers.Tick(now.Add(-silentMost))
		n.tickLink(now)

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// readList takes the VM list: servers into their table, new peers are
// greeted.
func (n *Node) readList(ctx context.Context) {
	list, err := n.list.List(ctx)
	if err != nil {
		n.log.Info("The VM list did not answer.", "cause", err.Error())

		return
	}

	n.servers.Update(list)
	n.link.Retain(list)

	for _, v := range list {
		if v.Service == carobward.EntryService && v.ID != n.settings.VM && v.State == carobward.Live {
			n.peers.Heard(carobward.Peer{ID: v.ID, Domain: v.Domain, Peers: v.Address, State: carobward.PeerDead}, time.Time{})
		}
	}
}

// hello exchanges what we and each peer say of ourselves.
func (n *Node) hello(ctx context.Context) {
	var group conc.WaitGroup

	self := n.peers.Self()

	for _, p := range n.peers.All() {
		if p.ID == self.ID || p.Peers == "" {
			continue
		}

		group.Go(func() {
			if heard, err := n.clients.Hello(ctx, p.Peers, self); err == nil {
				n.peers.Heard(heard, n.clock.Now())
			}
		})
	}

	group.Wait()
}
