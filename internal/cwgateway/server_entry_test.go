package cwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestUnusableEntry has another writer corrupt the entry of one of two servers. No entry VM may
// use that server until its next valid entry, and the other server serves meanwhile.
func TestUnusableEntry(t *testing.T) {
	f := newFleet(t)
	corrupted, other := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(unsafeRoute())

	all := startAll(t, f, "vm-", carobward.SystemClock{})
	withoutStart := cwstand.ServerEntry("fees", corrupted.Address(), "a", "ready")
	valid := cwstand.ServerEntryWithStart(withoutStart, 1_700_000_000_000)

	for name, value := range map[string][]byte{
		"empty":                  {},
		"an empty table":         []byte("{}"),
		"an unknown state":       cwstand.ServerEntry("fees", corrupted.Address(), "a", "starting"),
		"without the start":      withoutStart,
		"no address":             cwstand.ServerEntry("fees", "", "a", "ready"),
		"a host name as address": cwstand.ServerEntry("fees", "server.example:1", "a", "ready"),
		"without failure domain": cwstand.ServerEntry("fees", corrupted.Address(), "", "ready"),
	} {
		t.Run(name, func(t *testing.T) {
			f.store.Put("servers/i-1", valid)

			for _, v := range all {
				f.waitReplica(t, v)

				if servers, unusable := v.gauge(t, "servers"), v.gauge(t, "unusable"); servers != 2 || unusable != 0 {
					t.Errorf("%d servers, %d unusable", servers, unusable)
				}
			}

			f.store.Put("servers/i-1", value)

			for i, v := range all {
				f.waitReplica(t, v)

				if servers, unusable := v.gauge(t, "servers"), v.gauge(t, "unusable"); servers != 1 || unusable != 1 {
					t.Errorf("%d servers, %d unusable", servers, unusable)
				}

				before := len(corrupted.Runs())

				for n := range 10 {
					if got := v.send(http.MethodPost, chargePath, fmt.Sprint(name, i, n), ""); got.status != http.StatusOK {
						t.Errorf("unexpected answer %+v", got)
					}
				}

				if len(corrupted.Runs()) > before || len(other.Runs()) == 0 {
					t.Error("the server with an unusable entry got requests")
				}
			}
		})
	}

	f.store.Delete("servers/i-1")
	cwtest.Wait(t, "no entry to be unusable", func() bool { return all[0].gauge(t, "unusable") == 0 })
}

// TestServerRestart restarts a server under the same instance name behind a network partition:
// requests sent to the earlier process get neither a reply nor a reset. As soon as the list of
// servers shows the restart, the entry VM must send the pending read again, and end the
// charge as one that may have run.
func TestServerRestart(t *testing.T) {
	f := newFleet(t)
	server := f.upstream(t, "fees", "i-1")

	// The timeouts are long enough for the list to arrive before the read is given up, or
	// hedged because it is late.
	reads := safeRoute("fees")
	reads["timeout"], reads["target_latency"] = "9s", "8s"
	f.configure(reads, unsafeRoute())

	entryWithStart := func(start int64) []byte {
		return cwstand.ServerEntryWithStart(cwstand.ServerEntry("fees", server.Address(), "a", "ready"), start)
	}
	f.store.Put("servers/i-1", entryWithStart(1000))
	v := f.start(t, "vm-1", startedLongAgo)
	v.waitReady(t)

	for name, c := range map[string]struct {
		method, path string
		want         int
	}{
		"a read":   {http.MethodGet, readPath, http.StatusOK},
		"a charge": {http.MethodPost, chargePath, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			server.SetMode(cwstand.UpstreamSilent, 0)
			f.store.Put("servers/i-1", entryWithStart(time.Now().UnixMilli()))
			f.waitReplica(t, v)

			before := len(server.Runs())
			answers := make(chan answer, 1)

			go func() { answers <- v.sendWithin(c.method, c.path, name, "", 9000) }()

			cwtest.Wait(t, "the send", func() bool { return len(server.Runs()) > before })

			// The next process answers.
			server.SetMode(cwstand.UpstreamServes, 0)
			f.store.Put("servers/i-1", entryWithStart(time.Now().UnixMilli()+1))

			if got := <-answers; got.status != c.want {
				t.Errorf("unexpected answer %+v", got)
			}
		})
	}

	if n := v.metric(t, "front", "hedges"); n > 0 {
		t.Errorf("%d hedged sends, so the restart was not what ended the wait", n)
	}
}

// TestLateServerEntry guards against requests to a server that leaves: the store executes one of its
// earlier heartbeats after its report that it is draining. A server whose numbers go back gets
// requests again.
func TestLateServerEntry(t *testing.T) {
	f := newFleet(t)
	leaving, other := f.upstream(t, "fees", "i-1"), f.upstream(t, "fees", "i-2")
	f.configure(unsafeRoute())

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.ServerHeartbeat = 100 * time.Millisecond })
	v.waitReady(t)

	put := func(state string, nth uint64) {
		f.store.Put("servers/i-1", cwstand.ServerEntryWithSeq(cwstand.ServerEntry("fees", leaving.Address(), "a", state), nth))
		f.waitReplica(t, v)
	}

	sends := func(name string) int {
		before := len(leaving.Runs())

		for n := range 20 {
			if got := v.send(http.MethodPost, chargePath, fmt.Sprint(name, n), ""); got.status != http.StatusOK {
				t.Errorf("unexpected answer %+v", got)
			}
		}

		return len(leaving.Runs()) - before
	}

	put("ready", 400)
	put("draining", 402)
	put("ready", 401)

	if n := sends("late"); n > 0 {
		t.Errorf("the leaving server got %d requests after an old heartbeat", n)
	}

	nth := uint64(0)

	cwtest.Wait(t, "requests at a server that counts its writes anew", func() bool {
		nth++
		put("ready", nth)

		return sends(fmt.Sprint("anew", nth)) > 0
	})

	if len(other.Runs()) == 0 {
		t.Error("the other server got no requests")
	}
}
