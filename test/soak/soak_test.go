// Package soak runs the real programs as separate processes, injects random faults, and
// checks what callers and servers see.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

var (
	seeds = flag.Int("seeds", 1, "how many seeds are run")
	first = flag.Uint64("first", 1, "the first seed")
	steps = flag.Int("steps", 24, "how many faults and changes a seed has")
)

// regressions are seeds that failed before and are always run, with the cause of the failure.
var regressions = map[uint64]string{
	1033: "a request that crashes servers crashed four more after all entry VMs had refused it; not traced",
}

const (
	vms     = 4
	servers = 5
	callers = 6
	domains = 3
	grace   = "2s"
	// workTime is the service time of a request, downTime the time from the crash of a
	// server's process to its restart.
	workTime = 2 * time.Millisecond
	downTime = 100 * time.Millisecond
	// poison is the path of requests that crash the process that runs them.
	poison = "/charge/poison"
)

// TestSoak runs all seeds in sequence.
func TestSoak(t *testing.T) {
	list := []uint64{}
	for s := range regressions {
		list = append(list, s)
	}

	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}

	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, seed) })
	}
}

// world is one run of the soak.
type world struct {
	*cwsite.Site

	random  *rand.Rand
	servers []*server
	// paths are those from entry VMs to servers.
	paths   *cwsite.Paths
	version int
	history *history
	// evacuated has the failure domains that are currently evacuated.
	evacuated map[carobward.Domain]bool
	// versions has the version of the configuration last seen at each process.
	versions map[*cwtest.Process]int
	// crashes is the number of server processes that crashed while they ran a request.
	crashes atomic.Int64
}

