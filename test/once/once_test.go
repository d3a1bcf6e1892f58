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

// begin starts a fee at an entry VM and returns once it runs on the server.
func (f *fleet) begin(at int, body, ticket string) <-chan reply {
	done := make(chan reply, 1)

	go func() { done <- f.send(at, body, ticket) }()

	<-f.server.started

	return done
}

// TestOwnerKilled kills the owner in mid work, with the store down. The retry
// at another entry VM, and at a replacement on the same address, is answered
// at once, and the fee has run once.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)
	f.KillPlatform(t)

	ticket := f.prefix(t) + ".1"
	release := f.server.holdBack(t)
	first := f.begin(0, "fee", ticket)

	f.at(0).Process.Signal(t, syscall.SIGKILL)

	if got := <-first; got.verdict != "none" {
		t.Errorf("the first try: %+v", got)
	}

	want := reply{verdict: "unknown", status: 503, retry: true, ticket: ticket}
	asked := func(when string, at int) {
		got := f.send(at, "fee", ticket)
		got.body = ""

		if diff := cmp.Diff(want, got, cmp.AllowUnexported(reply{})); diff != "" {
			t.Errorf("%s: %s", when, diff)
		}
	}

	asked("another entry VM", 1)
	release()
	asked("another entry VM, after the work", 2)
	asked("again", 1)

	if n := f.server.ran("fee"); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// TestOwnerReplaced replaces the killed owner on its addresses. It does not
// know the ticket and must not start its work.
func TestOwnerReplaced(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)

	ticket := f.prefix(t) + ".1"
	if got := f.send(0, "fee", ticket); got.verdict != "ran" {
		t.Fatalf("%+v", got)
	}

	f.replace(t, 0)
	f.InForce(t, 1, 2)

	for at := range 2 {
		if got := f.send(at, "fee", ticket); got.verdict != "unknown" || got.status != 503 || !got.retry {
			t.Errorf("vm-%d: %+v", at, got)
		}
	}

	if n := f.server.ran("fee"); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// TestOwnerFrozen stops the owner in mid work and lets it go on. While it is
// silent the retry is answered as unknown, afterwards with the outcome.
func TestOwnerFrozen(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)

	ticket := f.prefix(t) + ".1"
	release := f.server.holdBack(t)
	first := f.begin(0, "fee", ticket)

	f.at(0).Process.Signal(t, syscall.SIGSTOP)

	// The signal takes a moment to stop all threads; until then the owner
	// says that the work runs.
	cwtest.Wait(t, "an answer while the owner is silent", func() bool {
		got := f.send(1, "fee", ticket)
		if got.verdict != "unknown" || !got.retry {
			t.Errorf("while the owner is frozen: %+v", got)
		}

		return got.status == 503
	})

	f.at(0).Process.Signal(t, syscall.SIGCONT)
	cwtest.Wait(t, "the owner's word that the work runs", func() bool {
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
		t.Errorf("%d runs", n)
	}
}

// TestOwnerLeaves stops the owner gracefully, with the store down: what ran
// is replayed elsewhere, also what was in flight, and what was never sent is
// not-run.
func TestOwnerLeaves(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)
	f.KillPlatform(t)

	prefix := f.prefix(t)
	before := f.send(0, "before", prefix+".1")

	release := f.server.holdBack(t)
	during := f.begin(0, "during", prefix+".2")

	f.at(0).Process.Signal(t, syscall.SIGTERM)
	cwtest.Wait(t, "an owner that takes no connections", func() bool {
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
			t.Errorf("the first try: %+v", want)
		}

		body := want.body[len("charged "):]

		for _, at := range []int{1, 2} {
			cwtest.Wait(t, "an outcome that was handed over", func() bool { return f.send(at, body, ticket).verdict == "ran" })

			if diff := cmp.Diff(want, f.send(at, body, ticket), cmp.AllowUnexported(reply{})); diff != "" {
				t.Errorf("%s at vm-%d: %s", body, at, diff)
			}
		}

		if n := f.server.ran(body); n != 1 {
			t.Errorf("%s: %d runs", body, n)
		}
	}

	if got := f.send(1, "never", prefix+".3"); got.verdict != "not-run" || got.ticket == prefix+".3" {
		t.Errorf("a ticket that was never used: %+v", got)
	}
}

// TestCallersThroughKills charges fees with the callers' library while entry
// VMs are killed and replaced.
func TestCallersThroughKills(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)

	var lookup []carobward.Address
	for i := range 3 {
		lookup = append(lookup, carobward.Address(f.at(i).Lookup))
	}

	c := cwcaller.New(cwcaller.Options{Caller: "kiosk", Domain: "Ifrane", Lookup: lookup, Timeout: 5 * time.Second}, carobward.SystemClock{})
	told := map[string]int{}

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

		told[v.String()]++

		if ran := f.server.ran(body); ran > 1 || (v == carobward.Ran && ran != 1) || (v == carobward.NotRun && ran != 0) {
			t.Errorf("%s: %d runs, told %s", body, ran, v)
		}
	}

	t.Logf("told: %v", told)

	if told["ran"] < fees/2 {
		t.Errorf("too few ran: %v", told)
	}
}
