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

// shifted is a clock that can be put forward.
type shifted struct{ by atomic.Int64 }

func (s *shifted) Now() time.Time { return time.Now().Add(time.Duration(s.by.Load())) }

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

// charge is a request that ends servers, refused once it is quarantined.
func (v *vm) charge(id string) answer { return v.ask(http.MethodPost, charging, id, poison) }

func (a *answer) isQuarantined() bool {
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "servers ended under this request")
}

// waitQuarantined waits until an entry VM refuses the request that ends servers,
// without sending it.
func waitQuarantined(t *testing.T, all []*vm) {
	t.Helper()

	for _, v := range all {
		cwtest.Wait(t, "the quarantine", func() bool { return len(v.quarantined()) > 0 })
	}
}

// listed is one request as the operators' page has it.
type listed struct {
	Print   string `json:"print"`
	Request string `json:"request"`
	Held    bool   `json:"held"`
	Trials  int    `json:"trials"`
	Crashes []any  `json:"crashes"`
}

// quarantined returns what the operators' page of an entry VM lists as quarantined.
func (v *vm) quarantined() []listed {
	var all, held []listed

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

// TestBlame has the ways in which a request breaks off against whether it is blamed
// for the end of its server.
func TestBlame(t *testing.T) {
	const last = charging + "last"

	for name, c := range map[string]struct {
		way cwstand.UpstreamMode
		// fatal tells that the server ends, leaves that the list said so before.
		fatal, leaves bool
		blamed        bool
	}{
		"the process ends":           {cwstand.UpstreamServes, true, false, true},
		"a process that leaves ends": {cwstand.UpstreamServes, true, true, false},
		"it resets the connection":   {cwstand.UpstreamResets, false, false, false},
		"it is silent":               {cwstand.UpstreamSilent, false, false, false},
		"it cuts its answer":         {cwstand.UpstreamTruncates, false, false, false},
		"it fails":                   {cwstand.UpstreamFails, false, false, false},
		"it refuses, having run":     {cwstand.UpstreamRefuses, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			begun, goOn := make(chan struct{}, 1), make(chan struct{})

			servers := newCrashing(t, f, 1, func(r cwstand.Run) bool {
				if r.URI == last {
					return true
				}

				begun <- struct{}{}
				<-goOn

				return c.fatal
			})
			servers.places[0].server.SetMode(c.way, 0)
			f.configure(unsafe())

			v := f.start(t, "vm-1")
			v.waitReady(t)

			ends := make(chan answer, 1)
			go func() { ends <- v.askWithin(http.MethodPost, charging, "one", "", 400) }()

			<-begun

			if c.leaves {
				f.store.Delete("servers/" + servers.places[0].instance())
				cwtest.Wait(t, "the removal", func() bool { return v.gauge(t, "servers") == 0 })
			}

			close(goOn)
			<-ends

			// One that is certain to be blamed, and shared after the first.
			cwtest.Wait(t, "the last crash", func() bool {
				v.ask(http.MethodPost, last, "last", "")

				return strings.Contains(get(v.options.Metrics, "/quarantine").body, last)
			})

			if blamed := strings.Contains(get(v.options.Metrics, "/quarantine").body, charging+`"`); blamed != c.blamed {
				t.Errorf("blamed: %v", blamed)
			}
		})
	}
}

// gauge returns a metric of the gateway.
func (v *vm) gauge(t *testing.T, name string) int { return v.metric(t, "gateway", name) }

// metric returns a metric of a part.
func (v *vm) metric(t *testing.T, part, name string) int {
	t.Helper()

	var all map[string]json.RawMessage
	if err := json.Unmarshal([]byte(get(v.options.Metrics, "/metrics").body), &all); err != nil {
		t.Fatal(err)
	}

	var of map[string]int
	if err := json.Unmarshal(all[part], &of); err != nil {
		t.Fatal(err)
	}

	return of[name]
}

