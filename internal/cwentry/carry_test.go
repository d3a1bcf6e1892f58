package cwentry_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwentry"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwticket"
)

// link is a fake of the servers: each call is answered by do, which gets the
// number of the call.
type link struct {
	do    func(ctx context.Context, n int64, c *carobward.Call) (*carobward.Reply, error)
	calls atomic.Int64

	mutex sync.Mutex
	to    map[carobward.Address]int
}

func (l *link) Exchange(ctx context.Context, to carobward.Address, c *carobward.Call) (*carobward.Reply, error) {
	l.mutex.Lock()
	l.to[to]++
	l.mutex.Unlock()

	return l.do(ctx, l.calls.Add(1), c)
}

// owner is a fake that does all work and records nothing.
type owner struct{}

func (owner) Do(ctx context.Context, _ string, _ carobward.RequestID, _ *carobward.Call, work cwowner.Work) (*cwticket.Outcome, string, error) {
	o, err := work(ctx)

	return o, "", err
}

func (owner) Refuse(_ string, f *carobward.Failure) (string, error) { return "", f }

func good() (*carobward.Reply, error) {
	return &carobward.Reply{Status: fasthttp.StatusOK, Body: []byte("whole")}, nil
}

func status(code int) (*carobward.Reply, error) { return &carobward.Reply{Status: code}, nil }

// carrier returns a carrier of two targets over a fake link to some servers.
func carrier(servers, calls int, l *link) *cwentry.Carrier {
	l.to = map[carobward.Address]int{}

	set := cwtarget.Set{Targets: []carobward.Target{
		{Name: "lookup", Service: "records", Promise: carobward.Quick, Match: []carobward.Match{{Path: "/sheets"}}},
		{Name: "fee", Service: "records", Promise: carobward.Once, Match: []carobward.Match{{Path: "/fees"}}},
		{Name: "nowhere", Service: "none", Promise: carobward.Quick, Match: []carobward.Match{{Path: "/none"}}},
	}}
	for i := range set.Targets {
		set.Targets[i].Within = carobward.Duration(time.Minute)
		set.Targets[i].Body = carobward.Kilobyte
	}

	holder := cwconfig.NewHolder()
	holder.Adopt(&cwconfig.Config{Revision: 1, Set: set})

	var list []carobward.VM
	for i := range servers {
		list = append(list, carobward.VM{Address: carobward.Address(fmt.Sprintf("10.0.0.%d:80", i)), Service: "records"})
	}

	table := cwserver.NewTable()
	table.Update(list)

	o := cwentry.Options{VM: "vm-1", Calls: calls, Bodies: carobward.Megabyte, Policy: cwroute.Wait{Queue: 2}}

	return cwentry.New(o, holder, table, l, owner{}, carobward.SystemClock{}, logr.Discard())
}

// outcome is what a caller sees.
type outcome struct {
	Status  int
	Verdict string
	Retry   bool
}

