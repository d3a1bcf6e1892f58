package cwnode

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwentry"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwsettings"
)

func newLink(s *cwsettings.Link, clock carobward.Clock) *cwlink.Link {
	return cwlink.New(cwlink.Options{
		MaxConns: s.Conns, IdleTimeout: s.Keep.Std(), DialTimeout: s.Dial.Std(), MaxHeaderSize: s.Header,
	}, clock)
}

func (n *Node) dataServer() *cwentry.Server {
	l := &n.settings.Limits

	return cwentry.NewServer(cwentry.ServerOptions{
		Header: l.Header, Body: l.Body,
		Conns: l.Conns, ConnsPerIP: l.ConnsPerIP,
		Read: l.Read.Std(), Write: l.Write.Std(), Idle: l.Idle.Std(),
	}, n.forwarder, n.log)
}

// tickLink sets how many entry VMs share the servers' connections,
// closes idle connections, and cancels work whose caller has disconnected.
func (n *Node) tickLink(now time.Time) {
	size := 0

	for _, p := range n.peers.All() {
		if p.State != carobward.PeerDead {
			size++
		}
	}

	n.link.SetFleet(size, now)
	n.link.Tick(now)
	n.forwarder.Tick()
}
