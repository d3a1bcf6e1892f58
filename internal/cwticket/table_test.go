package cwticket

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
)

const horizon = 5 * time.Minute

var limits = Options{Horizon: horizon, Records: 1000, Bytes: carobward.Megabyte}

func newTable(o Options) *Table { return NewTable(newIssuer(), NewBudget(o)) }

func numbered(t Ticket, n uint64) Ticket {
	t.Key.Number = n

	return t
}

func outcome(body string) *Outcome {
	return &Outcome{Reply: &carobward.Reply{Status: 200, Body: []byte(body)}, Server: "127.0.0.1:1"}
}

// startResult is the result of Table.Start in a form that tests can compare.
type startResult struct {
	Claim   bool
	Body    string
	Verdict carobward.Verdict
	Status  int
	Cause   error
}

func startTicket(t *Table, now time.Time, k Ticket, d Digest) (*Claim, startResult) {
	claim, answer, err := t.Start(now, k, d, now.Add(time.Second))

	s := startResult{Claim: claim != nil}
	if answer != nil {
		s.Body, s.Verdict = string(answer.Reply.Body), carobward.Ran
	}

	var f *carobward.Failure
	if errors.As(err, &f) {
		s.Verdict, s.Status, s.Cause = f.Verdict, f.Status, f.Cause
	}

	return claim, s
}

