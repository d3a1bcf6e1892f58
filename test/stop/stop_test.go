// Package stop stops entry VMs, each in a process of its own, while callers send requests in each
// way and at each moment, and checks what became of every request.
package stop

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

const (
	host = "club.example"
	// manyServers is enough for the requests of all moments, fewServers for those of relayed plays,
	// where each new connection to a server takes long to attribute.
	manyServers = 32
	fewServers  = 8
	// timeout is the time limit of all requests, of their callers and by their routes.
	timeout = 2 * time.Second
)

// works are the times that the work of a request takes, by the first part of its path.
var works = map[string]time.Duration{"short": 10 * time.Millisecond, "medium": 300 * time.Millisecond, "long": timeout * 9 / 10}

// play is one stop of an entry VM.
type play struct {
	*cwsite.Site

	grace    time.Duration
	requests []*request

	// stops has when each entry VM that is stopped gets its signal, counted from the first one.
	stops map[int]time.Duration

	mutex sync.Mutex
	// ran and done are the requests that a server has begun and finished.
	ran  map[carobward.RequestID]bool
	done map[carobward.RequestID]bool
	// stopped is when the first signal was sent.
	stopped time.Time
	servers []*cwstand.Upstream
	// paths are those from entry VMs to servers.
	paths *cwsite.Paths
}

// maxPlays is how many plays there are at once: each takes some 2,000 descriptors of this process, of which a
// usual limit allows 20,000.
const maxPlays = 4

// playing holds a value for each play that goes on.
var playing = make(chan struct{}, maxPlays)

// newPlay starts a site with some servers and entry VMs, of which the first one is to be stopped.
func newPlay(t *testing.T, grace time.Duration, servers, vms int) *play {
	t.Helper()

	playing <- struct{}{}

	t.Cleanup(func() { <-playing })

	p := &play{
		Site: cwsite.New(t, grace.String()), grace: grace, stops: map[int]time.Duration{0: 0}, paths: cwsite.NewPaths(),
		ran: map[carobward.RequestID]bool{}, done: map[carobward.RequestID]bool{},
	}

	for i := range servers {
		u := cwstand.NewUpstream(cwtest.Listen(t), carobward.Instance(fmt.Sprint("i-", i)))
		t.Cleanup(u.Close)
		u.SetWorkOf(p.work)
		p.servers = append(p.servers, u)

		proxy := cwstand.NewProxy(cwtest.Listen(t), u.Address())
		t.Cleanup(proxy.Close)
		proxy.SetSources(p.paths)
		p.Store.Put(fmt.Sprint("servers/i-", i), cwstand.ServerEntry("records", proxy.Address(), "zone-1", "ready"))
	}

	p.configure(1)

	for range vms {
		v := p.Start(t)
		p.paths.Add(v)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	return p
}

// configure writes a configuration with a route for each kind of work.
func (p *play) configure(version int) {
	var routes []cwstand.MetadataRoute

	for name, work := range works {
		for _, kind := range []string{"safe", "unsafe"} {
			routes = append(routes, cwstand.MetadataRoute{
				"prefix": "/" + name + "/" + kind + "/", "kind": kind, "service": "records", "timeout": timeout.String(), "target_latency": (2 * work).String(), "priority": 0,
			})
		}
	}

	p.Store.Put("op/config", cwstand.MetadataConfig(version, host, routes...))
}

// work records a run at a server and returns how long it takes.
func (p *play) work(r cwstand.Run) time.Duration {
	work := works[strings.Split(r.URI, "/")[1]]

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.ran[carobward.RequestID(r.ID)] = true
	time.AfterFunc(work, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		p.done[carobward.RequestID(r.ID)] = true
	})

	return work
}

// add adds a request to each entry VM that stops, at a moment after its signal.
func (p *play) add(work, kind string, use connUse, after time.Duration) {
	method := map[string]string{"safe": http.MethodGet, "unsafe": http.MethodPost}[kind]

	for i, at := range p.stops {
		p.requests = append(p.requests, &request{
			id: carobward.RequestID(fmt.Sprintf("r%d", len(p.requests))), method: method, path: "/" + work + "/" + kind + "/", use: use,
			to: p.VMs[i].Callers, signal: at, after: after, timeout: timeout,
		})
	}
}

// addAll adds requests of each kind and duration on connections in the given uses, at all moments of
// a stop.
func (p *play) addAll(uses ...connUse) {
	for _, after := range moments(p.grace) {
		for _, use := range uses {
			for work := range works {
				p.add(work, "safe", use, after)
				p.add(work, "unsafe", use, after)
			}
		}
	}
}

