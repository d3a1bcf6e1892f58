package cwnode

import (
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
)

// openAnnouncements creates the system that exchanges announcements of leaving
// servers with the peers. No requests are sent to servers before the peers'
// announcements have arrived, or the wait for them has timed out.
func (n *Node) openAnnouncements(log logr.Logger) error {
	n.announcements = cwdrain.New(cwdrain.Options{
		Table:   cwdrain.NewTable(),
		Servers: n.servers,
		Peers:   n.livePeers,
		Calls:   n.clients,
		Clock:   n.clock,
		Log:     log,
	})
	n.servers.SetFreshUntil(n.clock.Now().Add(-time.Nanosecond))

	return n.server.Register("News", n.announcements.Service())
}

// livePeers returns the RPC addresses of the other entry VMs that are not dead.
func (n *Node) livePeers() []carobward.Address {
	var all []carobward.Address

	for _, p := range n.peers.All() {
		if p.ID != n.settings.VM && p.State != carobward.PeerDead && p.Peers != "" {
			all = append(all, p.Peers)
		}
	}

	return all
}
