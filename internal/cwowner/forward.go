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

// Params has the parameters of the exchange of tickets between entry VMs.
type Params struct {
	// LongPoll is how long an owner delays its reply to a peer while the work
	// runs, before it replies that the outcome is pending.
	LongPoll time.Duration
	// Grace is the additional time that a reply may take. An owner that has not
	// replied after LongPoll and Grace is unresponsive, however long the work
	// takes.
	Grace time.Duration
	// Backoff is how long an unresponsive owner is not called again.
	Backoff time.Duration
	// AnnounceInterval is the time between two rounds of announcing to peers
	// which owners this entry VM is the successor of.
	AnnounceInterval time.Duration
	// PartBytes is the size of one part of a handover.
	PartBytes int
}

// DefaultParams returns the parameters of entry VMs in production.
func DefaultParams() Params {
	return Params{
		LongPoll:         150 * time.Millisecond,
		Grace:            350 * time.Millisecond,
		Backoff:          time.Second,
		AnnounceInterval: 500 * time.Millisecond,
		PartBytes:        512 << 10,
	}
}

// SetParams replaces the default parameters. It must be called before the owner is
// used.
func (o *Owner) SetParams(p Params) { o.params = p }

// unknownFailure returns a failure with the verdict unknown for a ticket whose
// outcome is not available here. attempt is the verdict on this one request.
func unknownFailure(cause error, attempt carobward.Verdict) *carobward.Failure {
	f := carobward.NewFailure(carobward.Unknown, fasthttp.StatusServiceUnavailable, retryAfter, cause)
	f.Attempt = attempt

	return f
}

// forward sends a request to the owner of its ticket and waits for the outcome.
// The verdict of every error is unknown: even if this request did not run, an
// earlier one with the ticket may have.
func (o *Owner) forward(ctx context.Context, t cwticket.Ticket, id carobward.RequestID, c *carobward.Call) (*cwticket.Outcome, error) {
	to, err := o.locate(t.Owner)
	if err != nil {
		return nil, err
	}

	out := &cwwire.OnceAnswer{}
	if err := o.callOwner(ctx, to, "Owner.Carry", callToWire(t, id, c, o.clock.Now()), out, true); err != nil {
		return nil, err
	}

	for out.GetPending() {
		if !o.clock.Now().Before(c.Deadline) {
			return nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusGatewayTimeout, retryAfter, ErrTimeout)
		}

		out = &cwwire.OnceAnswer{}
		if err := o.callOwner(ctx, to, "Owner.Result", &cwwire.OnceQuery{Ticket: t.String()}, out, false); err != nil {
			return nil, err
		}

		// The owner accepted the request in the first call. A replacement of
		// the owner does not know that, so its verdict on this attempt is
		// dropped.
		if out.Failure != nil {
			out.Failure.Attempt = ""
		}
	}

	return answerFromWire(out)
}

// callOwner calls an owner and records if it is unresponsive. Only the first call
// for a request can start its work.
func (o *Owner) callOwner(ctx context.Context, to carobward.Address, method string, in, out proto.Message, first bool) error {
	callCtx, cancel := context.WithTimeout(ctx, o.params.LongPoll+o.params.Grace)
	defer cancel()

	err := o.calls.Call(callCtx, to, method, in, out)
	if err == nil {
		return nil
	}

	o.log.V(1).Info("A ticket owner did not reply.", "peer", to, "cause", err.Error())

	// If the request itself was canceled, the owner may be responsive.
	if callCtx.Err() != nil && ctx.Err() == nil {
		o.mutex.Lock()
		o.unresponsive[to] = o.clock.Now()
		o.mutex.Unlock()
	}

	attempt := carobward.Unknown
	if first {
		attempt = carobward.VerdictOf(err)
	}

	return unknownFailure(ErrUnresponsive, attempt)
}

// locate returns the address to call for an owner's tickets: that of its
// successor, or of the owner itself while it is not dead. It fails while that
// address is unresponsive.
func (o *Owner) locate(of cwticket.Owner) (carobward.Address, error) {
	to, err := o.address(of)
	if err != nil {
		return "", err
	}

	o.mutex.Lock()
	defer o.mutex.Unlock()

	if at, ok := o.unresponsive[to]; ok {
		if o.clock.Now().Sub(at) < o.params.Backoff {
			return "", unknownFailure(ErrUnresponsive, carobward.NotRun)
		}

		delete(o.unresponsive, to)
	}

	return to, nil
}

func (o *Owner) address(of cwticket.Owner) (carobward.Address, error) {
	o.mutex.Lock()
	s := o.successors[of]
	o.mutex.Unlock()

	if s != nil {
		return s.peers, nil
	}

	for _, p := range o.peers.All() {
		if p.ID != of.VM {
			continue
		}

		if p.State == carobward.PeerDead || p.Peers == "" {
			break
		}

		// This may be a later run of the VM. It replies at once that it does
		// not have the ticket.
		return p.Peers, nil
	}

	return "", unknownFailure(ErrUnknownOwner, carobward.NotRun)
}
