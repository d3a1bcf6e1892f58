package cwgateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// shiftedClock is a clock that can be put forward.
type shiftedClock struct{ by atomic.Int64 }

func (s *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(s.by.Load())) }

// startAll starts entry VMs of two failure domains and waits until they are ready.
func startAll(t *testing.T, f *fleet, name string, clock carobward.Clock) []*vm {
	t.Helper()

	var all []*vm

	for i := range 4 {
		domain := carobward.Domain(fmt.Sprint("domain-", i%2))
		all = append(all, f.start(t, fmt.Sprint(name, i), func(o *cwgateway.Options) { o.Self.Domain, o.Clock = domain, clock }))
	}

	for _, v := range all {
		v.waitReady(t)
	}

	return all
}

// sendPoison sends the request that crashes servers, which is refused once it is quarantined.
func (v *vm) sendPoison(id string) answer { return v.send(http.MethodPost, chargePath, id, poison) }

func (a *answer) isQuarantined() bool {
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "servers ended under this request")
}

// waitQuarantined waits until each entry VM has the request that crashes servers in
// quarantine. It sends no requests.
func waitQuarantined(t *testing.T, all []*vm) {
	t.Helper()

	for _, v := range all {
		cwtest.Wait(t, "the quarantine", func() bool { return len(v.quarantined()) > 0 })
	}
}

// listedRequest is a request on the operators' page.
type listedRequest struct {
	Fingerprint string `json:"print"`
	Request     string `json:"request"`
	Held        bool   `json:"held"`
	Trials      int    `json:"trials"`
	Crashes     []any  `json:"crashes"`
}

// quarantined returns the requests that the operators' page of an entry VM lists as quarantined.
func (v *vm) quarantined() []listedRequest {
	var all, held []listedRequest

	if json.Unmarshal([]byte(get(v.options.Metrics, "/quarantine").body), &all) != nil {
		return nil
	}

	for _, l := range all {
		if l.Held {
			held = append(held, l)
		}
	}

	return held
}

// TestBlame verifies for each failure of a request in flight whether the request is blamed for a
// crash of its server.
func TestBlame(t *testing.T) {
	const last = chargePath + "last"

	for name, c := range map[string]struct {
		mode cwstand.UpstreamMode
		// fatal reports whether the server crashes, leaves whether its entry is removed before.
		fatal, leaves bool
		blamed        bool
	}{
		"the process crashes":       {cwstand.UpstreamServes, true, false, true},
		"a leaving process crashes": {cwstand.UpstreamServes, true, true, false},
		"it resets the connection":  {cwstand.UpstreamResets, false, false, false},
		"it is silent":              {cwstand.UpstreamSilent, false, false, false},
		"it cuts its answer":        {cwstand.UpstreamTruncates, false, false, false},
		"it fails":                  {cwstand.UpstreamFails, false, false, false},
		"it refuses, having run":    {cwstand.UpstreamRefuses, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			begun, goOn := make(chan struct{}, 1), make(chan struct{})

			servers := newCrashingServers(t, f, 1, func(r cwstand.Run) bool {
				if r.URI == last {
					return true
				}

				begun <- struct{}{}
				<-goOn

				return c.fatal
			})
			servers.slots[0].server.SetMode(c.mode, 0)
			f.configure(unsafeRoute())

			v := f.start(t, "vm-1")
			v.waitReady(t)

			answers := make(chan answer, 1)
			go func() { answers <- v.sendWithin(http.MethodPost, chargePath, "one", "", 400) }()

			<-begun

			if c.leaves {
				f.store.Delete("servers/" + servers.slots[0].instance())
				cwtest.Wait(t, "the removal", func() bool { return v.gauge(t, "servers") == 0 })
			}

			close(goOn)
			<-answers

			// This request is sure to be blamed, and its crash is shared after that of the first.
			cwtest.Wait(t, "the last crash", func() bool {
				v.send(http.MethodPost, last, "last", "")

				return strings.Contains(get(v.options.Metrics, "/quarantine").body, last)
			})

			if blamed := strings.Contains(get(v.options.Metrics, "/quarantine").body, chargePath+`"`); blamed != c.blamed {
				t.Errorf("blamed: got %v", blamed)
			}
		})
	}
}

// gauge returns a metric of the gateway.
func (v *vm) gauge(t *testing.T, name string) int { return v.metric(t, "gateway", name) }

