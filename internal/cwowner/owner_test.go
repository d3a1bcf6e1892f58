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
	"carobward.example/carobward/internal/lab/cwonce"
)

const (
	requestTimeout = cwtest.MaxWait
	errTest        = errors.ConstError("test")
)

// response is what a caller receives, in a form that tests compare.
type response struct {
	Verdict       carobward.Verdict
	Status        int
	HasRetryAfter bool
	SameTicket    bool
}

// fleet is a cwonce.Fleet that is stopped at the end of the test.
type fleet struct{ *cwonce.Fleet }

func newFleet(t testing.TB, size int, o cwonce.Options) fleet {
	f, err := cwonce.New(size, o)
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

// failureOf returns the Failure in err, or fails the test.
func failureOf(t testing.TB, err error) *carobward.Failure {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		t.Fatalf("not a Failure: %v", err)
	}

	return f
}

func (f fleet) send(t testing.TB, i int, body, ticket string) (response, string) {
	o, next, err := f.Send(i, body, ticket, requestTimeout)
	if err == nil {
		return response{Verdict: carobward.Ran, Status: o.Reply.Status, SameTicket: next == ticket}, next
	}

	x := failureOf(t, err)

	return response{Verdict: x.Verdict, Status: x.Status, HasRetryAfter: x.RetryAfter > 0, SameTicket: next == ticket}, next
}

// TestRetryAtOtherVM sends a request to the owner of its ticket, the first entry
// VM, causes an event, and retries at the second entry VM.
func TestRetryAtOtherVM(t *testing.T) {
	ran := response{Verdict: carobward.Ran, Status: 1, SameTicket: true}
	unavailable := response{Verdict: carobward.Unknown, Status: 503, HasRetryAfter: true, SameTicket: true}

	leave := func(t *testing.T, f fleet) {
		if err := f.owner(0).HandOver(context.Background()); err != nil {
			t.Fatal(err)
		}

		f.Replace(0)
		cwtest.Wait(t, "the other entry VM to know the successor", func() bool {
			f.TickAll()

			return f.owner(1).KnowsSuccessor("vm-0")
		})
	}

	for name, test := range map[string]struct {
		event  func(t *testing.T, f fleet)
		body   string
		unused bool
		want   response
	}{
		"no event":      {want: ran},
		"other content": {body: "another fee", want: response{Status: 422, SameTicket: true}},
		"owner crashed and replaced": {
			event: func(_ *testing.T, f fleet) { f.Replace(0) }, want: unavailable,
		},
		"owner paused": {
			event: func(t *testing.T, f fleet) { t.Cleanup(f.At(0).Pause()) }, want: unavailable,
		},
		"owner paused and resumed": {
			event: func(_ *testing.T, f fleet) { f.At(0).Pause()() }, want: ran,
		},
		"message lost": {
			event: func(_ *testing.T, f fleet) { f.Message = func() cwonce.Fault { return cwonce.LostCall } }, want: unavailable,
		},
		"owner left": {
			event: leave, want: ran,
		},
		"owner left, ticket not used": {
			event:  leave,
			unused: true, want: response{Verdict: carobward.NotRun, Status: 503, HasRetryAfter: true},
		},
		"owner closed, ticket not used": {
			event:  func(_ *testing.T, f fleet) { f.owner(0).Close() },
			unused: true, want: response{Verdict: carobward.NotRun, Status: 503, HasRetryAfter: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, cwonce.FastOptions())

			ticket := f.owner(0).Prefix() + ".1"

			if !test.unused {
				if diff := cmp.Diff(ran, responseOf(f.send(t, 0, "fee", ticket))); diff != "" {
					t.Fatal(diff)
				}
			}

			if test.event != nil {
				test.event(t, f)
			}

			body := "fee"
			if test.body != "" {
				body = test.body
			}

			got, next := f.send(t, 1, body, ticket)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}

			if got.Verdict != carobward.NotRun {
				return
			}

			if got, _ := f.send(t, 1, body, next); got.Verdict != carobward.Ran {
				t.Errorf("with the new ticket: got %+v, want the verdict ran", got)
			}
		})
	}
}

func responseOf(r response, _ string) response { return r }

// TestRunningWork retries while the work runs: the reply comes at once, with a
// time to retry after. Later the outcome is available, although the caller who
// started the work has timed out.
func TestRunningWork(t *testing.T) {
	for name, at := range map[string]int{"at the owner": 0, "at another VM": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, cwonce.FastOptions())

			started, release := make(chan struct{}), make(chan struct{})
			f.Ran = func(string, string, int) { close(started); <-release }

			ticket := f.owner(0).Prefix() + ".1"
			timedOut := make(chan response)

			go func() {
				_, _, err := f.Send(at, "fee", ticket, time.Millisecond)
				timedOut <- response{Verdict: carobward.VerdictOf(err)}
			}()

			<-started
			<-timedOut

			want := response{Verdict: carobward.Unknown, Status: 409, HasRetryAfter: true, SameTicket: true}
			for i := range 2 {
				if diff := cmp.Diff(want, responseOf(f.send(t, i, "fee", ticket))); diff != "" {
					t.Errorf("sent to VM %d: %s", i, diff)
				}
			}

			close(release)
			cwtest.Wait(t, "the outcome", func() bool { return responseOf(f.send(t, 1, "fee", ticket)).Verdict == carobward.Ran })

			if n := f.Runs("fee"); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
		})
	}
}