// addFew adds fewer of them, and enough that one is always in progress.
func (p *play) addFew() {
	const interval = 150 * time.Millisecond

	for after := time.Duration(0); after < p.grace; after += interval {
		p.add("medium", "unsafe", onIdle, after)
	}

	for _, after := range moments(p.grace) {
		p.add("short", "safe", onSlowBody, after)
	}
}

// run stops entry VMs and sends the requests. Beside is called right before the first signal.
func (p *play) run(t *testing.T, beside func()) {
	t.Helper()

	var group sync.WaitGroup

	for _, r := range p.requests {
		group.Go(func() {
			if err := r.prepare(); err != nil {
				t.Errorf("%s on %s: %v", r.id, r.use, err)
			}
		})
	}

	group.Wait()
	beside()

	p.stopped = time.Now()

	for i, at := range p.stops {
		p.at(at, func() { p.VMs[i].Process().Signal(t, syscall.SIGTERM) })
	}

	for _, r := range p.requests {
		group.Go(func() {
			<-time.After(time.Until(p.stopped.Add(r.signal + r.after)))
			r.send()
			r.close()
		})
	}

	group.Wait()

	for i := range p.stops {
		if err := p.VMs[i].Process().Wait(t); err != nil {
			t.Errorf("the process of %s ended with %v", p.VMs[i].ID, err)
		}
	}
}

// cut cuts the paths of the first entry VM to all servers, and waits until it passes its requests on.
func (p *play) cut(t *testing.T) {
	t.Helper()

	p.paths.Cut(p.VMs[0], cwstand.ProxyLosesAll)

	r := &request{method: http.MethodPost, path: "/short/unsafe/", use: onNew, to: p.VMs[0].Callers, timeout: timeout}

	cwtest.Wait(t, "requests to be passed on", func() bool {
		r.id = carobward.RequestID(fmt.Sprint("cut-", time.Now().UnixNano()))
		r.conn = nil
		r.send()
		r.close()

		return strings.Contains(p.VMs[0].Process().Output(), "Passed a request to another entry VM") && r.reply != nil && r.reply.status == http.StatusOK
	})
}

// at calls f at a time after the first signal.
func (p *play) at(after time.Duration, f func()) {
	if after == 0 {
		f()
	} else {
		time.AfterFunc(after, f)
	}
}

// The fates of a request.
const (
	answered = "answered"
	refused  = "refused"
	unread   = "not read"
	excused  = "excused"
	lost     = "LOST"
)

// The parts of the grace period that matter to a request that is cut while its server is at work.
const (
	// earliestCut is the share of the grace period after which a request may be cut.
	earliestCut = 5.0 / 6
	// lastSent is how long after the signal it may have been sent.
	lastSent = 3 * time.Second
)

// fate returns what became of a request, and why it is lost.
func (p *play) fate(r *request) (string, string) {
	p.mutex.Lock()
	ran, done, ranBefore := p.ran[r.id], p.done[r.id], p.ran[r.first()]
	p.mutex.Unlock()

	if ranBefore && r.before == nil {
		return lost, fmt.Sprintf("the request before it on its connection was cut: %v", r.err)
	}

	if r.reply == nil {
		switch signal := p.stopped.Add(r.signal); {
		case !ran:
			return unread, ""
		case !done && r.sent.Sub(signal) <= lastSent && r.ended.Sub(signal) >= time.Duration(earliestCut*float64(p.grace)):
			return excused, ""
		default:
			return lost, fmt.Sprintf("cut %s after the signal: %v", r.ended.Sub(signal), r.err)
		}
	}

	status, h := r.reply.status, r.reply.header

	_, stops := p.stops[slices.IndexFunc(p.VMs, func(v *cwsite.EntryVM) bool { return v.Callers == r.to })]

	switch {
	case h.Get("Response-Seal") == "s."+string(r.id):
		return answered, ""
	case ran && status == http.StatusGatewayTimeout && r.ended.Sub(r.sent) >= timeout:
		return excused, ""
	case status != http.StatusServiceUnavailable && status != http.StatusRequestTimeout || ran:
		return lost, fmt.Sprintf("status %d of the entry VM in place of its server's, ran %v", status, ran)
	case h.Get("Retry-After") == "" || stops && !r.reply.closes:
		return lost, fmt.Sprintf("refused without a time to come back or on a connection that stays open: %v", h)
	case r.after+timeout < p.grace/2 && strings.Contains(r.reply.body, "stopping"):
		return lost, "refused although there was time for the answer"
	default:
		return refused, ""
	}
}

// check checks the fate of all requests.
func (p *play) check(t *testing.T) {
	t.Helper()

	fates := map[string]int{}

	for _, r := range p.requests {
		fate, why := p.fate(r)
		fates[fate]++

		if fate == lost {
			t.Errorf("%s %s on a connection that is %s, sent %s after the signal: %s", r.method, r.path, r.use, r.after, why)
		}
	}

	t.Logf("%d requests: %v", len(p.requests), fates)
}

