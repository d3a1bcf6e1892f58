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

func good() (*carobward.Reply, error) {
	return &carobward.Reply{Status: fasthttp.StatusOK, Body: []byte("whole")}, nil
}

func status(code int) (*carobward.Reply, error) { return &carobward.Reply{Status: code}, nil }

// wait is the policy of these tests.
var wait = cwroute.Wait{Queue: 2}

// heard is what a caller sees.
type heard struct {
	Status  int
	Verdict string
	Retry   bool
}

func get(c *Carrier, uri string) heard {
	var ctx fasthttp.RequestCtx

	ctx.Request.SetRequestURI(uri)
	ctx.Request.Header.SetHost("localhost")
	c.Handle(&ctx)

	h := &ctx.Response.Header

	return heard{
		Status:  ctx.Response.StatusCode(),
		Verdict: string(h.Peek(carobward.HeaderVerdict)),
		Retry:   len(h.Peek(carobward.HeaderRetryMillis)) > 0,
	}
}

func failed(v carobward.Verdict) (*carobward.Reply, error) {
	return nil, carobward.NewFailure(v, fasthttp.StatusBadGateway, 0, errors.New("broken"))
}

func TestCarry(t *testing.T) {
	type seen struct {
		Outcome heard
		Calls   int64
	}

	firstThen := func(first, then func() (*carobward.Reply, error)) serving {
		var n atomic.Int64

		return func(context.Context, *carobward.Call) (*carobward.Reply, error) {
			if n.Add(1) == 1 {
				return first()
			}

			return then()
		}
	}
	always := func(do func() (*carobward.Reply, error)) serving {
		return func(context.Context, *carobward.Call) (*carobward.Reply, error) { return do() }
	}
	unknown := func() (*carobward.Reply, error) { return failed(carobward.Unknown) }
	notRun := func() (*carobward.Reply, error) { return failed(carobward.NotRun) }
	broken := func() (*carobward.Reply, error) { return status(fasthttp.StatusInternalServerError) }
	shed := func() (*carobward.Reply, error) { return &carobward.Reply{Status: 503, Shed: true}, nil }

	tests := map[string]struct {
		uri  string
		do   serving
		want seen
	}{
		"good":                        {"/sheets", always(good), seen{heard{200, "ran", false}, 1}},
		"a lookup is sent again":      {"/sheets", firstThen(unknown, good), seen{heard{200, "ran", false}, 2}},
		"also after an error status":  {"/sheets", firstThen(broken, good), seen{heard{200, "ran", false}, 2}},
		"error statuses only":         {"/sheets", always(broken), seen{heard{500, "ran", false}, 3}},
		"failures only":               {"/sheets", always(unknown), seen{heard{502, "unknown", true}, 3}},
		"unknown, then not run":       {"/sheets", firstThen(unknown, notRun), seen{heard{502, "unknown", true}, 3}},
		"refusals only":               {"/sheets", always(shed), seen{heard{503, "not-run", true}, 3}},
		"a fee is not sent again":     {"/fees", firstThen(unknown, good), seen{heard{502, "unknown", true}, 1}},
		"unless it was not run":       {"/fees", firstThen(notRun, good), seen{heard{200, "ran", false}, 2}},
		"or the server refused it":    {"/fees", firstThen(shed, good), seen{heard{200, "ran", false}, 2}},
		"nor after an error status":   {"/fees", firstThen(broken, good), seen{heard{500, "ran", false}, 1}},
		"a service without servers":   {"/none", always(good), seen{heard{503, "not-run", true}, 0}},
		"a fee that is never run":     {"/fees", always(notRun), seen{heard{502, "not-run", true}, 3}},
		"a fee that all servers shed": {"/fees", always(shed), seen{heard{503, "not-run", true}, 3}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &fake{answer: test.do, to: map[carobward.Address]int{}}
			got := seen{Outcome: get(newCarrierOf(5, 100, wait, l), test.uri)}
			got.Calls = l.count.Load()

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}

			for a, n := range l.to {
				if n > 1 {
					t.Errorf("%s had the request %d times", a, n)
				}
			}
		})
	}
}

