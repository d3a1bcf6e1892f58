package cwnode

import (
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
)

// openNews sets up what is known of leaving servers. No work is given out
// before the news were heard, or the wait for them is over.
func (n *Node) openNews(log logr.Logger) error {
	n.news = cwdrain.New(cwdrain.Options{
		Table:   cwdrain.NewTable(),
		Servers: n.servers,
		Peers:   n.livePeers,
		Calls:   n.clients,
		Clock:   n.clock,
		Log:     log,
	})
	n.servers.SetFresh(n.clock.Now().Add(-time.Nanosecond))

	return n.server.Register("News", n.news.Service())
}

// livePeers returns where the other entry VMs that are not dead take calls.
func (n *Node) livePeers() []carobward.Address {
	var all []carobward.Address

	for _, p := range n.peers.All() {
		if p.ID != n.settings.VM && p.State != carobward.PeerDead && p.Peers != "" {
			all = append(all, p.Peers)
		}
	}

	return all
}
