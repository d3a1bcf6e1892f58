package cwowner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/lab/cwfee"
)

const (
	patience = cwtest.MaxWait
	errTest  = errors.ConstError("test")
)

// said is what a caller is told, as a test compares it.
type said struct {
	Verdict carobward.Verdict
	Status  int
	Retry   bool
	Same    bool
}

// fleet is a fleet that stops when its test ends.
type fleet struct{ *cwfee.Fleet }

func newFleet(t testing.TB, size int, o cwfee.Options) fleet {
	f, err := cwfee.New(size, o)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})

	return fleet{f}
}

func (f fleet) owner(i int) *cwowner.Owner { return f.At(i).Owner }

// failureOf returns the failure that an error is.
func failureOf(t testing.TB, err error) *carobward.Failure {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		t.Fatalf("no failure: %v", err)
	}

	return f
}

func (f fleet) ask(t testing.TB, i int, body, ticket string) (said, string) {
	o, next, err := f.Send(i, body, ticket, patience)
	if err == nil {
		return said{Verdict: carobward.Ran, Status: o.Reply.Status, Same: next == ticket}, next
	}

	x := failureOf(t, err)

	return said{Verdict: x.Verdict, Status: x.Status, Retry: x.RetryAfter > 0, Same: next == ticket}, next
}

// TestRetryElsewhere charges a fee at its owner, the first entry VM, lets
// something happen, and asks the second one.
func TestRetryElsewhere(t *testing.T) {
	ran := said{Verdict: carobward.Ran, Status: 1, Same: true}
	gone := said{Verdict: carobward.Unknown, Status: 503, Retry: true, Same: true}

	leave := func(t *testing.T, f fleet) {
		if err := f.owner(0).HandOver(context.Background()); err != nil {
			t.Fatal(err)
		}

		f.Replace(0)
		cwtest.Wait(t, "an entry VM that knows who stands in", func() bool {
			f.TickAll()

			return f.owner(1).Knows("vm-0")
		})
	}

	for name, test := range map[string]struct {
		then   func(t *testing.T, f fleet)
		body   string
		unused bool
		want   said
	}{
		"nothing":       {want: ran},
		"other content": {body: "another fee", want: said{Status: 422, Same: true}},
		"owner killed and replaced": {
			then: func(_ *testing.T, f fleet) { f.Replace(0) }, want: gone,
		},
		"owner frozen": {
			then: func(t *testing.T, f fleet) { t.Cleanup(f.At(0).Freeze()) }, want: gone,
		},
		"owner frozen and resumed": {
			then: func(_ *testing.T, f fleet) { f.At(0).Freeze()() }, want: ran,
		},
		"message lost": {
			then: func(_ *testing.T, f fleet) { f.Message = func() cwfee.Fault { return cwfee.LostCall } }, want: gone,
		},
		"owner left": {
			then: leave, want: ran,
		},
		"owner left, ticket not used": {
			then:   leave,
			unused: true, want: said{Verdict: carobward.NotRun, Status: 503, Retry: true},
		},
		"owner closed, ticket not used": {
			then:   func(_ *testing.T, f fleet) { f.owner(0).Close() },
			unused: true, want: said{Verdict: carobward.NotRun, Status: 503, Retry: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, cwfee.Quick())

			ticket := f.owner(0).Prefix() + ".1"

			if !test.unused {
				if diff := cmp.Diff(ran, first(f.ask(t, 0, "fee", ticket))); diff != "" {
					t.Fatal(diff)
				}
			}

			if test.then != nil {
				test.then(t, f)
			}

			body := "fee"
			if test.body != "" {
				body = test.body
			}

			got, next := f.ask(t, 1, body, ticket)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}

			if got.Verdict != carobward.NotRun {
				return
			}

			if got, _ := f.ask(t, 1, body, next); got.Verdict != carobward.Ran {
				t.Errorf("the new ticket: %+v", got)
			}
		})
	}
}

func first(s said, _ string) said { return s }

