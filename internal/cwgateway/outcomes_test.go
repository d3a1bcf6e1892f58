package cwgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestOutcomes verifies, for each mode of the servers, the status that callers get and how often
// the request ran at most.
func TestOutcomes(t *testing.T) {
	const two = 2

	for name, c := range map[string]struct {
		mode         cwstand.UpstreamMode
		read, charge int
		// readRuns and chargeRuns are how often each request may run at most.
		readRuns, chargeRuns int
	}{
		"serves":              {cwstand.UpstreamServes, 200, 200, 1, 1},
		"sheds":               {cwstand.UpstreamSheds, 503, 503, 0, 0},
		"resets":              {cwstand.UpstreamResets, 502, 502, two, 1},
		"is silent":           {cwstand.UpstreamSilent, 504, 504, two, 1},
		"fails":               {cwstand.UpstreamFails, 500, 500, two, 1},
		"refuses, having run": {cwstand.UpstreamRefuses, 502, 502, two, 1},
		"cuts its answer":     {cwstand.UpstreamTruncates, 502, 502, two, 1},
		"does not sign":       {cwstand.UpstreamUnsigned, 502, 502, two, 1},
		"answers twice":       {cwstand.UpstreamRepeats, 200, 200, 1, 1},
		"closes the connection to end its answer": {cwstand.UpstreamUnframed, 200, 200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			servers := []*cwstand.Upstream{f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2"), f.upstream(t, "fees", "i-3")}
			f.configure(safeRoute("fees"), unsafeRoute())

			for _, s := range servers {
				s.SetMode(c.mode, 0)
			}

			v := f.start(t, "vm-1")
			v.waitReady(t)

			for i := range 3 {
				read, charge := fmt.Sprintf("read-%d", i), fmt.Sprintf("charge-%d", i)
				a, b := v.sendWithin(http.MethodGet, readPath, read, "", 400), v.sendWithin(http.MethodPost, chargePath, charge, "", 400)

				if diff := cmp.Diff([]int{c.read, c.charge}, []int{a.status, b.status}); diff != "" {
					t.Errorf("statuses of the read and the charge: %s errors %v and %v", diff, a.err, b.err)
				}

				if n := runs(servers, read); n > c.readRuns {
					t.Errorf("the read ran %d times", n)
				}

				if n := runs(servers, charge); n > c.chargeRuns {
					t.Errorf("the charge ran %d times", n)
				}

				if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
					t.Error("a refusal has no Retry-After")
				}

				if a.status != http.StatusOK && a.status != http.StatusInternalServerError && a.header.Get("Response-Seal") != "" {
					t.Error("a failure of the entry VM has a server's signature")
				}
			}
		})
	}
}

// runs returns how often a request ran.
func runs(servers []*cwstand.Upstream, id string) int {
	n := 0

	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				n++
			}
		}
	}

	return n
}

// TestRetry verifies that a request that a server refused is sent to another one, and that
// an idempotent request is also sent again after a failure.
func TestRetry(t *testing.T) {
	for name, c := range map[string]struct {
		mode         cwstand.UpstreamMode
		read, charge bool
	}{
		"sheds":  {cwstand.UpstreamSheds, true, true},
		"resets": {cwstand.UpstreamResets, true, false},
		"fails":  {cwstand.UpstreamFails, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			bad, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
			f.configure(safeRoute("fees"), unsafeRoute())
			bad.SetMode(c.mode, 0)
			good.SetLoad("2,0,4,100") // Makes the bad server the preferred one.

			v := f.start(t, "vm-1", startedLongAgo)
			v.waitReady(t)

			a := v.send(http.MethodGet, readPath, "read", "")
			if a.status != http.StatusOK != !c.read {
				t.Errorf("read: %+v", a)
			}

			cwtest.Wait(t, "the end of the block", func() bool {
				n := len(bad.Runs())
				b := v.send(http.MethodPost, chargePath, fmt.Sprint("charge-", time.Now()), "")

				return len(bad.Runs()) > n && b.status != http.StatusOK || c.charge && b.status == http.StatusOK
			})
		})
	}
}

// TestNotRunNeverRan has one server that runs requests and resets the connection, and one that
// refuses them. Whichever gets a request first, a request that the caller is told to retry because
// it did not run must not have run.
func TestNotRunNeverRan(t *testing.T) {
	const requests = 24

	f := newFleet(t)
	resetting, refusing := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(safeRoute("fees"), unsafeRoute())
	resetting.SetMode(cwstand.UpstreamResets, 0)
	refusing.SetMode(cwstand.UpstreamSheds, 0)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i := range requests {
		for _, path := range []string{readPath, chargePath} {
			id := fmt.Sprint(path, i)
			got := v.send(http.MethodPost, path, id, "")

			if n := runs([]*cwstand.Upstream{resetting}, id); got.status == http.StatusServiceUnavailable && n > 0 {
				t.Errorf("%s was reported as not run, and ran %d times", id, n)
			}
		}
	}
}

