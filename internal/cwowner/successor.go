package cwowner

import (
	"context"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// handover has the outcomes of the tickets of an owner that has left.
type handover struct {
	table  *cwticket.Table
	secret cwticket.Secret
	// closedAge is the age of the owner when it closed.
	closedAge time.Duration
	// parts is the number of parts received so far.
	parts uint32
	// notified has the runs of peers that know this entry VM as the successor.
	notified map[cwticket.Owner]bool
}

// successor is the entry VM that keeps the tickets of an owner that has left.
type successor struct {
	peers   carobward.Address
	expires time.Time
}

// maxHandovers limits the number of owners that this entry VM is the successor of,
// and the number of other owners whose successors it knows.
const maxHandovers = 4096

// Take receives one part of the handover of a leaving owner.
func (s *Service) Take(in *cwwire.Handover, out *cwwire.Taken) error {
	o := s.owner
	of := cwticket.Owner{VM: carobward.VMID(in.GetVm()), Incarnation: carobward.Incarnation(in.GetIncarnation())}

	o.mutex.Lock()
	defer o.mutex.Unlock()

	e := o.openHandover(of, in)
	if e == nil {
		return nil
	}

	if err := e.table.Import(ticketsFromWire(in.GetTickets())); err != nil {
		o.log.Info("A handover was refused because the limits on stored outcomes are reached.", "vm", of.VM)
		e.table.Drop()
		delete(o.handovers, of)

		return nil
	}

	e.parts = in.GetPart() + 1
	out.Taken = true

	if in.GetLast() {
		e.table.MarkComplete()
		o.lastAnnounced = time.Time{}
		o.log.Info("Took over the outcomes of an entry VM that is leaving.", "vm", of.VM, "parts", e.parts)
	}

	return nil
}

// openHandover returns the handover that a part belongs to. The first part starts a
// new one. The result is nil, which refuses the part, if the handover is already
// complete, an earlier part is missing, its secret has a wrong size, there are
// too many handovers, or this owner is closed.
func (o *Owner) openHandover(of cwticket.Owner, in *cwwire.Handover) *handover {
	e := o.handovers[of]
	refuse := o.closedAge != 0 || of == o.self || len(in.GetSecret()) != cwticket.KeySize

	if refuse || (e != nil && e.table.IsComplete()) {
		return nil
	}

	if in.GetPart() == 0 {
		if len(o.handovers) >= maxHandovers {
			return nil
		}

		if e != nil {
			e.table.Drop()
		}

		secret := cwticket.Secret(in.GetSecret())
		issuer := cwticket.NewIssuer(of, secret, time.Duration(in.GetAge()), o.clock.Now())
		e = &handover{
			table:     cwticket.NewSuccessor(issuer, o.budget),
			secret:    secret,
			closedAge: time.Duration(in.GetClosed()),
			notified:  map[cwticket.Owner]bool{},
		}
		o.handovers[of] = e

		return e
	}

	if e == nil || e.parts != in.GetPart() {
		return nil
	}

	return e
}

// Moved records the successor of an owner that has left.
func (s *Service) Moved(in *cwwire.Moved, _ *cwwire.Noted) error {
	o := s.owner
	of := cwticket.Owner{VM: carobward.VMID(in.GetVm()), Incarnation: carobward.Incarnation(in.GetIncarnation())}
	remaining := min(time.Duration(in.GetLeft()), o.limits.Horizon)

	o.mutex.Lock()
	defer o.mutex.Unlock()

	if len(o.successors) < maxHandovers || o.successors[of] != nil {
		o.successors[of] = &successor{peers: carobward.Address(in.GetPeers()), expires: o.clock.Now().Add(remaining)}
	}

	return nil
}

// tickHandovers removes handovers and successors whose last ticket has expired,
// and ends the backoff of unresponsive owners.
func (o *Owner) tickHandovers(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	for of, e := range o.handovers {
		e.table.Tick(now)

		if e.table.Expired(now, e.closedAge) {
			e.table.Drop()
			delete(o.handovers, of)
		}
	}

	for of, s := range o.successors {
		if !now.Before(s.expires) {
			delete(o.successors, of)
		}
	}

	for to, at := range o.unresponsive {
		if now.Sub(at) >= o.params.Backoff {
			delete(o.unresponsive, to)
		}
	}
}

// notice announces to one peer that this entry VM is the successor of one owner.
type notice struct {
	to        carobward.Peer
	of        cwticket.Owner
	remaining time.Duration
}

// announce informs peers, including new ones, which owners this entry VM is the
// successor of, unless they know it already. One round runs at a time.
func (o *Owner) announce(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.announcing || o.lifetime.Err() != nil || now.Sub(o.lastAnnounced) < o.params.AnnounceInterval || len(o.handovers) == 0 {
		return
	}

	o.lastAnnounced = now

	all := o.pendingNotices(now)
	if len(all) == 0 {
		return
	}

	o.announcing = true
	o.group.Go(func() { o.sendAll(all) })
}

func (o *Owner) pendingNotices(now time.Time) []notice {
	var all []notice

	for _, p := range o.peers.All() {
		if p.ID == o.self.VM || p.Peers == "" || p.State == carobward.PeerDead {
			continue
		}

		for of, e := range o.handovers {
			if e.table.IsComplete() && !e.notified[ownerOf(p)] {
				remaining := e.closedAge + o.limits.Horizon - e.table.Issuer().Age(now)
				all = append(all, notice{to: p, of: of, remaining: remaining})
			}
		}
	}

	return all
}

func ownerOf(p carobward.Peer) cwticket.Owner {
	return cwticket.Owner{VM: p.ID, Incarnation: p.Incarnation}
}

func (o *Owner) sendAll(all []notice) {
	self := o.peers.Self()

	for _, n := range all {
		in := &cwwire.Moved{
			Vm:          string(n.of.VM),
			Incarnation: uint64(n.of.Incarnation),
			Successor:   string(self.ID),
			Peers:       string(self.Peers),
			Left:        int64(n.remaining),
		}
		err := o.send(n.to.Peers, in)

		o.mutex.Lock()
		if e := o.handovers[n.of]; e != nil && err == nil {
			e.notified[ownerOf(n.to)] = true
		}
		o.mutex.Unlock()
	}

	o.mutex.Lock()
	o.announcing = false
	o.mutex.Unlock()
}

func (o *Owner) send(to carobward.Address, in *cwwire.Moved) error {
	ctx, cancel := context.WithTimeout(o.lifetime, o.params.LongPoll+o.params.Grace)
	defer cancel()

	return o.calls.Call(ctx, to, "Owner.Moved", in, &cwwire.Noted{})
}