// TestRunningWork asks again while the work runs: the answer comes at once
// and says when to come back, and then the outcome is there, though the
// caller who started it has left.
func TestRunningWork(t *testing.T) {
	for name, at := range map[string]int{"at the owner": 0, "elsewhere": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, cwfee.Quick())

			started, release := make(chan struct{}), make(chan struct{})
			f.Ran = func(string, string, int) { close(started); <-release }

			ticket := f.owner(0).Prefix() + ".1"
			left := make(chan said)

			go func() {
				_, _, err := f.Send(at, "fee", ticket, time.Millisecond)
				left <- said{Verdict: carobward.VerdictOf(err)}
			}()

			<-started
			<-left

			want := said{Verdict: carobward.Unknown, Status: 409, Retry: true, Same: true}
			for i := range 2 {
				if diff := cmp.Diff(want, first(f.ask(t, i, "fee", ticket))); diff != "" {
					t.Errorf("asked at %d: %s", i, diff)
				}
			}

			close(release)
			cwtest.Wait(t, "the outcome", func() bool { return first(f.ask(t, 1, "fee", ticket)).Verdict == carobward.Ran })

			if n := f.Runs("fee"); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// TestPanicLeavesUnknown: the work panics between its start and the record of
// its outcome.
func TestPanicLeavesUnknown(t *testing.T) {
	f := newFleet(t, 1, cwfee.Quick())

	o := f.owner(0)
	ticket := o.Prefix() + ".1"
	c := &carobward.Call{Method: "POST", Deadline: time.Now().Add(time.Hour)}

	func() {
		defer func() { _ = recover() }()

		_, _, _ = o.Do(context.Background(), ticket, "", c, func(context.Context) (*cwticket.Outcome, error) { panic("test") })
	}()

	_, _, err := o.Do(context.Background(), ticket, "", c, func(context.Context) (*cwticket.Outcome, error) {
		t.Error("the work runs again")

		return nil, errTest
	})
	if f := failureOf(t, err); f.Verdict != carobward.Unknown || f.Status != 410 {
		t.Errorf("got %v, status %d", f, f.Status)
	}
}

// TestNoTicket: a request without one gets one with every reply, with which
// it may be sent again.
func TestNoTicket(t *testing.T) {
	for name, test := range map[string]struct {
		fault cwfee.Fault
		want  carobward.Verdict
		again carobward.Verdict
	}{
		"ran":     {cwfee.Fine, carobward.Ran, carobward.Ran},
		"not run": {cwfee.Shed, carobward.NotRun, carobward.Ran},
		"unknown": {cwfee.LostReply, carobward.Unknown, carobward.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, cwfee.Quick())

			f.Request = func(string, int) cwfee.Fault { return test.fault }

			got, next := f.ask(t, 0, "fee", "")
			if got.Verdict != test.want || next == "" {
				t.Errorf("got %+v, ticket %q", got, next)
			}

			f.Request = func(string, int) cwfee.Fault { return cwfee.Fine }

			if got, _ := f.ask(t, 1, "fee", next); got.Verdict != test.again {
				t.Errorf("again: %+v", got)
			}

			if n := f.Runs("fee"); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// TestRefuse: an entry VM that is too busy may say not-run of a ticket only if
// it owns it and nothing was started.
func TestRefuse(t *testing.T) {
	f := newFleet(t, 2, cwfee.Quick())

	used, unused := f.owner(0).Prefix()+".1", f.owner(0).Prefix()+".1"
	f.ask(t, 0, "fee", used)

	for name, test := range map[string]struct {
		at     int
		ticket string
		want   carobward.Verdict
	}{
		"no ticket":          {1, "", carobward.NotRun},
		"another's ticket":   {1, unused, carobward.Unknown},
		"a malformed ticket": {1, "x", carobward.Unknown},
		"its own, ran":       {0, used, carobward.Unknown},
		"its own, unused":    {0, unused, carobward.NotRun},
	} {
		busy := carobward.NewFailure(carobward.NotRun, 503, time.Second, errTest)
		if _, err := f.owner(test.at).Refuse(test.ticket, busy); carobward.VerdictOf(err) != test.want {
			t.Errorf("%s: got %v, want %s", name, err, test.want)
		}
	}

	if got, _ := f.ask(t, 0, "other", unused); got.Verdict != carobward.NotRun {
		t.Errorf("a ticket that was refused as not-run: %+v", got)
	}
}

// TestOutcomesOutliveManyLeaves passes outcomes from one leaving entry VM to
// the next, and to newcomers that have heard nothing.
func TestOutcomesOutliveManyLeaves(t *testing.T) {
	f := newFleet(t, 3, cwfee.Quick())

	var tickets []string

	for n := range 40 {
		ticket := f.owner(0).Prefix() + ".1"
		if got, _ := f.ask(t, 0, fmt.Sprint(n), ticket); got.Verdict != carobward.Ran {
			t.Fatalf("%+v", got)
		}

		tickets = append(tickets, ticket)
	}

	for i := range 6 {
		if err := f.owner(i % 3).HandOver(context.Background()); err != nil {
			t.Fatal(err)
		}

		f.Replace(i % 3)
	}

	for n, ticket := range tickets {
		for i := range 3 {
			cwtest.Wait(t, "the outcome", func() bool {
				f.TickAll()

				got, _ := f.ask(t, i, fmt.Sprint(n), ticket)

				return got.Verdict == carobward.Ran && got.Status == n+1
			})
		}
	}
}

// TestOwnerReplacedInMidWork: the replacement knows nothing of a request that
// was passed to the earlier run, and must not speak for it.
func TestOwnerReplacedInMidWork(t *testing.T) {
	f := newFleet(t, 2, cwfee.Quick())

	started, release := make(chan struct{}), make(chan struct{})
	f.Ran = func(string, string, int) { close(started); <-release }

	ticket := f.owner(0).Prefix() + ".1"
	failed := make(chan error, 1)

	go func() {
		_, _, err := f.Send(1, "fee", ticket, patience)
		failed <- err
	}()

	<-started
	f.Replace(0)

	if got := failureOf(t, <-failed); got.Verdict != carobward.Unknown || got.Attempt != carobward.Unknown {
		t.Errorf("got %s, this request %s", got.Verdict, got.Attempt)
	}

	close(release)
}

// TestCallerGoneIsNotSilence: a request that ends before its time says nothing
// of the owner that it was passed to.
func TestCallerGoneIsNotSilence(t *testing.T) {
	f := newFleet(t, 2, cwfee.Quick())

	ticket := f.owner(0).Prefix() + ".1"
	thaw := f.At(0).Freeze()

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	c := &carobward.Call{Method: "POST", URI: "/fees", Body: []byte("fee"), Deadline: time.Now().Add(time.Hour)}
	if _, _, err := f.owner(1).Do(ctx, ticket, "", c, nil); carobward.VerdictOf(err) != carobward.Unknown {
		t.Errorf("got %v", err)
	}

	pace := cwfee.Quick().Pace
	pace.Quiet = time.Hour
	f.owner(1).SetPace(pace)
	thaw()

	if got, _ := f.ask(t, 1, "fee", ticket); got.Status == 503 {
		t.Errorf("the owner is taken for silent: %+v", got)
	}
}
