package cwnode

import (
	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwconfig"
)

// configure makes the part that keeps the configuration up to date.
func (n *Node) configure(log logr.Logger) error {
	part := n.metrics.Part("config")
	n.syncer = cwconfig.NewSyncer(n.store, n.holder, n.peers, n.clients, part, n.clock, log)
	n.metrics.Gauge("config", "alarm", func() int64 { return flag(n.syncer.Condition().Alarm != "") })
	n.metrics.Gauge("config", "ready", func() int64 { return flag(n.syncer.Condition().Ready) })
	n.metrics.Gauge("config", "age", n.age)

	return n.server.Register(cwconfig.ServiceName, n.syncer.Service())
}

// age is for how long it has not been known whether the revision in force is
// the newest, in milliseconds; negative for never.
func (n *Node) age() int64 {
	fresh := n.syncer.Condition().Fresh
	if fresh.IsZero() {
		return -1
	}

	return n.clock.Now().Sub(fresh).Milliseconds()
}

func flag(set bool) int64 {
	if set {
		return 1
	}

	return 0
}