func run(t *testing.T, seed uint64) {
	w := &world{
		Site:   cwsite.New(t, grace),
		random: rand.New(rand.NewPCG(seed, seed)), history: newHistory(),
		evacuated: map[carobward.Domain]bool{}, versions: map[*cwtest.Process]int{},
	}

	w.paths = cwsite.NewPaths()

	for i := range servers {
		w.addServer(t, i)
	}

	w.configure()

	for range vms {
		v := w.Start(t)
		w.paths.Add(v)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	w.Store.Save()

	stop := make(chan struct{})

	var group conc.WaitGroup
	for i := range callers {
		group.Go(func() { w.sendRequests(i, stop) })
	}

	for range *steps {
		w.step(t)
		w.checkVersions(t)
	}

	w.heal(t)
	close(stop)
	group.Wait()
	w.history.check(t, w)
}

// invalidEntries are invalid values of keys in the store, as a faulty writer might leave them.
var invalidEntries = []string{"", "{}", "\x00", `{"address":"127.0.0.1:9","info":{"service":"records","zone":"a","slots":"4"}}`}

// configure writes the next configuration. A route that only this configuration has makes it
// distinguishable.
func (w *world) configure() {
	w.version++
	route := func(prefix, kind string) cwstand.MetadataRoute {
		return cwstand.MetadataRoute{"prefix": prefix, "kind": kind, "service": "records", "timeout": "1s"}
	}
	w.Store.Put("op/config", cwstand.MetadataConfig(w.version, host,
		route("/read/", "safe"), route("/charge/", "unsafe"), route(fmt.Sprintf("/version-%d/", w.version), "safe")))
}

// step makes one random change and waits for a random time.
func (w *world) step(t *testing.T) {
	t.Helper()

	s := w.servers[w.random.IntN(servers)]
	v := w.VMs[w.random.IntN(vms)]
	faults := []cwstand.ProxyFault{
		cwstand.ProxyPasses, cwstand.ProxyDelays, cwstand.ProxyLosesRequests, cwstand.ProxyLosesReplies, cwstand.ProxyResets,
	}

	evacuated := domain(w.random.IntN(domains))

	switch w.random.IntN(41) {
	case 0:
		w.configure()
	case 1:
		w.StoreProxy.SetFault(faults[w.random.IntN(len(faults))])
	case 2, 3:
		s.Proxy().SetFault(faults[w.random.IntN(len(faults))])
	case 4, 5:
		s.SetMode(cwstand.UpstreamMode(w.random.IntN(int(cwstand.UpstreamUnframed) + 1)))
	case 6:
		w.register(s, []string{"ready", "draining"}[w.random.IntN(2)])
	case 7:
		w.replace(t, v, syscall.SIGKILL)
	case 8:
		w.replace(t, v, syscall.SIGTERM)
	case 9:
		w.pause(t, v)
	case 10:
		s.Proxy().Blackhole()
	case 11:
		w.StoreProxy.Blackhole()
	case 12:
		w.Store.Put("servers/"+s.instance, []byte(invalidEntries[w.random.IntN(len(invalidEntries))]))
	case 13, 14:
		w.history.add(send(v, http.MethodPost, poison, newID()))
	case 15:
		w.evacuated[evacuated] = true
		w.Store.Put(evacuationKey(evacuated), []byte(invalidEntries[w.random.IntN(len(invalidEntries))]))
	case 16:
		delete(w.evacuated, evacuated)
		w.Store.Delete(evacuationKey(evacuated))
	case 17, 18:
		s.SetWarmup(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	case 19, 20:
		s.SetLimit(limits[w.random.IntN(len(limits))]...)
	case 21:
		for _, s := range w.servers {
			s.SetLimit(limits[w.random.IntN(len(limits))]...)
		}
	case 22, 23:
		w.Store.Save()
	case 24, 25:
		w.Store.Restore()
	case 26, 27:
		w.rewriteStore()
	case 28, 29, 30:
		s.SetHeaders(replyHeaders[w.random.IntN(len(replyHeaders))]...)
	case 31:
		for _, s := range w.servers {
			s.SetHeaders(replyHeaders[w.random.IntN(len(replyHeaders))]...)
		}
	case 32, 33, 34, 35:
		w.cutSome()
	case 36, 37:
		w.paths.Mend()
	case 38, 39:
		w.restartSeries(t)
	case 40:
		w.shedAll()
	}

	<-time.After(time.Duration(50+w.random.IntN(300)) * time.Millisecond)
}

// replace sends SIGHUP and then a signal that ends the process of an entry VM, and starts the
// next one.
func (w *world) replace(t *testing.T, v *cwsite.EntryVM, s syscall.Signal) {
	t.Helper()

	p := v.Process()
	p.Signal(t, syscall.SIGHUP)
	p.Signal(t, s)

	if err := p.Wait(t); err != nil && s == syscall.SIGTERM {
		t.Errorf("%s ended with %v after SIGTERM", v.ID, err)
	}

	w.Restart(t, v)
}

// pause stops the process of an entry VM for a random time.
func (w *world) pause(t *testing.T, v *cwsite.EntryVM) {
	t.Helper()

	const maxMillis = 1500

	v.Process().Signal(t, syscall.SIGSTOP)
	<-time.After(time.Duration(w.random.IntN(maxMillis)) * time.Millisecond)
	v.Process().Signal(t, syscall.SIGCONT)
}

// heal removes all faults and checks that each entry VM gets the newest configuration and
// serves requests again.
func (w *world) heal(t *testing.T) {
	t.Helper()

	w.StoreProxy.SetFault(cwstand.ProxyPasses)
	w.paths.Mend()

	for _, s := range w.servers {
		s.Proxy().SetFault(cwstand.ProxyPasses)
		s.SetMode(cwstand.UpstreamServes)
		s.SetLimit()
		s.SetHeaders()
		s.SetShed(0)
		w.registerRestart(s)
	}

	for i := range domains {
		w.Store.Delete(evacuationKey(domain(i)))
	}

	w.configure()

	for _, v := range w.VMs {
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
		cwtest.Wait(t, v.ID+" has the newest configuration and serves", func() bool {
			return send(v, http.MethodGet, fmt.Sprintf("/version-%d/", w.version), newID()).status == http.StatusOK
		})
	}

	w.checkLimit(t)
	w.checkEvacuation(t)
	w.checkPoison(t)

	relayed := 0

	for _, v := range w.VMs {
		text := v.Process().Output()
		relayed += strings.Count(text, "Passed a request to another entry VM.")

		if strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			t.Errorf("%s panicked or has a data race: %s", v.ID, text)
		}
	}

	t.Logf("%d requests were passed from one entry VM to another by the last processes", relayed)
}

// checkPoison sends the request that crashes servers through each entry VM until all of them
// refuse it, and checks that no more than three later sends crash a server. The rule is that
// after the third crash at most three sends reach servers, apart from those sent before all
// entry VMs know of the crashes. All other faults must have been removed before.
func (w *world) checkPoison(t *testing.T) {
	t.Helper()

	const (
		tries      = 40
		maxCrashes = 3
	)

	for _, v := range w.VMs {
		cwtest.Wait(t, v.ID+" refuses the request that crashes servers", func() bool {
			return send(v, http.MethodPost, poison, newID()).status == http.StatusServiceUnavailable
		})
	}

	before := w.crashes.Load()

	for i := range tries {
		w.history.add(send(w.VMs[i%vms], http.MethodPost, poison, newID()))
	}

	if n := w.crashes.Load() - before; n > maxCrashes {
		t.Errorf("%d servers had crashed when all entry VMs refused the request, and it crashed %d more", before, n)
	}

	t.Logf("%d servers crashed, %d of them after all entry VMs had refused the request", w.crashes.Load(), w.crashes.Load()-before)
}