// metric returns a metric of a group.
func (v *vm) metric(t *testing.T, part, name string) int {
	t.Helper()

	var all map[string]json.RawMessage
	if err := json.Unmarshal([]byte(get(v.options.Metrics, "/metrics").body), &all); err != nil {
		t.Fatal(err)
	}

	var metrics map[string]int
	if err := json.Unmarshal(all[part], &metrics); err != nil {
		t.Fatal(err)
	}

	return metrics[name]
}

// waitReplica waits until the replica of an entry VM has all changes of the store.
func (f *fleet) waitReplica(t *testing.T, v *vm) {
	t.Helper()

	revision := f.store.Revision()
	cwtest.Wait(t, "the store's changes", func() bool { return v.gauge(t, "index") >= int(revision) })
}

// TestQuarantineKnown verifies that a quarantine is known to entry VMs that join later, to a
// fleet that restarts, and after an outage of the store.
func TestQuarantineKnown(t *testing.T) {
	f := newFleet(t)
	servers := newCrashingServers(t, f, 8, isPoison)
	f.configure(unsafeRoute())

	all := startAll(t, f, "vm-", carobward.SystemClock{})

	// During an outage of the store, records of crashes wait until it is back.
	f.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})

	for i := range 3 {
		all[0].sendPoison(fmt.Sprint("away", i))
	}

	f.store.SetFaults(cwstand.MetadataFaults{})
	waitQuarantined(t, all)

	joined := f.start(t, "vm-9")
	joined.waitReady(t)
	all = append(all, joined)

	before := servers.count()

	for i, v := range all {
		if got := v.sendPoison(fmt.Sprint("known", i)); !got.isQuarantined() || got.header.Get("Retry-After") == "" {
			t.Errorf("entry VM %d: %+v", i, got)
		}

		v.end()
	}

	f.mutex.Lock()
	f.vms = nil
	f.mutex.Unlock()

	for i, v := range startAll(t, f, "again-", carobward.SystemClock{}) {
		if got := v.sendPoison(fmt.Sprint("again", i)); !got.isQuarantined() {
			t.Errorf("entry VM %d after the restart of all: %+v", i, got)
		}
	}

	if n := servers.count() - before; n > 0 {
		t.Errorf("%d more servers crashed", n)
	}
}

// TestTrial verifies that only one of all entry VMs sends a quarantined request as a trial, and
// that all serve the request once a trial was answered.
func TestTrial(t *testing.T) {
	const trialAfter = 40 * time.Second

	var (
		healed atomic.Bool
		clock  shiftedClock
	)

	f := newFleet(t)
	servers := newCrashingServers(t, f, 8, func(r cwstand.Run) bool { return !healed.Load() && isPoison(r) })
	f.configure(unsafeRoute())

	all := startAll(t, f, "vm-", &clock)
	for i := range 3 {
		all[0].sendPoison(fmt.Sprint("first", i))
	}

	waitQuarantined(t, all)

	before := servers.count()

	// sendTogether sends the request to all entry VMs at once when a trial is due.
	sendTogether := func(name string) {
		clock.by.Add(int64(trialAfter))

		// With their clock put forward, the store seems to have been silent for that time.
		for _, v := range all {
			v.waitReady(t)
			cwtest.Wait(t, "a reply of the store", func() bool { return v.gauge(t, "fresh") < 1500 })
		}

		var group sync.WaitGroup

		for i, v := range all {
			for n := range 4 {
				group.Add(1)

				go func() {
					defer group.Done()

					v.sendPoison(fmt.Sprint(name, i, "-", n))
				}()
			}
		}

		group.Wait()
	}

	sendTogether("trial")

	if n := servers.count() - before; n != 1 {
		t.Errorf("%d servers crashed by one trial", n)
	}

	healed.Store(true)
	sendTogether("healed")

	for i, v := range all {
		cwtest.Wait(t, "an answer", func() bool { return v.sendPoison(fmt.Sprint("served", i)).status == http.StatusOK })
	}

	cwtest.Wait(t, "an empty store", func() bool { return len(f.store.Keys("carobward/crash/"))+len(f.store.Keys("carobward/trial/")) == 0 })
}

