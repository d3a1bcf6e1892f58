package cwnetwork

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmember"
	"carobward.example/carobward/internal/cwwire"
)

// naive is the simplest membership: each VM sends heartbeats to all others, and
// considers dead each one from which it has received nothing for a fixed time.
type naive struct {
	self  carobward.Peer
	peers map[carobward.VMID]carobward.Peer
	sent  time.Time
}

const (
	naiveInterval = time.Second
	naiveTimeout  = 5 * time.Second
)

// Naive returns a member of a naive fleet, whose list has all members from the
// start.
func Naive(i int, n *Network) Actor {
	a := &naive{self: Self(i, 1), peers: map[carobward.VMID]carobward.Peer{}}
	for j := range n.VMs {
		if p := Self(j, 1); i != j {
			p.LastSeen = n.Now
			a.peers[p.ID] = p
		}
	}

	return a
}

func (a *naive) Tick(now time.Time) []cwmember.Message {
	for k, p := range a.peers {
		if now.Sub(p.LastSeen) > naiveTimeout {
			p.State = carobward.PeerDead
			a.peers[k] = p
		}
	}

	if now.Sub(a.sent) < naiveInterval {
		return nil
	}

	a.sent = now

	var out []cwmember.Message

	for i := range len(a.peers) + 1 {
		if p, ok := a.peers[ID(i)]; ok {
			d := &cwwire.Datagram{From: &cwwire.Member{Id: string(a.self.ID), Incarnation: 1}}
			out = append(out, cwmember.Message{To: p.Peers, Datagram: d})
		}
	}

	return out
}

func (a *naive) Receive(now time.Time, _ carobward.Address, d *cwwire.Datagram) []cwmember.Message {
	from := carobward.VMID(d.GetFrom().GetId())
	p := a.peers[from]
	p.LastSeen, p.State = now, carobward.PeerLive
	a.peers[from] = p

	return nil
}

func (a *naive) Peers() []carobward.Peer {
	var all []carobward.Peer
	for _, p := range a.peers {
		all = append(all, p)
	}

	return all
}
