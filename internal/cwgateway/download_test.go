package cwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// pack is a large reply, beyond what is held whole before it is passed on.
var pack = strings.Repeat("measured. ", 60_000)

// packsMillis is how long callers wait for large replies, in milliseconds.
const packsMillis = 9000

// packs is the route of large replies. There is time enough, so that none is refused
// for being late on a slow machine.
func packs() cwstand.MetadataRoute {
	return cwstand.MetadataRoute{
		"prefix": reading, "kind": "download", "service": "packs", "target_latency": "8s", "timeout": "9s",
	}
}

// TestDownload wants large replies to reach their callers whole, many at once, over
// connections that are used again.
func TestDownload(t *testing.T) {
	const callers = 20

	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(pack)
	f.configure(packs())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range callers {
		group.Go(func() {
			got := v.askWithin(http.MethodGet, reading, fmt.Sprint("one-", i), "", packsMillis)
			if got.status != http.StatusOK || got.err != nil || got.body != pack || got.header.Get("Response-Seal") == "" {
				t.Errorf("status %d, %d of %d bytes, %v", got.status, len(got.body), len(pack), got.err)
			}
		})
	}

	group.Wait()
}

// TestDownloadCut wants a large reply that its server breaks off to reach the caller
// as one that is not whole.
func TestDownloadCut(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(pack)
	u.SetMode(cwstand.UpstreamTruncates, 0)
	f.configure(packs())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	if got := v.ask(http.MethodGet, reading, "one", ""); got.err == nil {
		t.Errorf("status %d, %d bytes and no error", got.status, len(got.body))
	}
}

// TestDownloadStop stops an entry VM while large replies are on their way: none is
// cut off.
func TestDownloadStop(t *testing.T) {
	const (
		callers = 8
		parts   = 4
		grace   = 3 * time.Second
	)

	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(strings.Repeat(pack, parts))
	f.configure(packs())

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Grace = grace })
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range callers {
		group.Go(func() {
			got := v.askWithin(http.MethodGet, reading, fmt.Sprint("one-", i), "", packsMillis)
			if got.status != http.StatusOK || got.err != nil || len(got.body) != parts*len(pack) {
				t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
			}
		})
	}

	cwtest.Wait(t, "the requests", func() bool { return len(u.Runs()) == callers })
	v.end()
	group.Wait()
}
