package cwowner

import (
	"context"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// Service is what peers may call.
type Service struct {
	owner  *Owner
	runner Runner
}

// NewService returns what peers may call on the owner. The runner does the
// work of the requests that they pass on.
func NewService(o *Owner, r Runner) *Service { return &Service{owner: o, runner: r} }

// Register lets peers call the owner, see NewService.
func (o *Owner) Register(s *cwpeer.Server, r Runner) error {
	return s.Register("Owner", NewService(o, r))
}

// Carry takes a request that another entry VM passes on. It answers after
// Hold at the latest; the work goes on meanwhile.
func (s *Service) Carry(in *cwwire.OnceCall, out *cwwire.OnceAnswer) error {
	o := s.owner
	now := o.clock.Now()

	t, table, err := o.kept(in.GetTicket())
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

// Result answers what became of a ticket. It waits for Hold at the most while
// its work runs.
func (s *Service) Result(in *cwwire.OnceQuery, out *cwwire.OnceAnswer) error {
	t, table, err := s.owner.kept(in.GetTicket())
	if err != nil {
		answerToWire(out, nil, err)

		return nil
	}

	if wait, _, _ := table.Look(s.owner.clock.Now(), t); wait != nil {
		s.await(wait)
	}

	s.result(table, t, out)

	return nil
}

// await waits until work has ended, for Hold at the most.
func (s *Service) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(s.owner.pace.Hold):
	}
}

// result fills in what is recorded of a ticket.
func (s *Service) result(table *cwticket.Table, t cwticket.Ticket, out *cwwire.OnceAnswer) {
	wait, answer, err := table.Look(s.owner.clock.Now(), t)
	if wait != nil {
		out.Pending = true

		return
	}

	answerToWire(out, answer, err)

	// The request has been taken: only the ticket's verdict speaks for it.
	if out.Failure != nil {
		out.Failure.Attempt = ""
	}
}

// kept returns the table that a passed ticket belongs to. A replacement of
// the owner on its address does not have it.
func (o *Owner) kept(text string) (cwticket.Ticket, *cwticket.Table, error) {
	t, err := cwticket.Parse(text)
	if err != nil {
		return t, nil, malformed(err)
	}

	table := o.table(t.Owner)
	if table == nil {
		return t, nil, unknown(ErrOwner, carobward.NotRun)
	}

	return t, table, nil
}