// TestAnOutageIsNotAmplified lets all calls fail and counts them.
func TestAnOutageIsNotAmplified(t *testing.T) {
	const requests = 2000

	l := &fake{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
		return failed(carobward.Unknown)
	}}
	c := newCarrierOf(10, 100, wait, l)

	for range requests {
		get(c, "/sheets")
	}

	if extra := l.count.Load() - requests; extra > requests/20+10 {
		t.Errorf("%d extra calls for %d requests", extra, requests)
	}
}

// TestHedge lets one call hang and shows that the second one answers and the
// first one is cancelled; a request that must not repeat is left alone.
func TestHedge(t *testing.T) {
	var (
		hang      atomic.Bool
		hedged    atomic.Int64
		fees      atomic.Int64
		cancelled atomic.Int64
		release   = make(chan struct{})
	)

	l := &fake{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		switch c.URI {
		case "/fees":
			fees.Add(1)
		case "/sheets/hedged":
			hedged.Add(1)
		default:
			// A hedge of a warm-up request may come late, and neither hangs
			// nor counts.
			return good()
		}

		if !hang.CompareAndSwap(true, false) {
			return good()
		}

		select {
		case <-ctx.Done():
			cancelled.Add(1)

			return failed(carobward.Unknown)
		case <-release:
			return good()
		case <-time.After(cwtest.MaxWait):
			return failed(carobward.Unknown)
		}
	}}
	c := newCarrierOf(5, 100, wait, l)

	for range 200 {
		get(c, "/sheets")
	}

	hang.Store(true)

	got := get(c, "/sheets/hedged")
	if diff := cmp.Diff(heard{200, "ran", false}, got); diff != "" {
		t.Error(diff)
	}

	cwtest.Wait(t, "the first call cancelled", func() bool { return cancelled.Load() == 1 })

	if calls := hedged.Load(); calls != 2 {
		t.Errorf("%d calls for a hedged request", calls)
	}

	var group conc.WaitGroup

	hang.Store(true)

	group.Go(func() {
		if diff := cmp.Diff(heard{200, "ran", false}, get(c, "/fees")); diff != "" {
			t.Error(diff)
		}
	})
	cwtest.Wait(t, "the fee at a server", func() bool { return fees.Load() > 0 })

	for range 20 {
		get(c, "/sheets")
	}

	close(release)
	group.Wait()

	if fees.Load() != 1 {
		t.Errorf("the fee was sent %d times", fees.Load())
	}
}

// TestAFloodLeavesRoomForFees floods lookups that hang until all places are
// taken, and shows that a fee still gets through once a call ends.
func TestAFloodLeavesRoomForFees(t *testing.T) {
	release := make(chan struct{})
	l := &fake{answer: func(_ context.Context, c *carobward.Call) (*carobward.Reply, error) {
		if c.URI == "/sheets" {
			<-release
		}

		return good()
	}}
	c := newCarrierOf(2, 20, wait, l)

	var group conc.WaitGroup

	refused := atomic.Int64{}

	for range 100 {
		group.Go(func() {
			if got := get(c, "/sheets"); got.Status == fasthttp.StatusServiceUnavailable && got.Verdict == "not-run" && got.Retry {
				refused.Add(1)
			}
		})
	}

	cwtest.Wait(t, "the flood refused", func() bool { return refused.Load() >= 80 })

	done := make(chan heard, 1)

	group.Go(func() { done <- get(c, "/fees") })
	cwtest.Wait(t, "the fee admitted", func() bool { return c.Running() >= 2 })
	close(release)

	if diff := cmp.Diff(heard{200, "ran", false}, <-done); diff != "" {
		t.Error(diff)
	}

	group.Wait()
}