// TestPanicLeavesUnknown checks the verdict after the work panicked before its
// outcome was recorded.
func TestPanicLeavesUnknown(t *testing.T) {
	f := newFleet(t, 1, cwonce.FastOptions())

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
		t.Errorf("got %v, status %d, want the verdict unknown and status 410", f, f.Status)
	}
}

// TestNoTicket checks that a request without a ticket gets one with every reply,
// which makes it safe to retry.
func TestNoTicket(t *testing.T) {
	for name, test := range map[string]struct {
		fault cwonce.Fault
		want  carobward.Verdict
		retry carobward.Verdict
	}{
		"ran":     {cwonce.NoFault, carobward.Ran, carobward.Ran},
		"not run": {cwonce.Shed, carobward.NotRun, carobward.Ran},
		"unknown": {cwonce.LostReply, carobward.Unknown, carobward.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, cwonce.FastOptions())

			f.Request = func(string, int) cwonce.Fault { return test.fault }

			got, next := f.send(t, 0, "fee", "")
			if got.Verdict != test.want || next == "" {
				t.Errorf("got %+v, ticket %q", got, next)
			}

			f.Request = func(string, int) cwonce.Fault { return cwonce.NoFault }

			if got, _ := f.send(t, 1, "fee", next); got.Verdict != test.retry {
				t.Errorf("retry: %+v", got)
			}

			if n := f.Runs("fee"); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
		})
	}
}

// TestRefuse checks that an entry VM that rejects a request because of overload
// reports not-run only if it owns the ticket and started no work with it.
func TestRefuse(t *testing.T) {
	f := newFleet(t, 2, cwonce.FastOptions())

	used, unused := f.owner(0).Prefix()+".1", f.owner(0).Prefix()+".1"
	f.send(t, 0, "fee", used)

	for name, test := range map[string]struct {
		at     int
		ticket string
		want   carobward.Verdict
	}{
		"no ticket":            {1, "", carobward.NotRun},
		"ticket of another VM": {1, unused, carobward.Unknown},
		"malformed ticket":     {1, "x", carobward.Unknown},
		"own ticket, ran":      {0, used, carobward.Unknown},
		"own ticket, unused":   {0, unused, carobward.NotRun},
	} {
		busy := carobward.NewFailure(carobward.NotRun, 503, time.Second, errTest)
		if _, err := f.owner(test.at).Refuse(test.ticket, busy); carobward.VerdictOf(err) != test.want {
			t.Errorf("%s: got %v, want %s", name, err, test.want)
		}
	}

	if got, _ := f.send(t, 0, "other", unused); got.Verdict != carobward.NotRun {
		t.Errorf("with a ticket that was refused as not-run: %+v", got)
	}
}

// TestOutcomesSurviveHandovers hands outcomes over from one leaving entry VM to
// the next. New entry VMs, which no announcement has reached yet, must find
// them too.
func TestOutcomesSurviveHandovers(t *testing.T) {
	f := newFleet(t, 3, cwonce.FastOptions())

	var tickets []string

	for n := range 40 {
		ticket := f.owner(0).Prefix() + ".1"
		if got, _ := f.send(t, 0, fmt.Sprint(n), ticket); got.Verdict != carobward.Ran {
			t.Fatalf("first request: got %+v, want the verdict ran", got)
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

				got, _ := f.send(t, i, fmt.Sprint(n), ticket)

				return got.Verdict == carobward.Ran && got.Status == n+1
			})
		}
	}
}

// TestOwnerReplacedDuringWork replaces an owner while it runs a forwarded request.
// The new run knows nothing of that request, so its reply must not set the
// verdict.
func TestOwnerReplacedDuringWork(t *testing.T) {
	f := newFleet(t, 2, cwonce.FastOptions())

	started, release := make(chan struct{}), make(chan struct{})
	f.Ran = func(string, string, int) { close(started); <-release }

	ticket := f.owner(0).Prefix() + ".1"
	failed := make(chan error, 1)

	go func() {
		_, _, err := f.Send(1, "fee", ticket, requestTimeout)
		failed <- err
	}()

	<-started
	f.Replace(0)

	if got := failureOf(t, <-failed); got.Verdict != carobward.Unknown || got.Attempt != carobward.Unknown {
		t.Errorf("got verdict %s, and %s for this attempt; want unknown for both", got.Verdict, got.Attempt)
	}

	close(release)
}

// TestCanceledRequestIsNoTimeout checks that a request that is canceled early does
// not mark the owner that it was forwarded to as unresponsive.
func TestCanceledRequestIsNoTimeout(t *testing.T) {
	f := newFleet(t, 2, cwonce.FastOptions())

	ticket := f.owner(0).Prefix() + ".1"
	resume := f.At(0).Pause()

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	c := &carobward.Call{Method: "POST", URI: "/fees", Body: carobward.BodyOf([]byte("fee")), Deadline: time.Now().Add(time.Hour)}
	if _, _, err := f.owner(1).Do(ctx, ticket, "", c, nil); carobward.VerdictOf(err) != carobward.Unknown {
		t.Errorf("canceled request: got %v, want the verdict unknown", err)
	}

	params := cwonce.FastOptions().Params
	params.Backoff = time.Hour
	f.owner(1).SetParams(params)
	resume()

	if got, _ := f.send(t, 1, "fee", ticket); got.Status == 503 {
		t.Errorf("the owner counts as unresponsive: %+v", got)
	}
}
