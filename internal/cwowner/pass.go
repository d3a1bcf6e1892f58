package cwowner

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// Pace is how fast entry VMs talk about tickets.
type Pace struct {
	// Hold is how long an owner keeps a call waiting while the work runs,
	// before it says so.
	Hold time.Duration
	// Grace is how much longer an answer may take. So an owner that has not
	// answered after Hold and Grace is silent, however long the work takes.
	Grace time.Duration
	// Quiet is how long a silent owner is not asked again.
	Quiet time.Duration
	// Tell is the pause between two rounds of telling peers for whom this
	// entry VM stands in.
	Tell time.Duration
	// Part is the size of a part of what is handed over, in bytes.
	Part int
}

// UsualPace returns the pace of entry VMs in service.
func UsualPace() Pace {
	return Pace{
		Hold:  150 * time.Millisecond,
		Grace: 350 * time.Millisecond,
		Quiet: time.Second,
		Tell:  500 * time.Millisecond,
		Part:  512 << 10,
	}
}

// SetPace replaces the usual pace, before the owner is used.
func (o *Owner) SetPace(p Pace) { o.pace = p }

// unknown is the failure of a request that cannot be answered for here, with
// the verdict on this one request.
func unknown(cause error, attempt carobward.Verdict) *carobward.Failure {
	f := carobward.NewFailure(carobward.Unknown, fasthttp.StatusServiceUnavailable, retryAfter, cause)
	f.Attempt = attempt

	return f
}

// pass passes a request to the owner of its ticket. Whatever goes wrong, the
// verdict is unknown: if not this request, an earlier one may have run.
func (o *Owner) pass(ctx context.Context, t cwticket.Ticket, id carobward.RequestID, c *carobward.Call) (*cwticket.Outcome, error) {
	to, err := o.find(t.Owner)
	if err != nil {
		return nil, err
	}

	out := &cwwire.OnceAnswer{}
	if err := o.ask(ctx, to, "Owner.Carry", callToWire(t, id, c, o.clock.Now()), out, true); err != nil {
		return nil, err
	}

	for out.GetPending() {
		if !o.clock.Now().Before(c.Deadline) {
			return nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusGatewayTimeout, retryAfter, ErrTime)
		}

		out = &cwwire.OnceAnswer{}
		if err := o.ask(ctx, to, "Owner.Result", &cwwire.OnceQuery{Ticket: t.String()}, out, false); err != nil {
			return nil, err
		}

		// The request has been taken, whatever a replacement of its owner
		// says of it.
		if out.Failure != nil {
			out.Failure.Attempt = ""
		}
	}

	return answerFromWire(out)
}

// ask calls an owner and notes when it is silent. The first call for a request
// is the one that may start its work.
func (o *Owner) ask(ctx context.Context, to carobward.Address, method string, in, out proto.Message, first bool) error {
	short, cancel := context.WithTimeout(ctx, o.pace.Hold+o.pace.Grace)
	defer cancel()

	err := o.caller.Call(short, to, method, in, out)
	if err == nil {
		return nil
	}

	o.log.V(1).Info("An owner did not answer.", "peer", to, "cause", err.Error())

	// A request that ended before its time says nothing of the owner.
	if short.Err() != nil && ctx.Err() == nil {
		o.mutex.Lock()
		o.silent[to] = o.clock.Now()
		o.mutex.Unlock()
	}

	attempt := carobward.Unknown
	if first {
		attempt = carobward.VerdictOf(err)
	}

	return unknown(ErrSilent, attempt)
}

// find returns where the tickets of an owner are kept: at its successor, or
// at the owner itself while it lives.
func (o *Owner) find(of cwticket.Owner) (carobward.Address, error) {
	to, err := o.address(of)
	if err != nil {
		return "", err
	}

	o.mutex.Lock()
	defer o.mutex.Unlock()

	if at, ok := o.silent[to]; ok {
		if o.clock.Now().Sub(at) < o.pace.Quiet {
			return "", unknown(ErrSilent, carobward.NotRun)
		}

		delete(o.silent, to)
	}

	return to, nil
}

func (o *Owner) address(of cwticket.Owner) (carobward.Address, error) {
	o.mutex.Lock()
	h := o.moved[of]
	o.mutex.Unlock()

	if h != nil {
		return h.peers, nil
	}

	for _, p := range o.peers.All() {
		if p.ID != of.VM {
			continue
		}

		if p.State == carobward.PeerDead || p.Peers == "" {
			break
		}

		// It may be a replacement, which answers at once that it has not got
		// the ticket.
		return p.Peers, nil
	}

	return "", unknown(ErrOwner, carobward.NotRun)
}
