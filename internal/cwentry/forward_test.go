package cwentry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwtest"
)

func okReply() (*carobward.Reply, error) {
	return &carobward.Reply{Status: fasthttp.StatusOK, Body: []byte("whole")}, nil
}

func statusReply(code int) (*carobward.Reply, error) { return &carobward.Reply{Status: code}, nil }

// leastTime is the server choice policy of these tests.
var leastTime = cwroute.LeastTime{MaxPerSlot: 2}

// callerView is the part of a reply that tests compare.
type callerView struct {
	Status  int
	Verdict string
	Retry   bool
}

func get(fw *Forwarder, uri string) callerView {
	var ctx fasthttp.RequestCtx

	ctx.Request.SetRequestURI(uri)
	ctx.Request.Header.SetHost("localhost")
	fw.Handle(&ctx)

	h := &ctx.Response.Header

	return callerView{
		Status:  ctx.Response.StatusCode(),
		Verdict: string(h.Peek(carobward.HeaderVerdict)),
		Retry:   len(h.Peek(carobward.HeaderRetryMillis)) > 0,
	}
}

func failedCall(v carobward.Verdict) (*carobward.Reply, error) {
	return nil, carobward.NewFailure(v, fasthttp.StatusBadGateway, 0, errors.New("broken"))
}

func TestAttempts(t *testing.T) {
	type seen struct {
		Outcome callerView
		Calls   int64
	}

	firstThen := func(first, then func() (*carobward.Reply, error)) answerFunc {
		var n atomic.Int64

		return func(context.Context, *carobward.Call) (*carobward.Reply, error) {
			if n.Add(1) == 1 {
				return first()
			}

			return then()
		}
	}
	always := func(do func() (*carobward.Reply, error)) answerFunc {
		return func(context.Context, *carobward.Call) (*carobward.Reply, error) { return do() }
	}
	failUnknown := func() (*carobward.Reply, error) { return failedCall(carobward.Unknown) }
	failNotRun := func() (*carobward.Reply, error) { return failedCall(carobward.NotRun) }
	errorStatus := func() (*carobward.Reply, error) { return statusReply(fasthttp.StatusInternalServerError) }
	shed := func() (*carobward.Reply, error) { return &carobward.Reply{Status: 503, Shed: true}, nil }

	tests := map[string]struct {
		uri  string
		do   answerFunc
		want seen
	}{
		"lookup, good reply":                    {"/sheets", always(okReply), seen{callerView{200, "ran", false}, 1}},
		"lookup, failure, then good reply":      {"/sheets", firstThen(failUnknown, okReply), seen{callerView{200, "ran", false}, 2}},
		"lookup, error status, then good reply": {"/sheets", firstThen(errorStatus, okReply), seen{callerView{200, "ran", false}, 2}},
		"lookup, error statuses only":           {"/sheets", always(errorStatus), seen{callerView{500, "ran", false}, 3}},
		"lookup, failures only":                 {"/sheets", always(failUnknown), seen{callerView{502, "unknown", true}, 3}},
		"lookup, unknown, then not run":         {"/sheets", firstThen(failUnknown, failNotRun), seen{callerView{502, "unknown", true}, 3}},
		"lookup, shed by all servers":           {"/sheets", always(shed), seen{callerView{503, "not-run", true}, 3}},
		"fee, unknown, no retry":                {"/fees", firstThen(failUnknown, okReply), seen{callerView{502, "unknown", true}, 1}},
		"fee, not run, then good reply":         {"/fees", firstThen(failNotRun, okReply), seen{callerView{200, "ran", false}, 2}},
		"fee, shed, then good reply":            {"/fees", firstThen(shed, okReply), seen{callerView{200, "ran", false}, 2}},
		"fee, error status, no retry":           {"/fees", firstThen(errorStatus, okReply), seen{callerView{500, "ran", false}, 1}},
		"service without servers":               {"/none", always(okReply), seen{callerView{503, "not-run", true}, 0}},
		"fee, never run":                        {"/fees", always(failNotRun), seen{callerView{502, "not-run", true}, 3}},
		"fee, shed by all servers":              {"/fees", always(shed), seen{callerView{503, "not-run", true}, 3}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &fakeServers{answer: test.do, to: map[carobward.Address]int{}}
			got := seen{Outcome: get(newForwarderOf(5, 100, leastTime, l), test.uri)}
			got.Calls = l.count.Load()

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}

			for a, n := range l.to {
				if n > 1 {
					t.Errorf("%s received the request %d times", a, n)
				}
			}
		})
	}
}

