package once

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/pkg/cwcaller"
)

// startFee charges a fee through an entry VM and returns once the fee runs on the server.
func (f *fleet) startFee(at int, body, ticket string) <-chan reply {
	done := make(chan reply, 1)

	go func() { done <- f.send(at, body, ticket) }()

	<-f.server.started

	return done
}

// TestOwnerKilled kills the ticket's owner during the work, while the store is down.
// Retries at other entry VMs must be answered as unknown, and the fee must run once.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)
	f.KillPlatform(t)

	ticket := f.prefix(t) + ".1"
	release := f.server.holdBack(t)
	first := f.startFee(0, "fee", ticket)

	f.at(0).Process.Signal(t, syscall.SIGKILL)

	if got := <-first; got.verdict != "none" {
		t.Errorf("first attempt: %+v", got)
	}

	want := reply{verdict: "unknown", status: 503, retry: true, ticket: ticket}
	checkUnknown := func(when string, at int) {
		got := f.send(at, "fee", ticket)
		got.body = ""

		if diff := cmp.Diff(want, got, cmp.AllowUnexported(reply{})); diff != "" {
			t.Errorf("%s: %s", when, diff)
		}
	}

	checkUnknown("another entry VM", 1)
	release()
	checkUnknown("another entry VM, after the work", 2)
	checkUnknown("the first of them again", 1)

	if n := f.server.ran("fee"); n != 1 {
		t.Errorf("the fee ran %d times", n)
	}
}

// TestOwnerReplaced kills the ticket's owner and starts another entry VM on its addresses.
// The new process does not know the ticket and must not start the work again.
func TestOwnerReplaced(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)

	ticket := f.prefix(t) + ".1"
	if got := f.send(0, "fee", ticket); got.verdict != "ran" {
		t.Fatalf("first attempt: %+v", got)
	}

	f.replace(t, 0)
	f.WaitRevision(t, 1, 2)

	for at := range 2 {
		if got := f.send(at, "fee", ticket); got.verdict != "unknown" || got.status != 503 || !got.retry {
			t.Errorf("vm-%d: %+v", at, got)
		}
	}

	if n := f.server.ran("fee"); n != 1 {
		t.Errorf("the fee ran %d times", n)
	}
}

// TestOwnerFrozen pauses the ticket's owner by SIGSTOP during the work and resumes it. Retries
// must be answered as unknown while the owner is paused, and with the outcome afterwards.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)

	ticket := f.prefix(t) + ".1"
	release := f.server.holdBack(t)
	first := f.startFee(0, "fee", ticket)

	f.at(0).Process.Signal(t, syscall.SIGSTOP)

	// SIGSTOP takes a moment to stop all threads. Until then the owner reports that
	// the work is running.
	cwtest.Wait(t, "a reply while the owner is frozen", func() bool {
		got := f.send(1, "fee", ticket)
		if got.verdict != "unknown" || !got.retry {
			t.Errorf("while the owner is frozen: %+v", got)
		}

		return got.status == 503
	})

	f.at(0).Process.Signal(t, syscall.SIGCONT)
	cwtest.Wait(t, "the owner reports that the work is running", func() bool {
		got := f.send(1, "fee", ticket)

		return got.verdict == "unknown" && got.status == 409 && got.retry
	})
	release()

	for name, got := range map[string]reply{"first": <-first, "retry": f.send(1, "fee", ticket)} {
		if got.verdict != "ran" || got.body != "charged fee" {
			t.Errorf("%s: %+v", name, got)
		}
	}

	if n := f.server.ran("fee"); n != 1 {
		t.Errorf("the fee ran %d times", n)
	}
}

// TestOwnerLeaves stops the ticket's owner gracefully while the store is down. The other
// entry VMs must replay the outcomes of completed requests and of the one in flight, and
// answer a ticket that was never used as not-run.
func TestOwnerLeaves(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)
	f.KillPlatform(t)

	prefix := f.prefix(t)
	before := f.send(0, "before", prefix+".1")

	release := f.server.holdBack(t)
	during := f.startFee(0, "during", prefix+".2")

	f.at(0).Process.Signal(t, syscall.SIGTERM)
	cwtest.Wait(t, "the owner accepts no connections", func() bool {
		c, err := net.Dial("tcp", f.at(0).Callers)
		if err == nil {
			_ = c.Close()
		}

		return err != nil
	})
	release()

	if err := f.at(0).Process.Wait(t); err != nil {
		t.Errorf("graceful stop: %v", err)
	}

	want := map[string]reply{prefix + ".1": before, prefix + ".2": <-during}

	for ticket, want := range want {
		if want.verdict != "ran" {
			t.Errorf("first attempt: %+v", want)
		}

		body := want.body[len("charged "):]

		for _, at := range []int{1, 2} {
			cwtest.Wait(t, "the outcome was handed over", func() bool { return f.send(at, body, ticket).verdict == "ran" })

			if diff := cmp.Diff(want, f.send(at, body, ticket), cmp.AllowUnexported(reply{})); diff != "" {
				t.Errorf("%s at vm-%d: %s", body, at, diff)
			}
		}

		if n := f.server.ran(body); n != 1 {
			t.Errorf("%s: ran %d times", body, n)
		}
	}

	if got := f.send(1, "never", prefix+".3"); got.verdict != "not-run" || got.ticket == prefix+".3" {
		t.Errorf("unused ticket: %+v", got)
	}
}

// TestCallersDuringKills charges fees with the caller library while entry VMs are killed
// and replaced. No fee may run twice, and each verdict must fit the number of runs.
func TestCallersDuringKills(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)

	var lookup []carobward.Address
	for i := range 3 {
		lookup = append(lookup, carobward.Address(f.at(i).Lookup))
	}

	c := cwcaller.New(cwcaller.Options{Caller: "kiosk", Domain: "Ifrane", Lookup: lookup, Timeout: 5 * time.Second}, carobward.SystemClock{})
	verdicts := map[string]int{}

	const fees = 90
	for n := range fees {
		if n%30 == 15 {
			f.replace(t, n/30)
		}

		body := "fee " + time.Duration(n).String()
		_, err := c.Do(context.Background(), &cwcaller.Request{Method: "POST", URI: "/fees", Body: []byte(body), Once: true})

		v := carobward.Ran
		if err != nil {
			v = carobward.VerdictOf(err)
		}

		verdicts[v.String()]++

		if ran := f.server.ran(body); ran > 1 || (v == carobward.Ran && ran != 1) || (v == carobward.NotRun && ran != 0) {
			t.Errorf("%s: ran %d times, verdict %s", body, ran, v)
		}
	}

	t.Logf("verdicts: %v", verdicts)

	if verdicts["ran"] < fees/2 {
		t.Errorf("too few fees ran: %v", verdicts)
	}
}
