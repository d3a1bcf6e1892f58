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

// said is what a table says of a ticket, as a test compares it.
type said struct {
	Claim   bool
	Body    string
	Verdict carobward.Verdict
	Status  int
	Cause   error
}

func ask(t *Table, now time.Time, k Ticket, d Digest) (*Claim, said) {
	claim, answer, err := t.Start(now, k, d, now.Add(time.Second))

	s := said{Claim: claim != nil}
	if answer != nil {
		s.Body, s.Verdict = string(answer.Reply.Body), carobward.Ran
	}

	var f *carobward.Failure
	if errors.As(err, &f) {
		s.Verdict, s.Status, s.Cause = f.Verdict, f.Status, f.Cause
	}

	return claim, s
}

// TestTicketStates takes a ticket into each state and asks again.
func TestTicketStates(t *testing.T) {
	running := said{Verdict: carobward.Unknown, Status: 409, Cause: ErrRunning}
	lost := said{Verdict: carobward.Unknown, Status: 410, Cause: ErrLost}
	spent := said{Verdict: carobward.NotRun, Status: 409, Cause: ErrSpent}

	for name, test := range map[string]struct {
		then  func(t *Table, c *Claim)
		after time.Duration
		other bool
		want  said
	}{
		"running":              {then: func(*Table, *Claim) {}, want: running},
		"running, other body":  {then: func(*Table, *Claim) {}, other: true, want: said{Status: 422, Cause: ErrContent}},
		"ran":                  {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")) }, want: said{Body: "fee", Verdict: carobward.Ran}},
		"ran, other body":      {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")) }, other: true, want: said{Status: 422, Cause: ErrContent}},
		"ran, then closed":     {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")); c.Close(start) }, want: said{Body: "fee", Verdict: carobward.Ran}},
		"ran, answer too big":  {then: func(_ *Table, c *Claim) { c.Ran(start, outcome(string(make([]byte, 2<<20)))) }, want: said{Verdict: carobward.Ran, Status: 410, Cause: ErrKept}},
		"lost":                 {then: func(_ *Table, c *Claim) { c.Lost(start) }, want: lost},
		"left without outcome": {then: func(_ *Table, c *Claim) { c.Close(start) }, want: lost},
		"lost is for good":     {then: func(_ *Table, c *Claim) { c.Lost(start); c.Ran(start, outcome("late")) }, want: lost},
		"not run":              {then: func(_ *Table, c *Claim) { c.NotRun(start, false) }, want: spent},
		"not run, other body":  {then: func(_ *Table, c *Claim) { c.NotRun(start, false) }, other: true, want: spent},
		"not run, only once":   {then: func(_ *Table, c *Claim) { c.NotRun(start, true) }, want: said{Claim: true}},
		"expired":              {then: func(_ *Table, c *Claim) { c.Ran(start, outcome("fee")) }, after: horizon, want: said{Status: 410, Cause: ErrExpired}},
		"expired and forgotten": {
			then:  func(t *Table, c *Claim) { c.Ran(start, outcome("fee")); t.Tick(start.Add(2 * horizon)) },
			after: 2 * horizon, want: said{Status: 410, Cause: ErrExpired},
		},
		"expired in mid work": {
			then:  func(t *Table, c *Claim) { t.Tick(start.Add(2 * horizon)); c.Ran(start.Add(2*horizon), outcome("fee")) },
			after: 2 * horizon, want: said{Status: 410, Cause: ErrExpired},
		},
		"owner closed, ran":     {then: func(t *Table, c *Claim) { c.Ran(start, outcome("fee")); t.Close() }, want: said{Body: "fee", Verdict: carobward.Ran}},
		"owner closed, running": {then: func(t *Table, _ *Claim) { t.Close() }, want: running},
		"owner closed, not run": {then: func(t *Table, c *Claim) { c.NotRun(start, true); t.Close() }, want: said{Verdict: carobward.NotRun, Status: 503, Cause: ErrClosed}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(limits)
			ticket := table.Issuer().Ticket(start)

			claim, first := ask(table, start, ticket, Digest{1})
			if diff := cmp.Diff(said{Claim: true}, first); diff != "" {
				t.Fatal(diff)
			}

			test.then(table, claim)

			content := Digest{1}
			if test.other {
				content = Digest{2}
			}

			_, got := ask(table, start.Add(test.after), ticket, content)
			if diff := cmp.Diff(test.want, got, cmp.Comparer(errors.Is)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLateRequestIsNotStarted: the deadline has passed before the work began,
// as after a pause of the owner, and a copy with more time comes after it.
func TestLateRequestIsNotStarted(t *testing.T) {
	table := newTable(limits)
	ticket := table.Issuer().Ticket(start)

	_, _, err := table.Start(start, ticket, Digest{}, start)
	if v := carobward.VerdictOf(err); v != carobward.NotRun {
		t.Fatalf("a late request: %v", err)
	}

	if claim, s := ask(table, start, ticket, Digest{}); claim != nil {
		t.Errorf("a ticket that was answered not-run starts: %+v", s)
	}
}

// TestRefuse: a request is given up for want of room elsewhere.
func TestRefuse(t *testing.T) {
	busy := carobward.NewFailure(carobward.NotRun, 503, time.Second, ErrFull)
	table := newTable(limits)
	ran, fresh := table.Issuer().Ticket(start), table.Issuer().Ticket(start)

	claim, _ := ask(table, start, ran, Digest{})
	claim.Ran(start, outcome("fee"))

	if v := carobward.VerdictOf(table.Refuse(start, ran, busy)); v != carobward.Unknown {
		t.Errorf("a ticket that ran is refused as %s", v)
	}

	if v := carobward.VerdictOf(table.Refuse(start, fresh, busy)); v != carobward.NotRun {
		t.Errorf("a new ticket is refused as %s", v)
	}

	if claim, _ := ask(table, start, fresh, Digest{}); claim != nil {
		t.Error("a ticket that was refused as not-run starts")
	}
}

// TestRoom fills a table: nothing is forgotten early, new work is refused and
// not run, and there is room again after the horizon.
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

			var kept []Ticket

			for n := range uint64(200) {
				one := numbered(ticket, n)
				claim, s := ask(table, start, one, Digest{})

				if claim == nil {
					if s.Verdict == carobward.Ran || !errors.Is(s.Cause, ErrFull) {
						t.Fatalf("ticket %d: %+v", n, s)
					}

					continue
				}

				claim.Ran(start, outcome(string(make([]byte, test.body))))
				kept = append(kept, one)
			}

			if len(kept) != test.started {
				t.Errorf("%d were started, want %d", len(kept), test.started)
			}

			for _, one := range kept {
				if _, s := ask(table, start.Add(horizon-time.Second), one, Digest{}); s.Verdict != carobward.Ran {
					t.Errorf("ticket %d: %+v", one.Key.Number, s)
				}
			}

			records, closed, bytes := table.budget.Used()
			if records > test.options.Records || closed > test.options.Records || bytes > test.options.Bytes {
				t.Errorf("%d records, %d closed, %d bytes", records, closed, bytes)
			}

			later := start.Add(2 * horizon)
			table.Tick(later)

			records, closed, bytes = table.budget.Used()
			if diff := cmp.Diff([3]int{}, [3]int{records, closed, int(bytes)}); diff != "" {
				t.Errorf("room is not given back: %s", diff)
			}

			if claim, s := ask(table, later, table.Issuer().Ticket(later), Digest{}); claim == nil {
				t.Errorf("no room after the horizon: %+v", s)
			}
		})
	}
}

// TestNoRoomToClose: without room to close a ticket the answer is unknown,
// and the same ticket may still run.
func TestNoRoomToClose(t *testing.T) {
	table := newTable(Options{Horizon: horizon, Records: 1, Bytes: carobward.Megabyte})
	first, second := table.Issuer().Ticket(start), table.Issuer().Ticket(start)

	claim, _ := ask(table, start, first, Digest{})
	if v := claim.NotRun(start, false); v != carobward.NotRun {
		t.Errorf("with room the verdict is %s", v)
	}

	claim, _ = ask(table, start, second, Digest{})
	if v := claim.NotRun(start, false); v != carobward.Unknown {
		t.Errorf("without room the verdict is %s", v)
	}

	if claim, s := ask(table, start, second, Digest{}); claim == nil {
		t.Errorf("the ticket is not closed and does not start: %+v", s)
	}
}

func TestHandOver(t *testing.T) {
	table := newTable(limits)
	ran, lost, running, shut, never := table.Issuer().Ticket(start), table.Issuer().Ticket(start), table.Issuer().Ticket(start), table.Issuer().Ticket(start), table.Issuer().Ticket(start)

	c, _ := ask(table, start, ran, Digest{1})
	c.Ran(start, outcome("fee"))

	c, _ = ask(table, start, lost, Digest{1})
	c.Lost(start)

	c, _ = ask(table, start, shut, Digest{1})
	c.NotRun(start, false)

	c, _ = ask(table, start, running, Digest{1})

	table.Close()

	if claim, s := ask(table, start, never, Digest{1}); claim != nil || s.Verdict != carobward.NotRun {
		t.Errorf("a closed table: %+v", s)
	}

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	if err := table.Drain(ctx); err == nil {
		t.Error("drained with work still running")
	}

	now := start.Add(time.Minute)
	successor := NewSuccessor(NewIssuer(owner, Secret{1, 2, 3}, table.Issuer().Age(now), now), NewBudget(limits))

	if err := successor.Import(table.Export()); err != nil {
		t.Fatal(err)
	}

	if _, s := ask(successor, now, never, Digest{1}); s.Verdict != carobward.Unknown {
		t.Errorf("a successor that lacks a part: %+v", s)
	}

	successor.Complete()

	for name, test := range map[string]struct {
		ticket Ticket
		digest Digest
		want   said
	}{
		"ran":       {ran, Digest{1}, said{Body: "fee", Verdict: carobward.Ran}},
		"other":     {ran, Digest{2}, said{Status: 422, Cause: ErrContent}},
		"lost":      {lost, Digest{1}, said{Status: 410, Cause: ErrLost}},
		"running":   {running, Digest{1}, said{Status: 410, Cause: ErrLost}},
		"closed":    {shut, Digest{1}, said{Verdict: carobward.NotRun, Status: 409, Cause: ErrSpent}},
		"never ran": {never, Digest{1}, said{Verdict: carobward.NotRun, Status: 503, Cause: ErrClosed}},
	} {
		_, got := ask(successor, now, test.ticket, test.digest)
		if diff := cmp.Diff(test.want, got, cmp.Comparer(errors.Is)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}

	if _, s := ask(successor, start.Add(horizon), ran, Digest{1}); !errors.Is(s.Cause, ErrExpired) {
		t.Errorf("a successor counts the owner's time: %+v", s)
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
	call := &carobward.Call{Method: "POST", URI: "/fees", Body: make([]byte, 256)}
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
