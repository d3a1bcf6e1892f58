package cwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestUnusableEntry lets another writer spoil the entry of one of two servers, and wants
// the server to be out of use on each entry VM, the other one to serve, and the first to
// be back with its next entry.
func TestUnusableEntry(t *testing.T) {
	f := newFleet(t)
	spoiled, other := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(unsafe())

	all := startAll(t, f, "vm-", carobward.SystemClock{})
	good := cwstand.ServerEntry("fees", spoiled.Address(), "a", "ready")
	named := cwstand.ServerEntryWithStart(good, 1_700_000_000_000)

	for name, value := range map[string][]byte{
		"empty":                  {},
		"an empty table":         []byte("{}"),
		"another state":          cwstand.ServerEntry("fees", spoiled.Address(), "a", "starting"),
		"without the start":      good,
		"no address":             cwstand.ServerEntry("fees", "", "a", "ready"),
		"an address of no use":   cwstand.ServerEntry("fees", "server.example:1", "a", "ready"),
		"without failure domain": cwstand.ServerEntry("fees", spoiled.Address(), "", "ready"),
	} {
		t.Run(name, func(t *testing.T) {
			f.store.Put("servers/i-1", named)

			for _, v := range all {
				f.waitCopy(t, v)

				if servers, unusable := v.gauge(t, "servers"), v.gauge(t, "unusable"); servers != 2 || unusable != 0 {
					t.Errorf("%d servers, %d unusable", servers, unusable)
				}
			}

			f.store.Put("servers/i-1", value)

			for i, v := range all {
				f.waitCopy(t, v)

				if servers, unusable := v.gauge(t, "servers"), v.gauge(t, "unusable"); servers != 1 || unusable != 1 {
					t.Errorf("%d servers, %d unusable", servers, unusable)
				}

				before := len(spoiled.Runs())

				for n := range 10 {
					if got := v.ask(http.MethodPost, charging, fmt.Sprint(name, i, n), ""); got.status != http.StatusOK {
						t.Errorf("%+v", got)
					}
				}

				if len(spoiled.Runs()) > before || len(other.Runs()) == 0 {
					t.Error("the server whose entry is spoiled got requests")
				}
			}
		})
	}

	f.store.Delete("servers/i-1")
	cwtest.Wait(t, "the end of the count", func() bool { return all[0].gauge(t, "unusable") == 0 })
}

// TestStartedAgain lets a server start again under its instance, behind a cut: what was
// sent to the process before gets no answer and no reset. It wants the lookup that is
// there to be sent again as soon as the list says so, and the charge to end as one that
// may have run.
func TestStartedAgain(t *testing.T) {
	f := newFleet(t)
	lost := f.upstream(t, "fees", "i-1")

	// Time enough for the list to be known before the lookup would be given up or sent to
	// a second server for its lateness.
	lookup := safe("fees")
	lookup["timeout"], lookup["target_latency"] = "9s", "8s"
	f.configure(lookup, unsafe())

	entry := func(start int64) []byte {
		return cwstand.ServerEntryWithStart(cwstand.ServerEntry("fees", lost.Address(), "a", "ready"), start)
	}
	f.store.Put("servers/i-1", entry(1000))
	v := f.start(t, "vm-1")
	v.waitReady(t)

	for name, c := range map[string]struct {
		method, path string
		want         int
	}{
		"a lookup": {http.MethodGet, reading, http.StatusOK},
		"a charge": {http.MethodPost, charging, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			lost.SetMode(cwstand.UpstreamSilent, 0)
			f.store.Put("servers/i-1", entry(time.Now().UnixMilli()))
			f.waitCopy(t, v)

			before := len(lost.Runs())
			ends := make(chan answer, 1)

			go func() { ends <- v.askWithin(c.method, c.path, name, "", 9000) }()

			cwtest.Wait(t, "the send", func() bool { return len(lost.Runs()) > before })

			// The process that follows answers.
			lost.SetMode(cwstand.UpstreamServes, 0)
			f.store.Put("servers/i-1", entry(time.Now().UnixMilli()+1))

			if got := <-ends; got.status != c.want {
				t.Errorf("%+v", got)
			}
		})
	}

	if n := v.metric(t, "front", "hedges"); n > 0 {
		t.Errorf("%d second sends for lateness: the first was waited for", n)
	}
}
