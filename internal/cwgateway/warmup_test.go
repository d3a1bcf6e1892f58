package cwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestWarmup has a server that starts to warm up without a restart, which only its health checks
// report, while two entry VMs have many requests for it. Within a second it must get no more
// requests than a server that is warming up tolerates, and a fair number of these. A request
// refused as not run must not have run.
func TestWarmup(t *testing.T) {
	const (
		requests = 60
		// maxRuns follows from the stand-in's configuration and the bounds of the tests.
		maxRuns = 15
		minRuns = 6
		// timeoutMillis is how long callers wait: all requests end within a second.
		timeoutMillis = 800
	)

	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	f.configure(safeRoute("fees"), unsafeRoute())

	vms := []*vm{f.start(t, "vm-0"), f.start(t, "vm-1")}
	for _, v := range vms {
		v.waitReady(t)
		cwtest.Wait(t, "an answer", func() bool {
			return v.send(http.MethodPost, chargePath, fmt.Sprint("first-", time.Now()), "").status == http.StatusOK
		})
	}

	u.SetWarmup(time.Minute)

	// Requests up to here do not count: the entry VMs have to know each other and the state
	// of the server first.
	for i, v := range vms {
		cwtest.Wait(t, "both entry VMs to know each other", func() bool {
			return strings.Contains(get(v.options.Metrics, "/").body, `"sharers": 2`)
		})
		cwtest.Wait(t, "an answer by the server that is warming up", func() bool {
			return v.send(http.MethodPost, chargePath, fmt.Sprint("cold-first-", i, time.Now()), "").status == http.StatusOK
		})
	}

	before := len(u.Runs())

	var (
		group                   sync.WaitGroup
		mutex                   sync.Mutex
		falseRefusals, answered int
	)

	for i := range requests {
		group.Go(func() {
			id := fmt.Sprint("cold-", i)
			got := vms[i%len(vms)].sendWithin(http.MethodPost, chargePath, id, "", timeoutMillis)

			mutex.Lock()
			defer mutex.Unlock()

			switch {
			case got.status == http.StatusOK:
				answered++
			case got.status == http.StatusServiceUnavailable && runs([]*cwstand.Upstream{u}, id) > 0:
				falseRefusals++
			}
		})
	}

	group.Wait()

	if n := len(u.Runs()) - before; n > maxRuns || n < minRuns || answered < minRuns || falseRefusals > 0 {
		t.Errorf("%d requests ran, %d allowed; %d answered, %d refused as not run although they ran", n, maxRuns, answered, falseRefusals)
	}
}