// moments returns the moments of a stop at which requests are sent: steps of a tenth of the grace
// period, and around those at which an entry VM changes what it does.
func moments(grace time.Duration) []time.Duration {
	var list []time.Duration

	for i := range 11 {
		list = append(list, grace*time.Duration(i)/10)
	}

	const around = 20 * time.Millisecond

	for _, share := range []float64{0.7, 0.9, 0.93} {
		at := time.Duration(share * float64(grace))
		list = append(list, at-around, at+around)
	}

	return list
}

// TestStopLosesNothing guards against requests that a stopping entry VM reads, passes on and then
// cuts because its process ends.
func TestStopLosesNothing(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()

			p := newPlay(t, grace, manyServers, 2)
			p.addAll(onNew, onIdle, onPipeline, onSlowBody)
			p.run(t, func() {})
			p.check(t)
		})
	}
}

// TestStopBeside guards against the same while something else happens.
func TestStopBeside(t *testing.T) {
	const grace = 6 * time.Second

	signal := func(t *testing.T, p *play, s syscall.Signal) { p.VMs[0].Process().Signal(t, s) }

	for name, c := range map[string]struct {
		// stops are further entry VMs that stop, and when.
		stops map[int]time.Duration
		// beside is called right before the signal.
		beside func(t *testing.T, p *play)
	}{
		"the settings are reloaded": {beside: func(t *testing.T, p *play) { signal(t, p, syscall.SIGHUP) }},
		"a second signal":           {beside: func(t *testing.T, p *play) { time.AfterFunc(grace/2, func() { signal(t, p, syscall.SIGTERM) }) }},
		"the store is away":         {beside: func(_ *testing.T, p *play) { p.StoreProxy.SetFault(cwstand.ProxyResets) }},
		"a new configuration": {beside: func(_ *testing.T, p *play) {
			p.configure(2)
			time.AfterFunc(grace/2, func() { p.configure(3) })
		}},
		"all stop at once":         {stops: map[int]time.Duration{1: 0}},
		"all stop, a second apart": {stops: map[int]time.Duration{1: time.Second}},
		"half of the servers fail": {beside: func(_ *testing.T, p *play) {
			for _, u := range p.servers[:len(p.servers)/2] {
				u.SetMode(cwstand.UpstreamFails, 0)
			}
		}},
		"replies without a length":  {beside: func(_ *testing.T, p *play) { p.setReplies(cwstand.UpstreamUnframed) }},
		"replies that are streamed": {beside: func(_ *testing.T, p *play) { p.setReplies(cwstand.UpstreamServes) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			p := newPlay(t, grace, manyServers, 2)
			maps.Copy(p.stops, c.stops)
			p.addAll(onNew, onIdle, onPipeline, onSlowBody)
			p.run(t, func() {
				if c.beside != nil {
					c.beside(t, p)
				}
			})
			p.check(t)
		})
	}
}

// TestRelayedStop guards against the same where the first entry VM reaches no server and passes its
// requests on. It runs alone: to find out who opened a connection takes longer among others.
func TestRelayedStop(t *testing.T) {
	for name, stops := range map[string]map[int]time.Duration{
		"the one that passes on": {0: 0}, "one that takes": {1: 0}, "both": {0: 0, 1: 0}, "all": {0: 0, 1: time.Second, 2: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t, 6*time.Second, fewServers, 3)
			p.cut(t)
			p.addFew() // To the first entry VM.

			p.stops = stops
			p.run(t, func() {})
			p.check(t)
		})
	}
}

// setReplies makes the servers answer in a mode with a body that is streamed.
func (p *play) setReplies(mode cwstand.UpstreamMode) {
	const size = 256 << 10

	for _, u := range p.servers {
		u.SetMode(mode, 0)
		u.SetBody(strings.Repeat("a", size))
	}
}

// TestStopDuringStart guards against the same in a process that is stopped while it starts and holds
// requests until it has its copy of the store.
func TestStopDuringStart(t *testing.T) {
	t.Parallel()

	p := newPlay(t, 2*time.Second, manyServers, 2)
	p.StoreProxy.SetFault(cwstand.ProxyLosesAll)

	v := p.Start(t)
	p.stops = map[int]time.Duration{len(p.VMs) - 1: 0}

	cwtest.Wait(t, "the callers' listener", func() bool {
		c, err := net.Dial("tcp", string(v.Callers))
		if err == nil {
			_ = c.Close()
		}

		return err == nil
	})

	p.addAll(onNew, onSlowBody)
	p.run(t, func() {})
	p.check(t)
}
