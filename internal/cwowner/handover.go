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

// ErrNoSuccessor means that no other entry VM accepted the outcomes.
const ErrNoSuccessor = errors.ConstError("owner: no entry VM took the outcomes")

// Limits of a handover: the largest answer that is included, in bytes, and the
// number of entry VMs to try.
const (
	maxAnswerBytes    = 3 << 20
	maxSuccessorTries = 3
)

// Close permanently stops new work from being started with this entry VM's
// tickets.
func (o *Owner) Close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.closedAge == 0 {
		o.own.Close()
		o.closedAge = o.own.Issuer().Age(o.clock.Now())
	}
}

// HandOver closes the owner, waits for running work, and sends the outcomes of
// all tickets to another entry VM. The wait uses three quarters of ctx's time,
// which leaves the rest for sending; work still running then is handed over
// with the verdict unknown.
func (o *Owner) HandOver(ctx context.Context) error {
	o.Close()

	if err := o.own.Drain(drainContext(ctx, o.clock.Now())); err != nil {
		o.log.Info("Handing over outcomes while work is still running.", "cause", err.Error())
	}

	var failed error

	for of, e := range o.allHandovers() {
		if err := o.sendHandover(ctx, of, e); err != nil {
			failed = err
		}
	}

	return failed
}

// The fraction of the time that is spent waiting for running work.
const (
	drainNumerator   = 3
	drainDenominator = 4
)

// drainContext returns a context that ends when that fraction of the time until
// ctx's deadline has passed.
func drainContext(ctx context.Context, now time.Time) context.Context {
	end, ok := ctx.Deadline()
	if !ok {
		return ctx
	}

	drain, cancel := context.WithDeadline(ctx, now.Add(end.Sub(now)/drainDenominator*drainNumerator))
	context.AfterFunc(ctx, cancel)

	return drain
}

// allHandovers returns the own table as a handover, and the complete ones
// received from other owners.
func (o *Owner) allHandovers() map[cwticket.Owner]*handover {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	all := map[cwticket.Owner]*handover{o.self: {table: o.own, secret: o.secret, closedAge: o.closedAge}}

	for of, e := range o.handovers {
		if e.table.IsComplete() {
			all[of] = e
		}
	}

	return all
}

// sendHandover sends one handover to the first entry VM that accepts it.
func (o *Owner) sendHandover(ctx context.Context, of cwticket.Owner, e *handover) error {
	parts := split(e.table.Export(), o.params.PartBytes)

	for _, p := range o.candidates(of) {
		if err := o.sendParts(ctx, p.Peers, of, e, parts); err != nil {
			o.log.Info("An entry VM did not accept the handover of outcomes.", "peer", p.ID, "cause", err.Error())

			continue
		}

		o.log.Info("Handed the outcomes over to another entry VM.", "of", of.VM, "to", p.ID, "parts", len(parts))

		return nil
	}

	return ErrNoSuccessor
}

func (o *Owner) sendParts(ctx context.Context, to carobward.Address, of cwticket.Owner, e *handover, parts [][]cwticket.Entry) error {
	for i, part := range parts {
		out := &cwwire.Taken{}
		in := &cwwire.Handover{
			Vm:          string(of.VM),
			Incarnation: uint64(of.Incarnation),
			Secret:      e.secret[:],
			Age:         int64(e.table.Issuer().Age(o.clock.Now())),
			Closed:      int64(e.closedAge),
			Part:        uint32(i),
			Last:        i == len(parts)-1,
			Tickets:     ticketsToWire(part),
		}

		if err := o.calls.Call(ctx, to, "Owner.Take", in, out); err != nil {
			return err
		}

		if !out.GetTaken() {
			return ErrNoSuccessor
		}
	}

	return nil
}

// split divides the tickets into parts that fit into a message each. An answer
// that is too large for any message is left out. There is at least one part.
func split(all []cwticket.Entry, maxBytes int) [][]cwticket.Entry {
	parts := [][]cwticket.Entry{nil}
	size := 0

	for _, e := range all {
		if e.Size() > maxAnswerBytes {
			e.Outcome = nil
		}

		if size > 0 && size+e.Size() > maxBytes {
			parts = append(parts, nil)
			size = 0
		}

		last := len(parts) - 1
		parts[last] = append(parts[last], e)
		size += e.Size()
	}

	return parts
}

// candidates returns the live entry VMs to offer a handover to, in random order,
// so that the handovers of many VMs are spread over the fleet.
func (o *Owner) candidates(of cwticket.Owner) []carobward.Peer {
	var live []carobward.Peer

	for _, p := range o.peers.All() {
		if p.State == carobward.PeerLive && p.ID != o.self.VM && p.ID != of.VM && p.Peers != "" {
			live = append(live, p)
		}
	}

	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })

	return live[:min(len(live), maxSuccessorTries)]
}