// TestTicketStates brings a ticket into each state and starts it again.
func TestTicketStates(t *testing.T) {
	running := startResult{Verdict: carobward.Unknown, Status: 409, Cause: ErrRunning}
	lost := startResult{Verdict: carobward.Unknown, Status: 410, Cause: ErrOutcomeUnknown}
	spent := startResult{Verdict: carobward.NotRun, Status: 409, Cause: ErrSpent}

	for name, test := range map[string]struct {
		then  func(t *Table, c *Claim)
		after time.Duration
		other bool
		want  startResult
	}{
		"running":                      {then: func(*Table, *Claim) {}, want: running},
		"running, other body":          {then: func(*Table, *Claim) {}, other: true, want: startResult{Status: 422, Cause: ErrContentMismatch}},
		"ran":                          {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")) }, want: startResult{Body: "fee", Verdict: carobward.Ran}},
		"ran, other body":              {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")) }, other: true, want: startResult{Status: 422, Cause: ErrContentMismatch}},
		"ran, then closed":             {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")); c.Close(start) }, want: startResult{Body: "fee", Verdict: carobward.Ran}},
		"ran, answer too big":          {then: func(_ *Table, c *Claim) { c.Ran(start, outcome(string(make([]byte, 2<<20)))) }, want: startResult{Verdict: carobward.Ran, Status: 410, Cause: ErrAnswerTooLarge}},
		"lost":                         {then: func(_ *Table, c *Claim) { c.Lost(start) }, want: lost},
		"claim closed without outcome": {then: func(_ *Table, c *Claim) { c.Close(start) }, want: lost},
		"lost, then ran":               {then: func(_ *Table, c *Claim) { c.Lost(start); c.Ran(start, outcome("late")) }, want: lost},
		"not run":                      {then: func(_ *Table, c *Claim) { c.NotRun(start, false) }, want: spent},
		"not run, other body":          {then: func(_ *Table, c *Claim) { c.NotRun(start, false) }, other: true, want: spent},
		"not run, only request":        {then: func(_ *Table, c *Claim) { c.NotRun(start, true) }, want: startResult{Claim: true}},
		"expired":                      {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")) }, after: horizon, want: startResult{Status: 410, Cause: ErrExpired}},
		"expired and removed": {
			then:  func(t *Table, c *Claim) { c.Ran(start, outcome("fee")); t.Tick(start.Add(2 * horizon)) },
			after: 2 * horizon, want: startResult{Status: 410, Cause: ErrExpired},
		},
		"expired while running": {
			then:  func(t *Table, c *Claim) { t.Tick(start.Add(2 * horizon)); c.Ran(start.Add(2*horizon), outcome("fee")) },
			after: 2 * horizon, want: startResult{Status: 410, Cause: ErrExpired},
		},
		"owner closed, ran":     {then: func(t *Table, c *Claim) { c.Ran(start, outcome("fee")); t.Close() }, want: startResult{Body: "fee", Verdict: carobward.Ran}},
		"owner closed, running": {then: func(t *Table, _ *Claim) { t.Close() }, want: running},
		"owner closed, not run": {then: func(t *Table, c *Claim) { c.NotRun(start, true); t.Close() }, want: startResult{Verdict: carobward.NotRun, Status: 503, Cause: ErrClosed}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(limits)
			ticket := table.Issuer().Ticket(start)

			claim, first := startTicket(table, start, ticket, Digest{1})
			if diff := cmp.Diff(startResult{Claim: true}, first); diff != "" {
				t.Fatal(diff)
			}

			test.then(table, claim)

			content := Digest{1}
			if test.other {
				content = Digest{2}
			}

			_, got := startTicket(table, start.Add(test.after), ticket, content)
			if diff := cmp.Diff(test.want, got, cmp.Comparer(errors.Is)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLateRequestIsNotStarted checks that a request whose deadline passed
// before its work began, as after a pause of the owner's process, does not run,
// and neither does a later duplicate of it with a longer deadline.
func TestLateRequestIsNotStarted(t *testing.T) {
	table := newTable(limits)
	ticket := table.Issuer().Ticket(start)

	_, _, err := table.Start(start, ticket, Digest{}, start)
	if v := carobward.VerdictOf(err); v != carobward.NotRun {
		t.Fatalf("a late request: %v", err)
	}

	if claim, s := startTicket(table, start, ticket, Digest{}); claim != nil {
		t.Errorf("a ticket that was answered not-run was started: %+v", s)
	}
}

// TestRefuse checks the verdicts of requests that are refused for a reason
// outside the table, such as a full queue.
func TestRefuse(t *testing.T) {
	busy := carobward.NewFailure(carobward.NotRun, 503, time.Second, ErrFull)
	table := newTable(limits)
	ran, fresh := table.Issuer().Ticket(start), table.Issuer().Ticket(start)

	claim, _ := startTicket(table, start, ran, Digest{})
	claim.Ran(start, outcome("fee"))

	if v := carobward.VerdictOf(table.Refuse(start, ran, busy)); v != carobward.Unknown {
		t.Errorf("refusal of a ticket that ran: verdict %s, want unknown", v)
	}

	if v := carobward.VerdictOf(table.Refuse(start, fresh, busy)); v != carobward.NotRun {
		t.Errorf("refusal of a new ticket: verdict %s, want not-run", v)
	}

	if claim, _ := startTicket(table, start, fresh, Digest{}); claim != nil {
		t.Error("a ticket that was refused as not-run was started")
	}
}

// TestRoom fills a table and checks that no outcome is dropped before the
// horizon, that new work is refused and does not run, and that there is room
// again after the horizon.
func TestRoom(t *testing.T) {
	for name, test := range map[string]struct {
		options Options
		body    int
		started int
	}{
		"count": {Options{Horizon: horizon, Records: 50, Bytes: carobward.Megabyte}, 10, 50},
		"bytes": {Options{Horizon: horizon, Records: 5000, Bytes: 64 * carobward.Kilobyte}, 10_000, 5},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(test.options)
			ticket := table.Issuer().Ticket(start)

			var accepted []Ticket

			for n := range uint64(200) {
				numberedTicket := numbered(ticket, n)
				claim, s := startTicket(table, start, numberedTicket, Digest{})

				if claim == nil {
					if s.Verdict == carobward.Ran || !errors.Is(s.Cause, ErrFull) {
						t.Fatalf("ticket %d: %+v", n, s)
					}

					continue
				}

				claim.Ran(start, outcome(string(make([]byte, test.body))))
				accepted = append(accepted, numberedTicket)
			}

			if len(accepted) != test.started {
				t.Errorf("%d tickets were started, want %d", len(accepted), test.started)
			}

			for _, k := range accepted {
				if _, s := startTicket(table, start.Add(horizon-time.Second), k, Digest{}); s.Verdict != carobward.Ran {
					t.Errorf("ticket %d: %+v", k.Key.Number, s)
				}
			}

			records, closed, bytes := table.budget.Used()
			if records > test.options.Records || closed > test.options.Records || bytes > test.options.Bytes {
				t.Errorf("over the bounds: %d records, %d closed tickets, %d bytes", records, closed, bytes)
			}

			later := start.Add(2 * horizon)
			table.Tick(later)

			records, closed, bytes = table.budget.Used()
			if diff := cmp.Diff([3]int{}, [3]int{records, closed, int(bytes)}); diff != "" {
				t.Errorf("records, closed tickets and bytes after the horizon (-want +got): %s", diff)
			}

			if claim, s := startTicket(table, later, table.Issuer().Ticket(later), Digest{}); claim == nil {
				t.Errorf("no room after the horizon: %+v", s)
			}
		})
	}
}

// TestNoRoomToClose checks that without room to close a ticket the verdict is
// unknown and the ticket may still be started.
func TestNoRoomToClose(t *testing.T) {
	table := newTable(Options{Horizon: horizon, Records: 1, Bytes: carobward.Megabyte})
	first, second := table.Issuer().Ticket(start), table.Issuer().Ticket(start)

	claim, _ := startTicket(table, start, first, Digest{})
	if v := claim.NotRun(start, false); v != carobward.NotRun {
		t.Errorf("verdict with room: %s, want not-run", v)
	}

	claim, _ = startTicket(table, start, second, Digest{})
	if v := claim.NotRun(start, false); v != carobward.Unknown {
		t.Errorf("verdict without room: %s, want unknown", v)
	}

	if claim, s := startTicket(table, start, second, Digest{}); claim == nil {
		t.Errorf("a ticket that was not closed could not be started: %+v", s)
	}
}

func TestHandover(t *testing.T) {
	table := newTable(limits)
	ran, lost, running, closed, unused := table.Issuer().Ticket(start), table.Issuer().Ticket(start), table.Issuer().Ticket(start), table.Issuer().Ticket(start), table.Issuer().Ticket(start)

	c, _ := startTicket(table, start, ran, Digest{1})
	c.Ran(start, outcome("fee"))

	c, _ = startTicket(table, start, lost, Digest{1})
	c.Lost(start)

	c, _ = startTicket(table, start, closed, Digest{1})
	c.NotRun(start, false)

	c, _ = startTicket(table, start, running, Digest{1})

	table.Close()

	if claim, s := startTicket(table, start, unused, Digest{1}); claim != nil || s.Verdict != carobward.NotRun {
		t.Errorf("start of an unused ticket in a closed table: %+v", s)
	}

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	if err := table.Drain(ctx); err == nil {
		t.Error("Drain returned no error while work was still running")
	}

	now := start.Add(time.Minute)
	successor := NewSuccessor(NewIssuer(owner, Secret{1, 2, 3}, table.Issuer().Age(now), now), NewBudget(limits))

	if err := successor.Import(table.Export()); err != nil {
		t.Fatal(err)
	}

	if _, s := startTicket(successor, now, unused, Digest{1}); s.Verdict != carobward.Unknown {
		t.Errorf("unused ticket in an incomplete successor table: %+v", s)
	}

	successor.MarkComplete()

	for name, test := range map[string]struct {
		ticket Ticket
		digest Digest
		want   startResult
	}{
		"ran":           {ran, Digest{1}, startResult{Body: "fee", Verdict: carobward.Ran}},
		"other content": {ran, Digest{2}, startResult{Status: 422, Cause: ErrContentMismatch}},
		"lost":          {lost, Digest{1}, startResult{Status: 410, Cause: ErrOutcomeUnknown}},
		"running":       {running, Digest{1}, startResult{Status: 410, Cause: ErrOutcomeUnknown}},
		"closed":        {closed, Digest{1}, startResult{Verdict: carobward.NotRun, Status: 409, Cause: ErrSpent}},
		"never ran":     {unused, Digest{1}, startResult{Verdict: carobward.NotRun, Status: 503, Cause: ErrClosed}},
	} {
		_, got := startTicket(successor, now, test.ticket, test.digest)
		if diff := cmp.Diff(test.want, got, cmp.Comparer(errors.Is)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}

	if _, s := startTicket(successor, start.Add(horizon), ran, Digest{1}); !errors.Is(s.Cause, ErrExpired) {
		t.Errorf("the successor table does not measure the ticket's age from its issue: %+v", s)
	}

	c.Close(now)

	if err := table.Drain(context.Background()); err != nil {
		t.Error(err)
	}
}

func BenchmarkStartRan(b *testing.B) {
	issuer := newIssuer()
	table := NewTable(issuer, NewBudget(Options{Horizon: horizon, Records: b.N, Bytes: 1 << 40}))
	prefix := issuer.Prefix(start)
	call := &carobward.Call{Method: "POST", URI: "/fees", Body: carobward.Body{make([]byte, 256)}}
	answer := outcome("launch 17 charged")

	b.ReportAllocs()
	b.ResetTimer()

	for n := range uint64(b.N) {
		ticket, err := Parse(prefix + "." + strconv.FormatUint(n, 10))
		if err != nil {
			b.Fatal(err)
		}

		claim, _, _ := table.Start(start, ticket, DigestOf(call), start.Add(time.Second))
		claim.Ran(start, answer)
	}

	b.StopTimer()

	_, _, bytes := table.budget.Used()
	b.ReportMetric(float64(bytes)/float64(b.N), "accounted-B/op")
}
