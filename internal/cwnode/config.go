package cwnode

import (
	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwconfig"
)

// configure creates the syncer, which keeps the configuration up to date, and its
// metrics.
func (n *Node) configure(log logr.Logger) error {
	part := n.metrics.Part("config")
	n.syncer = cwconfig.NewSyncer(n.store, n.holder, n.peers, n.clients, part, n.clock, log)
	n.metrics.Gauge("config", "alarm", func() int64 { return boolToInt(n.syncer.Condition().Alarm != "") })
	n.metrics.Gauge("config", "ready", func() int64 { return boolToInt(n.syncer.Condition().Ready) })
	n.metrics.Gauge("config", "age", n.configAge)

	return n.server.Register(cwconfig.ServiceName, n.syncer.Service())
}

// configAge returns the time in milliseconds since the configuration was last
// known to be the newest, or -1 if it never was.
func (n *Node) configAge() int64 {
	fresh := n.syncer.Condition().Fresh
	if fresh.IsZero() {
		return -1
	}

	return n.clock.Now().Sub(fresh).Milliseconds()
}

func boolToInt(set bool) int64 {
	if set {
		return 1
	}

	return 0
}