// TestOutageIsNotAmplified checks that the number of extra calls stays within
// the retry budget when all calls fail.
func TestOutageIsNotAmplified(t *testing.T) {
	const requests = 2000

	l := &fakeServers{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
		return failedCall(carobward.Unknown)
	}}
	fw := newForwarderOf(10, 100, leastTime, l)

	for range requests {
		get(fw, "/sheets")
	}

	if extra := l.count.Load() - requests; extra > requests/20+10 {
		t.Errorf("%d extra calls for %d requests, over the retry budget", extra, requests)
	}
}

// TestHedge lets a call hang and checks that a second one is sent and answers,
// and that the first one is canceled. A request that must run at most once is
// not hedged.
func TestHedge(t *testing.T) {
	var (
		hang      atomic.Bool
		hedged    atomic.Int64
		fees      atomic.Int64
		cancelled atomic.Int64
		release   = make(chan struct{})
	)

	l := &fakeServers{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		switch c.URI {
		case "/fees":
			fees.Add(1)
		case "/sheets/hedged":
			hedged.Add(1)
		default:
			// A warm-up request, whose hedge may arrive late: it neither hangs
			// nor counts.
			return okReply()
		}

		if !hang.CompareAndSwap(true, false) {
			return okReply()
		}

		select {
		case <-ctx.Done():
			cancelled.Add(1)

			return failedCall(carobward.Unknown)
		case <-release:
			return okReply()
		case <-time.After(cwtest.MaxWait):
			return failedCall(carobward.Unknown)
		}
	}}
	fw := newForwarderOf(5, 100, leastTime, l)

	for range 200 {
		get(fw, "/sheets")
	}

	hang.Store(true)

	got := get(fw, "/sheets/hedged")
	if diff := cmp.Diff(callerView{200, "ran", false}, got); diff != "" {
		t.Error(diff)
	}

	cwtest.Wait(t, "the first call to be canceled", func() bool { return cancelled.Load() == 1 })

	if calls := hedged.Load(); calls != 2 {
		t.Errorf("%d calls for a hedged request, want 2", calls)
	}

	var group conc.WaitGroup

	hang.Store(true)

	group.Go(func() {
		if diff := cmp.Diff(callerView{200, "ran", false}, get(fw, "/fees")); diff != "" {
			t.Error(diff)
		}
	})
	cwtest.Wait(t, "the fee to reach a server", func() bool { return fees.Load() > 0 })

	for range 20 {
		get(fw, "/sheets")
	}

	close(release)
	group.Wait()

	if fees.Load() != 1 {
		t.Errorf("the fee was sent %d times, want once", fees.Load())
	}
}

// TestFloodLeavesRoomForFees floods the service with lookups that hang until
// their share is used up, and checks that a fee still succeeds once a call ends.
func TestFloodLeavesRoomForFees(t *testing.T) {
	release := make(chan struct{})
	l := &fakeServers{answer: func(_ context.Context, c *carobward.Call) (*carobward.Reply, error) {
		if c.URI == "/sheets" {
			<-release
		}

		return okReply()
	}}
	fw := newForwarderOf(2, 20, leastTime, l)

	var group conc.WaitGroup

	refused := atomic.Int64{}

	for range 100 {
		group.Go(func() {
			if got := get(fw, "/sheets"); got.Status == fasthttp.StatusServiceUnavailable && got.Verdict == "not-run" && got.Retry {
				refused.Add(1)
			}
		})
	}

	cwtest.Wait(t, "the flood to be refused", func() bool { return refused.Load() >= 80 })

	done := make(chan callerView, 1)

	group.Go(func() { done <- get(fw, "/fees") })
	cwtest.Wait(t, "the fee to be in flight", func() bool { return fw.Running() >= 2 })
	close(release)

	if diff := cmp.Diff(callerView{200, "ran", false}, <-done); diff != "" {
		t.Error(diff)
	}

	group.Wait()
}
