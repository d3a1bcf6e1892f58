package cwowner

import (
	"context"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// handover is what became of the tickets of an owner that left.
type handover struct {
	table  *cwticket.Table
	secret cwticket.Secret
	// closedAt is how old the owner was when it closed.
	closedAt time.Duration
	// parts is how many parts have come.
	parts uint32
	// told has the runs of peers that know that the handover is here.
	told map[cwticket.Owner]bool
}

// successor is where the tickets of an owner that left are kept.
type successor struct {
	peers carobward.Address
	until time.Time
}

// handoversMost bounds how many owners this entry VM stands in for, and for how
// many it knows who does.
const handoversMost = 4096

// Take takes one part of what a leaving owner hands over.
func (s *Service) Take(in *cwwire.Handover, out *cwwire.Taken) error {
	o := s.owner
	of := cwticket.Owner{VM: carobward.VMID(in.GetVm()), Incarnation: carobward.Incarnation(in.GetIncarnation())}

	o.mutex.Lock()
	defer o.mutex.Unlock()

	e := o.open(of, in)
	if e == nil {
		return nil
	}

	if err := e.table.Import(ticketsFromWire(in.GetTickets())); err != nil {
		o.log.Info("A handover found no room.", "vm", of.VM)
		e.table.Drop()
		delete(o.handovers, of)

		return nil
	}

	e.parts = in.GetPart() + 1
	out.Taken = true

	if in.GetLast() {
		e.table.Complete()
		o.told = time.Time{}
		o.log.Info("Standing in for an owner that leaves.", "vm", of.VM, "parts", e.parts)
	}

	return nil
}

// open returns the handover that a part belongs to; the first part starts it. A
// part that is missing, or a closed owner, leaves none.
func (o *Owner) open(of cwticket.Owner, in *cwwire.Handover) *handover {
	e := o.handovers[of]
	shut := o.closedAt != 0 || of == o.self || len(in.GetSecret()) != cwticket.KeySize

	if shut || (e != nil && e.table.Whole()) {
		return nil
	}

	if in.GetPart() == 0 {
		if len(o.handovers) >= handoversMost {
			return nil
		}

		if e != nil {
			e.table.Drop()
		}

		secret := cwticket.Secret(in.GetSecret())
		issuer := cwticket.NewIssuer(of, secret, time.Duration(in.GetAge()), o.clock.Now())
		e = &handover{
			table:    cwticket.NewSuccessor(issuer, o.budget),
			secret:   secret,
			closedAt: time.Duration(in.GetClosed()),
			told:     map[cwticket.Owner]bool{},
		}
		o.handovers[of] = e

		return e
	}

	if e == nil || e.parts != in.GetPart() {
		return nil
	}

	return e
}

// Moved notes who answers for the tickets of an owner that left.
func (s *Service) Moved(in *cwwire.Moved, _ *cwwire.Noted) error {
	o := s.owner
	of := cwticket.Owner{VM: carobward.VMID(in.GetVm()), Incarnation: carobward.Incarnation(in.GetIncarnation())}
	left := min(time.Duration(in.GetLeft()), o.limits.Horizon)

	o.mutex.Lock()
	defer o.mutex.Unlock()

	if len(o.moved) < handoversMost || o.moved[of] != nil {
		o.moved[of] = &successor{peers: carobward.Address(in.GetPeers()), until: o.clock.Now().Add(left)}
	}

	return nil
}

// tickHandovers forgets handovers whose last ticket is no longer honoured.
func (o *Owner) tickHandovers(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	for of, e := range o.handovers {
		e.table.Tick(now)

		if e.table.Expired(now, e.closedAt) {
			e.table.Drop()
			delete(o.handovers, of)
		}
	}

	for of, h := range o.moved {
		if !now.Before(h.until) {
			delete(o.moved, of)
		}
	}

	for to, at := range o.silent {
		if now.Sub(at) >= o.pace.Quiet {
			delete(o.silent, to)
		}
	}
}

// notice is one message to one peer.
type notice struct {
	to   carobward.Peer
	of   cwticket.Owner
	left time.Duration
}

// tell tells the peers that do not know it yet for whom this entry VM stands
// in, newcomers too. One round runs at a time.
func (o *Owner) tell(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.telling || o.work.Err() != nil || now.Sub(o.told) < o.pace.Tell || len(o.handovers) == 0 {
		return
	}

	o.told = now

	all := o.notices(now)
	if len(all) == 0 {
		return
	}

	o.telling = true
	o.group.Go(func() { o.sendAll(all) })
}

func (o *Owner) notices(now time.Time) []notice {
	var all []notice

	for _, p := range o.peers.All() {
		if p.ID == o.self.VM || p.Peers == "" || p.State == carobward.PeerDead {
			continue
		}

		for of, e := range o.handovers {
			if e.table.Whole() && !e.told[run(p)] {
				left := e.closedAt + o.limits.Horizon - e.table.Issuer().Age(now)
				all = append(all, notice{to: p, of: of, left: left})
			}
		}
	}

	return all
}

func run(p carobward.Peer) cwticket.Owner {
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
			Left:        int64(n.left),
		}
		err := o.send(n.to.Peers, in)

		o.mutex.Lock()
		if e := o.handovers[n.of]; e != nil && err == nil {
			e.told[run(n.to)] = true
		}
		o.mutex.Unlock()
	}

	o.mutex.Lock()
	o.telling = false
	o.mutex.Unlock()
}

func (o *Owner) send(to carobward.Address, in *cwwire.Moved) error {
	ctx, cancel := context.WithTimeout(o.work, o.pace.Hold+o.pace.Grace)
	defer cancel()

	return o.calls.Call(ctx, to, "Owner.Moved", in, &cwwire.Noted{})
}
