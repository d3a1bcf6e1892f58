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

// TestEnds has a way in which servers treat all requests against what the
// caller of each kind gets, and how often its request ran.
func TestEnds(t *testing.T) {
	const two = 2

	for name, c := range map[string]struct {
		way          cwstand.UpstreamMode
		read, charge int
		// readRuns and chargeRuns are how often the request ran at most.
		readRuns, chargeRuns int
	}{
		"serves":                {cwstand.UpstreamServes, 200, 200, 1, 1},
		"sheds":                 {cwstand.UpstreamSheds, 503, 503, 0, 0},
		"resets":                {cwstand.UpstreamResets, 502, 502, two, 1},
		"is silent":             {cwstand.UpstreamSilent, 504, 504, two, 1},
		"fails":                 {cwstand.UpstreamFails, 500, 500, two, 1},
		"refuses, having run":   {cwstand.UpstreamRefuses, 502, 502, two, 1},
		"cuts its answer":       {cwstand.UpstreamTruncates, 502, 502, two, 1},
		"does not sign":         {cwstand.UpstreamUnsigned, 502, 502, two, 1},
		"answers twice":         {cwstand.UpstreamRepeats, 200, 200, 1, 1},
		"ends by its connexion": {cwstand.UpstreamUnframed, 200, 200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			servers := []*cwstand.Upstream{f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2"), f.upstream(t, "fees", "i-3")}
			f.configure(safe("fees"), unsafe())

			for _, s := range servers {
				s.SetMode(c.way, 0)
			}

			v := f.start(t, "vm-1")
			v.waitReady(t)

			for i := range 3 {
				read, charge := fmt.Sprintf("read-%d", i), fmt.Sprintf("charge-%d", i)
				a, b := v.askWithin(http.MethodGet, reading, read, "", 400), v.askWithin(http.MethodPost, charging, charge, "", 400)

				if diff := cmp.Diff([]int{c.read, c.charge}, []int{a.status, b.status}); diff != "" {
					t.Errorf("%s %v %v", diff, a.err, b.err)
				}

				if n := runs(servers, read); n > c.readRuns {
					t.Errorf("the read ran %d times", n)
				}

				if n := runs(servers, charge); n > c.chargeRuns {
					t.Errorf("the charge ran %d times", n)
				}

				if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
					t.Error("a refusal does not say when to come back")
				}

				if a.status != http.StatusOK && a.status != http.StatusInternalServerError && a.header.Get("Response-Seal") != "" {
					t.Error("a failure of ours has a server's signature")
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

// TestRetry wants a request that a server refused to go to another one, and an
// idempotent one also after a failure.
func TestRetry(t *testing.T) {
	for name, c := range map[string]struct {
		way          cwstand.UpstreamMode
		read, charge bool
	}{
		"sheds":  {cwstand.UpstreamSheds, true, true},
		"resets": {cwstand.UpstreamResets, true, false},
		"fails":  {cwstand.UpstreamFails, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			bad, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
			f.configure(safe("fees"), unsafe())
			bad.SetMode(c.way, 0)
			good.SetLoad("2,0,4,100") // So that the bad one is preferred.

			v := f.start(t, "vm-1")
			v.waitReady(t)

			a := v.ask(http.MethodGet, reading, "read", "")
			if a.status != http.StatusOK != !c.read {
				t.Errorf("read: %+v", a)
			}

			cwtest.Wait(t, "the end of the block", func() bool {
				n := len(bad.Runs())
				b := v.ask(http.MethodPost, charging, fmt.Sprint("charge-", time.Now()), "")

				return len(bad.Runs()) > n && b.status != http.StatusOK || c.charge && b.status == http.StatusOK
			})
		})
	}
}

// TestNotRunIsTrue has one server that runs what it gets and breaks off, and one
// that refuses. Whichever comes first, a caller that is told to come back since
// its request did not run must not have had it run.
func TestNotRunIsTrue(t *testing.T) {
	const requests = 24

	f := newFleet(t)
	breaks, refuses := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(safe("fees"), unsafe())
	breaks.SetMode(cwstand.UpstreamResets, 0)
	refuses.SetMode(cwstand.UpstreamSheds, 0)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i := range requests {
		for _, path := range []string{reading, charging} {
			id := fmt.Sprint(path, i)
			got := v.ask(http.MethodPost, path, id, "")

			if n := runs([]*cwstand.Upstream{breaks}, id); got.status == http.StatusServiceUnavailable && n > 0 {
				t.Errorf("%s is said not to have run, and ran %d times", id, n)
			}
		}
	}
}

// TestTimeout wants a request to end by the route's timeout.
func TestTimeout(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	r := unsafe()
	r["timeout"] = "300ms"
	f.configure(r)
	u.SetMode(cwstand.UpstreamSilent, 0)

	v := f.start(t, "vm-1")
	v.waitReady(t)

	began := time.Now()
	got := v.ask(http.MethodPost, charging, "one", "")

	if got.status != http.StatusGatewayTimeout || time.Since(began) < 300*time.Millisecond {
		t.Errorf("%+v after %s", got, time.Since(began))
	}

	if left := u.Runs()[0].TimeLeft; len(left) != 3 || left > "300" {
		t.Errorf("the server was given %s ms of 300", left)
	}
}

// TestCallerGone wants the server to learn that the caller of idempotent work
// has gone, and other work to go on.
func TestCallerGone(t *testing.T) {
	for name, broken := range map[string]int{reading: 1, charging: 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			u := f.upstream(t, "fees", "i-1")
			f.configure(safe("fees"), unsafe())
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

			left := make(chan answer)
			go func() { left <- do(req) }()

			cwtest.Wait(t, "the run", func() bool { return len(u.Runs()) == 1 })
			cancel()
			<-left
			v.end() // It waits for what is in flight.

			if got := u.Disconnects(); got != broken {
				t.Errorf("%d requests were broken off, want %d", got, broken)
			}
		})
	}
}

// TestHedge lets a server keep requests for longer than their callers wait. One
// that may be repeated is answered by another server, and broken off at the
// first; other work stays where it is.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		path                 string
		status, runs, broken int
	}{
		"idempotent work": {reading, http.StatusOK, 1, 1},
		"other work":      {charging, http.StatusGatewayTimeout, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			slow, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
			f.configure(safe("fees"), unsafe())
			slow.SetMode(cwstand.UpstreamServes, time.Minute)
			good.SetLoad("2,0,4,100") // So that the slow one is preferred.

			v := f.start(t, "vm-1")
			v.waitReady(t)

			if got := v.ask(http.MethodPost, c.path, "one", ""); got.status != c.status {
				t.Errorf("%+v", got)
			}

			if diff := cmp.Diff([]int{1, c.runs}, []int{len(slow.Runs()), len(good.Runs())}); diff != "" {
				t.Error(diff)
			}

			cwtest.Wait(t, "the end of the work at the slow server", func() bool { return slow.Disconnects() == c.broken })
		})
	}
}

// TestHedgeBound wants second sends to stay within the bound on calls beyond
// the first, however many answers are overdue.
func TestHedgeBound(t *testing.T) {
	const (
		requests = 8
		extra    = 3
	)

	f := newFleet(t)
	slow, good := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(safe("fees"))
	slow.SetMode(cwstand.UpstreamServes, time.Minute)
	good.SetMode(cwstand.UpstreamServes, time.Minute)

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Limits.ExtraShare = 0
		o.Limits.ExtraMin = extra + 1 // Nine tenths of it are used.
	})
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range requests {
		group.Go(func() { v.askWithin(http.MethodGet, reading, fmt.Sprint("id-", i), "", 900) })
	}

	group.Wait()

	sends := len(slow.Runs()) + len(good.Runs())
	if sends > requests+extra || sends == 0 {
		t.Errorf("%d sends of %d requests", sends, requests)
	}
}