func get(c *cwentry.Carrier, uri string) outcome {
	var ctx fasthttp.RequestCtx

	ctx.Request.SetRequestURI(uri)
	ctx.Request.Header.SetHost("localhost")
	c.Handle(&ctx)

	h := &ctx.Response.Header

	return outcome{
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
		Outcome outcome
		Calls   int64
	}

	firstThen := func(first func() (*carobward.Reply, error)) func(context.Context, int64, *carobward.Call) (*carobward.Reply, error) {
		return func(_ context.Context, n int64, _ *carobward.Call) (*carobward.Reply, error) {
			if n == 1 {
				return first()
			}

			return good()
		}
	}
	always := func(do func() (*carobward.Reply, error)) func(context.Context, int64, *carobward.Call) (*carobward.Reply, error) {
		return func(context.Context, int64, *carobward.Call) (*carobward.Reply, error) { return do() }
	}
	unknown := func() (*carobward.Reply, error) { return failed(carobward.Unknown) }
	notRun := func() (*carobward.Reply, error) { return failed(carobward.NotRun) }
	broken := func() (*carobward.Reply, error) { return status(fasthttp.StatusInternalServerError) }
	shed := func() (*carobward.Reply, error) { return &carobward.Reply{Status: 503, Shed: true}, nil }

	tests := map[string]struct {
		uri  string
		do   func(context.Context, int64, *carobward.Call) (*carobward.Reply, error)
		want seen
	}{
		"good":                        {"/sheets", always(good), seen{outcome{200, "ran", false}, 1}},
		"a lookup is sent again":      {"/sheets", firstThen(unknown), seen{outcome{200, "ran", false}, 2}},
		"also after an error status":  {"/sheets", firstThen(broken), seen{outcome{200, "ran", false}, 2}},
		"error statuses only":         {"/sheets", always(broken), seen{outcome{500, "ran", false}, 3}},
		"failures only":               {"/sheets", always(unknown), seen{outcome{502, "unknown", true}, 3}},
		"refusals only":               {"/sheets", always(shed), seen{outcome{503, "not-run", true}, 3}},
		"a fee is not sent again":     {"/fees", firstThen(unknown), seen{outcome{502, "unknown", true}, 1}},
		"unless it was not run":       {"/fees", firstThen(notRun), seen{outcome{200, "ran", false}, 2}},
		"or the server refused it":    {"/fees", firstThen(shed), seen{outcome{200, "ran", false}, 2}},
		"nor after an error status":   {"/fees", firstThen(broken), seen{outcome{500, "ran", false}, 1}},
		"a service without servers":   {"/none", always(good), seen{outcome{503, "not-run", true}, 0}},
		"a fee that is never run":     {"/fees", always(notRun), seen{outcome{502, "not-run", true}, 3}},
		"a fee that all servers shed": {"/fees", always(shed), seen{outcome{503, "not-run", true}, 3}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &link{do: test.do}
			got := seen{Outcome: get(carrier(5, 100, l), test.uri)}
			got.Calls = l.calls.Load()

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

	l := &link{do: func(context.Context, int64, *carobward.Call) (*carobward.Reply, error) {
		return failed(carobward.Unknown)
	}}
	c := carrier(10, 100, l)

	for range requests {
		get(c, "/sheets")
	}

	if extra := l.calls.Load() - requests; extra > requests/20+10 {
		t.Errorf("%d extra calls for %d requests", extra, requests)
	}
}

// TestHedge lets one call hang and shows that the second one answers and the
// first one is cancelled; a request that must not repeat is left alone.
func TestHedge(t *testing.T) {
	var (
		hang      atomic.Bool
		fees      atomic.Int64
		cancelled atomic.Int64
		release   = make(chan struct{})
	)

	l := &link{do: func(ctx context.Context, _ int64, c *carobward.Call) (*carobward.Reply, error) {
		if c.URI == "/fees" {
			fees.Add(1)
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
		}
	}}
	c := carrier(5, 100, l)

	for range 200 {
		get(c, "/sheets")
	}

	before := l.calls.Load()

	hang.Store(true)

	got := get(c, "/sheets")
	if diff := cmp.Diff(outcome{200, "ran", false}, got); diff != "" {
		t.Error(diff)
	}

	cwtest.Wait(t, "the first call cancelled", func() bool { return cancelled.Load() == 1 })

	if calls := l.calls.Load() - before; calls != 2 {
		t.Errorf("%d calls for a hedged request", calls)
	}

	var group conc.WaitGroup

	hang.Store(true)

	group.Go(func() {
		if diff := cmp.Diff(outcome{200, "ran", false}, get(c, "/fees")); diff != "" {
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
	l := &link{do: func(_ context.Context, _ int64, c *carobward.Call) (*carobward.Reply, error) {
		if c.URI == "/sheets" {
			<-release
		}

		return good()
	}}
	c := carrier(2, 20, l)

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

	done := make(chan outcome, 1)

	group.Go(func() { done <- get(c, "/fees") })
	cwtest.Wait(t, "the fee admitted", func() bool { return c.Running() >= 2 })
	close(release)

	if diff := cmp.Diff(outcome{200, "ran", false}, <-done); diff != "" {
		t.Error(diff)
	}

	group.Wait()
}
