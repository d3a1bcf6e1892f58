package cwowner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// ErrSuccessor tells that no other entry VM took what became of the tickets.
const ErrSuccessor = errors.ConstError("owner: no entry VM took the outcomes")

// The bounds of handing over: the largest answer that goes along, in bytes,
// and the number of entry VMs that are asked.
const (
	answerMost     = 3 << 20
	successorsMost = 3
)

// Close ends the starting of new work on this entry VM's tickets, for good.
func (o *Owner) Close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.closedAt == 0 {
		o.own.Close()
		o.closedAt = o.own.Issuer().Age(o.clock.Now())
	}
}

// HandOver closes, waits for the work that runs, and hands what became of all
// tickets to another entry VM. Work that still runs when ctx ends is handed
// over as unknown, for which a part of ctx's time is kept.
func (o *Owner) HandOver(ctx context.Context) error {
	o.Close()

	if err := o.own.Drain(drainTime(ctx, o.clock.Now())); err != nil {
		o.log.Info("Handing over with work still running.", "cause", err.Error())
	}

	var failed error

	for of, e := range o.all() {
		if err := o.handTo(ctx, of, e); err != nil {
			failed = err
		}
	}

	return failed
}

// drainShare of the time goes to waiting for running work.
const (
	drainShare = 3
	drainOf    = 4
)

// drainTime returns a context that ends at a share of ctx's time.
func drainTime(ctx context.Context, now time.Time) context.Context {
	end, ok := ctx.Deadline()
	if !ok {
		return ctx
	}

	short, cancel := context.WithDeadline(ctx, now.Add(end.Sub(now)/drainOf*drainShare))
	context.AfterFunc(ctx, cancel)

	return short
}

// all returns our own table as a handover, and those that we stand in for.
func (o *Owner) all() map[cwticket.Owner]*handover {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	all := map[cwticket.Owner]*handover{o.self: {table: o.own, secret: o.secret, closedAt: o.closedAt}}

	for of, e := range o.handovers {
		if e.table.Whole() {
			all[of] = e
		}
	}

	return all
}

// handTo gives one handover to the first entry VM that takes it.
func (o *Owner) handTo(ctx context.Context, of cwticket.Owner, e *handover) error {
	parts := split(e.table.Export(), o.pace.Part)

	for _, p := range o.successors(of) {
		if err := o.give(ctx, p.Peers, of, e, parts); err != nil {
			o.log.Info("An entry VM did not take the outcomes.", "peer", p.ID, "cause", err.Error())

			continue
		}

		o.log.Info("Handed the outcomes over.", "of", of.VM, "to", p.ID, "parts", len(parts))

		return nil
	}

	return ErrSuccessor
}

func (o *Owner) give(ctx context.Context, to carobward.Address, of cwticket.Owner, e *handover, parts [][]cwticket.Entry) error {
	for i, part := range parts {
		out := &cwwire.Taken{}
		in := &cwwire.Handover{
			Vm:          string(of.VM),
			Incarnation: uint64(of.Incarnation),
			Secret:      e.secret[:],
			Age:         int64(e.table.Issuer().Age(o.clock.Now())),
			Closed:      int64(e.closedAt),
			Part:        uint32(i),
			Last:        i == len(parts)-1,
			Tickets:     ticketsToWire(part),
		}

		if err := o.calls.Call(ctx, to, "Owner.Take", in, out); err != nil {
			return err
		}

		if !out.GetTaken() {
			return ErrSuccessor
		}
	}

	return nil
}

// split cuts the tickets into parts that fit into a message. An answer that
// does not is left out. There is one part at least.
func split(all []cwticket.Entry, most int) [][]cwticket.Entry {
	parts := [][]cwticket.Entry{nil}
	size := 0

	for _, e := range all {
		if e.Size() > answerMost {
			e.Outcome = nil
		}

		if size > 0 && size+e.Size() > most {
			parts = append(parts, nil)
			size = 0
		}

		last := len(parts) - 1
		parts[last] = append(parts[last], e)
		size += e.Size()
	}

	return parts
}

// successors returns the live entry VMs that are asked, in random order, so that
// the handovers of many are spread.
func (o *Owner) successors(of cwticket.Owner) []carobward.Peer {
	var fit []carobward.Peer

	for _, p := range o.peers.All() {
		if p.State == carobward.PeerLive && p.ID != o.self.VM && p.ID != of.VM && p.Peers != "" {
			fit = append(fit, p)
		}
	}

	rand.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })

	return fit[:min(len(fit), successorsMost)]
}
