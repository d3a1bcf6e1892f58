package cwnode

import (
	"context"

	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwmember"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwsettings"
)

// openPeers sets up communication with the other entry VMs and fetches the members
// from some of them. This fixes the incarnation before other components use it.
func (n *Node) openPeers(log logr.Logger) error {
	key, err := cwsettings.ReadKey(n.settings.Keys.Peers)
	if err != nil {
		return err
	}

	k := cwpeer.Key(key)

	n.peers = cwpeer.NewTable(n.self())
	n.server = cwpeer.NewServer(k, log)
	n.clients = cwpeer.NewClients(k)
	n.member = cwmember.NewService(k, n.listeners.datagrams, n.peers, n.clients, n.metrics.Part("member"), n.clock, log)

	if err := n.server.Register("Member", n.member.RPC()); err != nil {
		return err
	}

	list, err := n.list.List(context.Background())
	if err != nil {
		n.log.Info("The VM list could not be read whole.", "read", len(list), "cause", err.Error())
	}

	n.member.Join(context.Background(), list)

	return nil
}

// closePeers closes the listeners and connections for other entry VMs.
func (n *Node) closePeers() {
	_ = n.listeners.peers.Close()
	_ = n.listeners.datagrams.Close()
	n.server.Close()
	n.clients.Close()
}