// TestTrialRefused has a server refuse the request of a trial. The trial must go on at another
// server: nothing has run, and the next trial is half a minute away.
func TestTrialRefused(t *testing.T) {
	const trialAfter = 4 * time.Second

	var clock shiftedClock

	f := newFleet(t)
	servers := newCrashingServers(t, f, 2, isPoison)
	f.configure(unsafeRoute())

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Clock = &clock
		startedLongAgo(o)
	})
	v.waitReady(t)

	for i := 0; len(v.quarantined()) == 0; i++ {
		v.sendPoison(fmt.Sprint("first", i))
	}

	cwtest.Wait(t, "both servers", func() bool { return v.gauge(t, "servers") == 2 })

	before := servers.count()
	servers.slots[0].server.SetMode(cwstand.UpstreamSheds, 0)
	servers.slots[1].server.SetLoad("3,0,4,100") // Makes the other server the preferred one.

	clock.by.Add(int64(trialAfter))
	cwtest.Wait(t, "a reply of the store", func() bool { return v.gauge(t, "fresh") < 1500 })
	cwtest.Wait(t, "the trial", func() bool {
		v.sendPoison(fmt.Sprint("trial", clock.Now().UnixNano()))

		return v.quarantined()[0].Trials == 1
	})

	if n := servers.count() - before; n != 1 || len(servers.slots[0].server.Refusals()) == 0 {
		t.Errorf("%d servers crashed by the trial, %d refusals", n, len(servers.slots[0].server.Refusals()))
	}
}

// TestLift verifies that operators see a quarantined request on any entry VM, and end its
// quarantine on all of them with one call.
func TestLift(t *testing.T) {
	var healed atomic.Bool

	f := newFleet(t)
	newCrashingServers(t, f, 8, func(r cwstand.Run) bool { return !healed.Load() && isPoison(r) })
	f.configure(unsafeRoute())

	all := startAll(t, f, "vm-", carobward.SystemClock{})
	for i := range 3 {
		all[0].sendPoison(fmt.Sprint("first", i))
	}

	waitQuarantined(t, all)
	healed.Store(true)

	list := all[1].quarantined()
	if len(list) != 1 || list[0].Request != "POST "+host+chargePath || len(list[0].Crashes) != 3 {
		t.Errorf("operators see the quarantined requests %+v", list)
	}

	for name, c := range map[string]struct {
		method, path string
		want         int
	}{
		"no fingerprint":  {http.MethodDelete, "/quarantine/17", http.StatusBadRequest},
		"another request": {http.MethodDelete, "/quarantine/" + strings.Repeat("0", 16) + list[0].Fingerprint[16:], http.StatusNotFound},
		"another method":  {http.MethodPost, "/quarantine", http.StatusMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			if got := call(c.method, all[2].options.Metrics, c.path); got.status != c.want {
				t.Errorf("unexpected answer %+v", got)
			}
		})
	}

	if got := call(http.MethodDelete, all[2].options.Metrics, "/quarantine/"+list[0].Fingerprint); got.status != http.StatusNoContent {
		t.Errorf("unexpected answer %+v", got)
	}

	for i, v := range all {
		cwtest.Wait(t, "an answer", func() bool { return v.sendPoison(fmt.Sprint("served", i)).status == http.StatusOK })
	}

	if diff := cmp.Diff([]string(nil), f.store.Keys("carobward/crash/")); diff != "" {
		t.Error(diff)
	}
}

// call sends one request to an operators' listener.
func call(method string, address carobward.Address, path string) answer {
	req, err := http.NewRequest(method, "http://"+string(address)+path, nil)
	if err != nil {
		return answer{err: err}
	}

	return do(req)
}

// TestOtherRequests sends other requests beside one that crashes servers, some of them the same
// again and again. None of them may be quarantined.
func TestOtherRequests(t *testing.T) {
	f := newFleet(t)
	servers := newCrashingServers(t, f, 16, isPoison)
	f.configure(safeRoute("fees"), unsafeRoute())

	all := startAll(t, f, "vm-", carobward.SystemClock{})

	for _, p := range servers.slots {
		p.server.SetMode(cwstand.UpstreamServes, 20*time.Millisecond)
	}

	var (
		group   sync.WaitGroup
		asked   atomic.Int64
		refused atomic.Int64
	)

	stop := make(chan struct{})

	for n := range 8 {
		group.Add(1)

		go func() {
			defer group.Done()

			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}

				got := all[(i+n)%len(all)].send(http.MethodGet, fmt.Sprint(readPath, n%2*i), fmt.Sprint("innocent", n, "-", i), "")
				asked.Add(1)

				if got.isQuarantined() {
					refused.Add(1)
				}
			}
		}()
	}

	ok := servers.sendUntilRefused(t, all, http.MethodPost, chargePath, poison, 60)
	close(stop)
	group.Wait()

	t.Logf("%d servers crashed, %d other requests, %d of them refused", servers.count(), asked.Load(), refused.Load())

	if n := refused.Load(); n > 0 || !ok {
		t.Errorf("%d of %d other requests were quarantined", n, asked.Load())
	}
}
