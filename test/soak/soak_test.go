// Package soak runs the real programs as separate processes, harms them from
// outside at random, and checks what callers and servers see.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

var (
	seeds = flag.Int("seeds", 1, "how many seeds are run")
	first = flag.Uint64("first", 1, "the first seed")
	steps = flag.Int("steps", 24, "how many faults and changes a seed has")
)

// regressions has the seeds that failed once, with the cause.
var regressions = map[uint64]string{}

const (
	vms     = 4
	servers = 5
	callers = 6
	network = 42
	grace   = "2s"
)

// TestSoak runs the seeds one after the other.
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
	version int
	history *history
}

// server is a backend server behind a proxy.
type server struct {
	*cwstand.Upstream

	instance string
	proxy    *cwstand.Proxy
}

func run(t *testing.T, seed uint64) {
	w := &world{
		Site:   cwsite.New(t, network, grace),
		random: rand.New(rand.NewPCG(seed, seed)), history: newHistory(),
	}

	for i := range servers {
		w.addServer(t, i)
	}

	w.configure()

	for range vms {
		v := w.Start(t)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	stop := make(chan struct{})

	var group conc.WaitGroup
	for i := range callers {
		group.Go(func() { w.call(i, stop) })
	}

	for range *steps {
		w.step(t)
	}

	w.heal(t)
	close(stop)
	group.Wait()
	w.history.check(t, w)
}

// addServer starts a server and registers it.
func (w *world) addServer(t *testing.T, i int) {
	t.Helper()

	s := &server{instance: fmt.Sprintf("i-%d", i), Upstream: cwstand.NewUpstream(cwtest.Listen(t), serverName(i))}
	s.proxy = cwstand.NewProxy(cwtest.Listen(t), s.Address())
	s.Set(cwstand.UpstreamServes, 2*time.Millisecond)
	t.Cleanup(s.Close)
	t.Cleanup(s.proxy.Close)
	w.servers = append(w.servers, s)
	w.register(s, "ready")
}

func (w *world) register(s *server, state string) {
	w.Store.Put("servers/"+s.instance, cwstand.MetadataServer("records", s.proxy.Address(), "zone-1", state))
}

// configure writes the next configuration, with a route of its own by which it
// can be told from others.
func (w *world) configure() {
	w.version++
	route := func(prefix, kind string) cwstand.MetadataRoute {
		return cwstand.MetadataRoute{"prefix": prefix, "kind": kind, "service": "records", "timeout": "1s"}
	}
	w.Store.Put("op/config", cwstand.MetadataConfig(w.version, host,
		route("/read/", "safe"), route("/charge/", "unsafe"), route(fmt.Sprintf("/version-%d/", w.version), "safe")))
}

// step does one thing at random and lets it last for a while.
func (w *world) step(t *testing.T) {
	t.Helper()

	s := w.servers[w.random.IntN(servers)]
	v := w.All[w.random.IntN(vms)]
	faults := []cwstand.ProxyFault{
		cwstand.ProxyPasses, cwstand.ProxyDelays, cwstand.ProxyLosesRequests, cwstand.ProxyLosesReplies, cwstand.ProxyResets,
	}

	switch w.random.IntN(12) {
	case 0:
		w.configure()
	case 1:
		w.StoreProxy.Set(faults[w.random.IntN(len(faults))])
	case 2, 3:
		s.proxy.Set(faults[w.random.IntN(len(faults))])
	case 4, 5:
		s.Set(cwstand.UpstreamWay(w.random.IntN(int(cwstand.UpstreamUnframed)+1)), 2*time.Millisecond)
	case 6:
		w.register(s, []string{"ready", "draining"}[w.random.IntN(2)])
	case 7:
		w.replace(t, v, syscall.SIGKILL)
	case 8:
		w.replace(t, v, syscall.SIGTERM)
	case 9:
		w.pause(t, v)
	case 10:
		s.proxy.Silence()
	case 11:
		w.StoreProxy.Silence()
	}

	<-time.After(time.Duration(50+w.random.IntN(300)) * time.Millisecond)
}

// replace ends a process and starts the next one.
func (w *world) replace(t *testing.T, v *cwsite.Gateway, s syscall.Signal) {
	t.Helper()

	p := v.Process()
	p.Signal(t, syscall.SIGHUP)
	p.Signal(t, s)

	if err := p.Wait(t); err != nil && s == syscall.SIGTERM {
		t.Errorf("%s ended with %v after SIGTERM", v.ID, err)
	}

	w.Restart(t, v)
}

// pause freezes a process for a while.
func (w *world) pause(t *testing.T, v *cwsite.Gateway) {
	t.Helper()

	const longest = 1500

	v.Process().Signal(t, syscall.SIGSTOP)
	<-time.After(time.Duration(w.random.IntN(longest)) * time.Millisecond)
	v.Process().Signal(t, syscall.SIGCONT)
}

// heal ends all faults and wants the newest configuration to be in force on
// each entry VM, and requests to be served again.
func (w *world) heal(t *testing.T) {
	t.Helper()

	w.StoreProxy.Set(cwstand.ProxyPasses)

	for _, s := range w.servers {
		s.proxy.Set(cwstand.ProxyPasses)
		s.Set(cwstand.UpstreamServes, 2*time.Millisecond)
		w.register(s, "ready")
	}

	w.configure()

	for _, v := range w.All {
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
		cwtest.Wait(t, v.ID+" has the newest configuration and serves", func() bool {
			return send(v, http.MethodGet, fmt.Sprintf("/version-%d/", w.version), newID()).status == http.StatusOK
		})
	}

	for _, v := range w.All {
		if text := v.Process().Output(); strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			t.Errorf("%s: %s", v.ID, text)
		}
	}
}
