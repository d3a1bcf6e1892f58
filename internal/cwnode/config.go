package cwnode

import (
	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwconfig"
)

// configure makes the part that keeps the configuration up to date.
func (n *Node) configure(log logr.Logger) error {
	n.syncer = cwconfig.NewSyncer(n.store, n.holder, n.peers, n.clients, n.metrics.Part("config"), n.clock, log)

	return n.server.Register(cwconfig.ServiceName, n.syncer.Service())
}