// waitCopy waits until an entry VM has what the store has now.
func (f *fleet) waitCopy(t *testing.T, v *vm) {
	t.Helper()

	revision := f.store.Revision()
	cwtest.Wait(t, "the store's changes", func() bool { return v.gauge(t, "index") >= int(revision) })
}

// TestQuarantineKnown wants the quarantine to be known to entry VMs that come later,
// to a fleet that starts again, and after an outage of the store.
func TestQuarantineKnown(t *testing.T) {
	f := newFleet(t)
	servers := newCrashing(t, f, 8, isPoison)
	f.configure(unsafe())

	all := startAll(t, f, "vm-", carobward.SystemClock{})

	// The store is away while servers end: what was seen waits for it.
	f.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})

	for i := range 3 {
		all[0].charge(fmt.Sprint("away", i))
	}

	f.store.SetFaults(cwstand.MetadataFaults{})
	waitQuarantined(t, all)

	newcomer := f.start(t, "vm-9")
	newcomer.waitReady(t)
	all = append(all, newcomer)

	before := servers.count()

	for i, v := range all {
		if got := v.charge(fmt.Sprint("known", i)); !got.isQuarantined() || got.header.Get("Retry-After") == "" {
			t.Errorf("entry VM %d: %+v", i, got)
		}

		v.end()
	}

	f.mutex.Lock()
	f.vms = nil
	f.mutex.Unlock()

	for i, v := range startAll(t, f, "again-", carobward.SystemClock{}) {
		if got := v.charge(fmt.Sprint("again", i)); !got.isQuarantined() {
			t.Errorf("entry VM %d after all have started again: %+v", i, got)
		}
	}

	if n := servers.count() - before; n > 0 {
		t.Errorf("%d more servers ended", n)
	}
}

// TestTrial wants a quarantined request to be sent by one entry VM of all once in a
// while, and to be served by all once that was answered.
func TestTrial(t *testing.T) {
	const trialAfter = 40 * time.Second

	var (
		healed atomic.Bool
		clock  shifted
	)

	f := newFleet(t)
	servers := newCrashing(t, f, 8, func(r cwstand.Run) bool { return !healed.Load() && isPoison(r) })
	f.configure(unsafe())

	all := startAll(t, f, "vm-", &clock)
	for i := range 3 {
		all[0].charge(fmt.Sprint("first", i))
	}

	waitQuarantined(t, all)

	before := servers.count()

	// askTogether has all entry VMs ask for the trial at the same moment.
	askTogether := func(name string) {
		clock.by.Add(int64(trialAfter))

		// To each of them the store has been silent for that time.
		for _, v := range all {
			v.waitReady(t)
			cwtest.Wait(t, "a word of the store", func() bool { return v.gauge(t, "fresh") < 1500 })
		}

		var group sync.WaitGroup

		for i, v := range all {
			for n := range 4 {
				group.Add(1)

				go func() {
					defer group.Done()

					v.charge(fmt.Sprint(name, i, "-", n))
				}()
			}
		}

		group.Wait()
	}

	askTogether("trial")

	if n := servers.count() - before; n != 1 {
		t.Errorf("%d servers ended by one trial", n)
	}

	healed.Store(true)
	askTogether("healed")

	for i, v := range all {
		cwtest.Wait(t, "an answer", func() bool { return v.charge(fmt.Sprint("served", i)).status == http.StatusOK })
	}

	cwtest.Wait(t, "an empty store", func() bool { return len(f.store.Keys("carobward/crash/"))+len(f.store.Keys("carobward/trial/")) == 0 })
}

