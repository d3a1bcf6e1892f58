package cwfront

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwrelay"
	"carobward.example/carobward/internal/cwroutes"
	"carobward.example/carobward/internal/cwstop"
)

// plainCallers is a CallerDialect without fields of its own.
type plainCallers struct{ carobward.CallerDialect }

func (plainCallers) Strips(string, bool) bool { return false }

// TestRelayedAnswerAtLimit guards against an entry VM that answers 504 in place of the server: it
// waited no longer for a request that was passed on than the server was allowed to work.
func TestRelayedAnswerAtLimit(t *testing.T) {
	const grace, callerWait = 6 * time.Second, 2 * time.Second

	now := time.Unix(1_000_000, 0)
	deadline := now.Add(callerWait)

	for name, c := range map[string]struct {
		// signal is when the entry VM that passes the request on got its signal, if it stops.
		signal time.Time
		stops  bool
		// limit is how long the server may work.
		limit time.Duration
	}{
		"no stop":                         {time.Time{}, false, callerWait},
		"a stop that has just begun":      {now, true, callerWait},
		"a stop whose work ends in 20 ms": {now.Add(20*time.Millisecond - grace*9/10), true, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f, r := newCheckFront(t, "127.0.0.1:9")
			r.id, r.deadline, r.schedule = "one", deadline, cwqueue.Schedule{Due: deadline}

			if c.stops {
				p := cwstop.New(c.signal, grace)
				f.plan.Store(&p)
			}

			sent := r.relayRequest(now)
			sent.VM = "vm-1"

			in, err := cwrelay.DecodeRequest(sent.Encode())
			if err != nil {
				t.Fatal(err)
			}

			taking, _ := newCheckFront(t, "127.0.0.1:9")
			taking.Dialect = plainCallers{}
			taking.SetRoutes(cwroutes.New(&carobward.Routing{Hosts: map[string][]carobward.Route{
				"club": {{Name: "sheets", Prefix: "/sheets/", Shares: []carobward.Share{{Service: "records", Weight: 1}}}},
			}}))

			var ctx fasthttp.RequestCtx

			ctx.Request.Header.SetHost("club")
			ctx.Request.SetRequestURI("/sheets/")

			got := taking.newRelayed(&ctx, in, newBody(nil), now)
			if got.err != nil {
				t.Fatal(got.err)
			}

			if diff := cmp.Diff([]time.Duration{c.limit, callerWait}, []time.Duration{got.workLimit().Sub(now), got.call.Deadline.Sub(now)}); diff != "" {
				t.Errorf("how long the server may work, and how long its answer is awaited: %s", diff)
			}
		})
	}
}

// fixedClock is a clock that stands still.
type fixedClock time.Time

func (c fixedClock) Now() time.Time { return time.Time(c) }

// TestPassedTooLate guards against a request that a stopping entry VM passes on although its answer can't
// be back in time: where the search for the other one was slow, so is the way of the answer.
func TestPassedTooLate(t *testing.T) {
	const grace, usual = 6 * time.Second, 10 * time.Millisecond

	now := time.Unix(1_000_000, 0)

	for name, c := range map[string]struct {
		left, searched time.Duration
		want           bool
	}{
		"a quick search": {25 * time.Millisecond, time.Millisecond, false},
		"a slow search":  {25 * time.Millisecond, 30 * time.Millisecond, true},
		"time enough":    {time.Second, 30 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, r := newCheckFront(t, "127.0.0.1:9")
			f.Clock = fixedClock(now)
			r.deadline, r.route.Objective = now.Add(2*time.Second), 2*usual

			if got := r.usualTime(); got > usual {
				t.Fatalf("usual time %s", got)
			}

			p := cwstop.New(now.Add(c.left-grace*9/10), grace)
			f.plan.Store(&p)

			if got := r.passedTooLate(c.searched); got != c.want {
				t.Errorf("too late: %v", got)
			}
		})
	}
}
