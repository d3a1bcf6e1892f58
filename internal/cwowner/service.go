package cwowner

import (
	"context"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// Service has the methods that peers call.
type Service struct {
	owner  *Owner
	runner Runner
}

// NewService returns the RPC methods of an owner. The runner executes the requests
// that peers forward.
func NewService(o *Owner, r Runner) *Service { return &Service{owner: o, runner: r} }

// Register registers the owner's RPC methods at a server, see NewService.
func (o *Owner) Register(s *cwpeer.Server, r Runner) error {
	return s.Register("Owner", NewService(o, r))
}

// Carry starts a request that another entry VM forwards. It replies after
// Params.LongPoll at the latest; the work continues in the background.
func (s *Service) Carry(in *cwwire.OnceCall, out *cwwire.OnceAnswer) error {
	o := s.owner
	now := o.clock.Now()

	t, table, err := o.ticketTable(in.GetTicket())
	if err != nil {
		answerToWire(out, nil, err)

		return nil
	}

	c := callFromWire(in, now)
	id := carobward.RequestID(in.GetId())

	claim, answer, err := table.Start(now, t, cwticket.DigestOf(c), c.Deadline)
	if claim == nil {
		answerToWire(out, answer, err)

		return nil
	}

	work := func(ctx context.Context) (*cwticket.Outcome, error) { return s.runner.RunOnce(ctx, id, c) }

	if !o.background(func() { _, _ = o.run(context.Background(), claim, false, work) }) {
		claim.NotRun(now, false)
	}

	s.await(claim.Done())
	s.result(table, t, out)

	return nil
}

// Result returns the outcome of a ticket. It waits for up to Params.LongPoll while
// the work runs.
func (s *Service) Result(in *cwwire.OnceQuery, out *cwwire.OnceAnswer) error {
	t, table, err := s.owner.ticketTable(in.GetTicket())
	if err != nil {
		answerToWire(out, nil, err)

		return nil
	}

	if done, _, _ := table.Lookup(s.owner.clock.Now(), t); done != nil {
		s.await(done)
	}

	s.result(table, t, out)

	return nil
}

// await waits until the work is done, for up to Params.LongPoll.
func (s *Service) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(s.owner.params.LongPoll):
	}
}

// result sets the reply to the recorded outcome of a ticket.
func (s *Service) result(table *cwticket.Table, t cwticket.Ticket, out *cwwire.OnceAnswer) {
	done, answer, err := table.Lookup(s.owner.clock.Now(), t)
	if done != nil {
		out.Pending = true

		return
	}

	answerToWire(out, answer, err)

	// The request was accepted, so only the verdict on its ticket applies.
	if out.Failure != nil {
		out.Failure.Attempt = ""
	}
}

// ticketTable parses a forwarded ticket and returns the table that it belongs to.
// A later run of the owner's VM, at the same address, does not have the table.
func (o *Owner) ticketTable(text string) (cwticket.Ticket, *cwticket.Table, error) {
	t, err := cwticket.Parse(text)
	if err != nil {
		return t, nil, malformedTicket(err)
	}

	table := o.table(t.Owner)
	if table == nil {
		return t, nil, unknownFailure(ErrUnknownOwner, carobward.NotRun)
	}

	return t, table, nil
}