// TestTrialRefused has the server refuse that gets the send of a trial, and wants the trial to
// go to another one: nothing has run, and the next trial is half a minute away.
func TestTrialRefused(t *testing.T) {
	const trialAfter = 4 * time.Second

	var clock shifted

	f := newFleet(t)
	servers := newCrashing(t, f, 2, isPoison)
	f.configure(unsafe())

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Clock = &clock })
	v.waitReady(t)

	for i := 0; len(v.quarantined()) == 0; i++ {
		v.charge(fmt.Sprint("first", i))
	}

	cwtest.Wait(t, "both servers", func() bool { return v.gauge(t, "servers") == 2 })

	before := servers.count()
	servers.places[0].server.SetMode(cwstand.UpstreamSheds, 0)
	servers.places[1].server.SetLoad("3,0,4,100") // The other one is the first choice.

	clock.by.Add(int64(trialAfter))
	cwtest.Wait(t, "a word of the store", func() bool { return v.gauge(t, "fresh") < 1500 })
	cwtest.Wait(t, "the trial", func() bool {
		v.charge(fmt.Sprint("trial", clock.Now().UnixNano()))

		return v.quarantined()[0].Trials == 1
	})

	if n := servers.count() - before; n != 1 || len(servers.places[0].server.Refusals()) == 0 {
		t.Errorf("%d servers ended by the trial, %d refused it", n, len(servers.places[0].server.Refusals()))
	}
}

// TestLift wants an operator to see a quarantined request on any entry VM, and to end
// its quarantine on all by one call.
func TestLift(t *testing.T) {
	var healed atomic.Bool

	f := newFleet(t)
	newCrashing(t, f, 8, func(r cwstand.Run) bool { return !healed.Load() && isPoison(r) })
	f.configure(unsafe())

	all := startAll(t, f, "vm-", carobward.SystemClock{})
	for i := range 3 {
		all[0].charge(fmt.Sprint("first", i))
	}

	waitQuarantined(t, all)
	healed.Store(true)

	list := all[1].quarantined()
	if len(list) != 1 || list[0].Request != "POST "+host+charging || len(list[0].Crashes) != 3 {
		t.Errorf("%+v", list)
	}

	for name, c := range map[string]struct {
		method, path string
		want         int
	}{
		"no print":        {http.MethodDelete, "/quarantine/17", http.StatusBadRequest},
		"another request": {http.MethodDelete, "/quarantine/" + strings.Repeat("0", 16) + list[0].Print[16:], http.StatusNotFound},
		"another method":  {http.MethodPost, "/quarantine", http.StatusMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			if got := call(c.method, all[2].options.Metrics, c.path); got.status != c.want {
				t.Errorf("%+v", got)
			}
		})
	}

	if got := call(http.MethodDelete, all[2].options.Metrics, "/quarantine/"+list[0].Print); got.status != http.StatusNoContent {
		t.Errorf("%+v", got)
	}

	for i, v := range all {
		cwtest.Wait(t, "an answer", func() bool { return v.charge(fmt.Sprint("served", i)).status == http.StatusOK })
	}

	if diff := cmp.Diff([]string(nil), f.store.Keys("carobward/crash/")); diff != "" {
		t.Error(diff)
	}
}

// call makes one call to an operators' listener.
func call(method string, address carobward.Address, path string) answer {
	req, err := http.NewRequest(method, "http://"+string(address)+path, nil)
	if err != nil {
		return answer{err: err}
	}

	return do(req)
}

// TestInnocents sends innocent requests beside one that ends servers, some of them the
// same again and again, and wants none of them to be refused for it.
func TestInnocents(t *testing.T) {
	f := newFleet(t)
	servers := newCrashing(t, f, 16, isPoison)
	f.configure(safe("fees"), unsafe())

	all := startAll(t, f, "vm-", carobward.SystemClock{})

	for _, p := range servers.places {
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

				got := all[(i+n)%len(all)].ask(http.MethodGet, fmt.Sprint(reading, n%2*i), fmt.Sprint("innocent", n, "-", i), "")
				asked.Add(1)

				if got.isQuarantined() {
					refused.Add(1)
				}
			}
		}()
	}

	ok := servers.askAll(t, all, http.MethodPost, charging, poison, 60)
	close(stop)
	group.Wait()

	t.Logf("%d servers ended, %d innocent requests, %d refused", servers.count(), asked.Load(), refused.Load())

	if n := refused.Load(); n > 0 || !ok {
		t.Errorf("%d of %d innocent requests were refused for those that end servers", n, asked.Load())
	}
}