// TestTimeout verifies that a request ends by its route's timeout.
func TestTimeout(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	r := unsafeRoute()
	r["timeout"] = "300ms"
	f.configure(r)
	u.SetMode(cwstand.UpstreamSilent, 0)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	began := time.Now()
	got := v.send(http.MethodPost, chargePath, "one", "")

	if got.status != http.StatusGatewayTimeout || time.Since(began) < 300*time.Millisecond {
		t.Errorf("%+v after %s", got, time.Since(began))
	}

	if left := u.Runs()[0].TimeLeft; len(left) != 3 || left > "300" {
		t.Errorf("the server was given %s of 300 ms", left)
	}
}

// TestCallerGone verifies that an idempotent request is canceled at the server when its caller
// disconnects, and that other requests go on.
func TestCallerGone(t *testing.T) {
	for name, aborted := range map[string]int{readPath: 1, chargePath: 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			u := f.upstream(t, "fees", "i-1")
			f.configure(safeRoute("fees"), unsafeRoute())
			u.SetMode(cwstand.UpstreamServes, time.Second)

			v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Grace = 3 * time.Second })
			v.waitReady(t)

			ctx, cancel := context.WithCancel(context.Background())

			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(v.options.Self.Callers)+name, nil)
			if err != nil {
				t.Fatal(err)
			}

			req.Host = host
			req.Header.Set("Request-Id", "one")

			done := make(chan answer)
			go func() { done <- do(req) }()

			cwtest.Wait(t, "the run", func() bool { return len(u.Runs()) == 1 })
			cancel()
			<-done
			v.end() // It waits for requests in flight.

			if got := u.Disconnects(); got != aborted {
				t.Errorf("%d requests were canceled, want %d", got, aborted)
			}
		})
	}
}

// TestHedge has a server that takes longer than callers wait. A request that may be repeated
// is answered by a second server and canceled at the first; other requests are not sent twice.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		path                  string
		status, runs, aborted int
	}{
		"idempotent work": {readPath, http.StatusOK, 1, 1},
		"other work":      {chargePath, http.StatusGatewayTimeout, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			slow, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
			f.configure(safeRoute("fees"), unsafeRoute())
			slow.SetMode(cwstand.UpstreamServes, time.Minute)
			good.SetLoad("2,0,4,100") // Makes the slow server the preferred one.

			v := f.start(t, "vm-1", startedLongAgo)
			v.waitReady(t)

			if got := v.send(http.MethodPost, c.path, "one", ""); got.status != c.status {
				t.Errorf("unexpected answer %+v", got)
			}

			if diff := cmp.Diff([]int{1, c.runs}, []int{len(slow.Runs()), len(good.Runs())}); diff != "" {
				t.Error(diff)
			}

			cwtest.Wait(t, "the request to be canceled at the slow server", func() bool { return slow.Disconnects() == c.aborted })
		})
	}
}

// TestHedgeBound verifies that hedged sends stay within the limit on extra sends, however
// many replies are overdue.
func TestHedgeBound(t *testing.T) {
	const (
		requests = 8
		extra    = 3
		window   = 2 * time.Second
	)

	f := newFleet(t)
	slow, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(safeRoute("fees"))

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Limits.ExtraShare = 0
		o.Limits.ExtraMin = 4*extra + 2 // An entry VM uses nine tenths of it, and a quarter of that for hedges.
		o.Limits.ExtraWindow = window
	})
	v.waitReady(t)
	v.send(http.MethodGet, readPath, "first", "")
	cwtest.Wait(t, "extra calls", func() bool { return v.extraAvailable(t, "fees") > extra })

	before := len(slow.Runs()) + len(good.Runs())

	slow.SetMode(cwstand.UpstreamServes, time.Minute)
	good.SetMode(cwstand.UpstreamServes, time.Minute)

	var group sync.WaitGroup

	for i := range requests {
		group.Go(func() { v.sendWithin(http.MethodGet, readPath, fmt.Sprint("id-", i), "", 900) })
	}

	group.Wait()

	sends := len(slow.Runs()) + len(good.Runs()) - before
	if sends > requests+extra || sends <= requests {
		t.Errorf("%d sends of %d requests, want up to %d more", sends, requests, extra)
	}
}
