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

// largeReply is too large to be buffered whole before it is forwarded.
var largeReply = strings.Repeat("measured. ", 60_000)

// downloadTimeoutMillis is how long callers wait for large replies.
const downloadTimeoutMillis = 9000

// downloadRoute is the route of large replies. Its timeouts are long, so that no request is
// refused as late on a slow machine.
func downloadRoute() cwstand.MetadataRoute {
	return cwstand.MetadataRoute{
		"prefix": readPath, "kind": "download", "service": "packs", "target_latency": "8s", "timeout": "9s",
	}
}

// TestDownload verifies that many large replies at once reach their callers whole, over
// connections that are reused.
func TestDownload(t *testing.T) {
	const callers = 20

	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(largeReply)
	f.configure(downloadRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range callers {
		group.Go(func() {
			got := v.sendWithin(http.MethodGet, readPath, fmt.Sprint("one-", i), "", downloadTimeoutMillis)
			if got.status != http.StatusOK || got.err != nil || got.body != largeReply || got.header.Get("Response-Seal") == "" {
				t.Errorf("status %d, %d of %d bytes, %v", got.status, len(got.body), len(largeReply), got.err)
			}
		})
	}

	group.Wait()
}

// TestDownloadCut verifies that a large reply that its server breaks off reaches the caller
// as an incomplete one.
func TestDownloadCut(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(largeReply)
	u.SetMode(cwstand.UpstreamTruncates, 0)
	f.configure(downloadRoute())

	v := f.start(t, "vm-1")
	v.waitReady(t)

	if got := v.send(http.MethodGet, readPath, "one", ""); got.err == nil {
		t.Errorf("status %d, %d bytes and no error", got.status, len(got.body))
	}
}

// TestDownloadStop verifies that a stopping entry VM cuts off no large reply in progress.
func TestDownloadStop(t *testing.T) {
	const (
		callers = 8
		parts   = 4
		grace   = 3 * time.Second
	)

	f := newFleet(t)
	u := f.upstream(t, "packs", "i-1")
	u.SetBody(strings.Repeat(largeReply, parts))
	f.configure(downloadRoute())

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Grace = grace })
	v.waitReady(t)

	var group sync.WaitGroup

	for i := range callers {
		group.Go(func() {
			got := v.sendWithin(http.MethodGet, readPath, fmt.Sprint("one-", i), "", downloadTimeoutMillis)
			if got.status != http.StatusOK || got.err != nil || len(got.body) != parts*len(largeReply) {
				t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
			}
		})
	}

	cwtest.Wait(t, "the requests", func() bool { return len(u.Runs()) == callers })
	v.end()
	group.Wait()
}
