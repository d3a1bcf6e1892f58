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

// TestCold has a server that turns cold without a start, which its health answers alone
// tell, under many requests at once at two entry VMs. It must get no more of them in the
// second than a cold one bears, and use what it bears; each that was told that it did
// not run did not.
func TestCold(t *testing.T) {
	const (
		requests = 60
		// borne is what the stand-in's configuration and the bounds of the tests allow.
		borne = 15
		least = 6
		// within is the time that callers wait: all requests end within the second.
		within = 800
	)

	f := newFleet(t)
	u := f.upstream(t, "fees", "i-1")
	f.configure(safe("fees"), unsafe())

	vms := []*vm{f.start(t, "vm-0"), f.start(t, "vm-1")}
	for _, v := range vms {
		v.waitReady(t)
		cwtest.Wait(t, "an answer", func() bool {
			return v.ask(http.MethodPost, charging, fmt.Sprint("first-", time.Now()), "").status == http.StatusOK
		})
	}

	u.SetWarmup(time.Minute)

	// Requests before do not count. The entry VMs know each other, and send as they will.
	for i, v := range vms {
		cwtest.Wait(t, "knowledge of each other", func() bool {
			return strings.Contains(get(v.options.Metrics, "/").body, `"sharers": 2`)
		})
		cwtest.Wait(t, "an answer by the cold server", func() bool {
			return v.ask(http.MethodPost, charging, fmt.Sprint("cold-first-", i, time.Now()), "").status == http.StatusOK
		})
	}

	before := len(u.Runs())

	var (
		group              sync.WaitGroup
		mutex              sync.Mutex
		false503, answered int
	)

	for i := range requests {
		group.Go(func() {
			id := fmt.Sprint("cold-", i)
			got := vms[i%len(vms)].askWithin(http.MethodPost, charging, id, "", within)

			mutex.Lock()
			defer mutex.Unlock()

			switch {
			case got.status == http.StatusOK:
				answered++
			case got.status == http.StatusServiceUnavailable && runs([]*cwstand.Upstream{u}, id) > 0:
				false503++
			}
		})
	}

	group.Wait()

	if n := len(u.Runs()) - before; n > borne || n < least || answered < least || false503 > 0 {
		t.Errorf("%d requests ran, %d allowed; %d answered, %d refused falsely", n, borne, answered, false503)
	}
}
