// Package delivery stops entry VMs, each in a process of its own, while callers with links of many kinds
// read answers, and checks that every answer of a server arrives whole.
package delivery

import (
	"fmt"
	"maps"
	"slices"
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
	// timeout is the time limit of all requests, of their callers and by their routes.
	timeout     = 25 * time.Second
	dialTimeout = time.Second
	servers     = 32
	// before is for how long callers send requests before the first signal.
	before = 500 * time.Millisecond
	// endShare is the share of the grace period at which an entry VM's process ends at the latest.
	endShare = 0.93
)

// play is one stop of one or several entry VMs.
type play struct {
	*cwsite.Site

	grace time.Duration
	// stops has when each entry VM gets its signal, counted from the first one, to the entry VMs that
	// callers use: the same ones, or the first one if none stops.
	stops []time.Duration
	to    []int
	// goes makes each machine go with its process.
	goes bool

	servers []*cwstand.Upstream
	paths   *cwsite.Paths
	links   [][]*cwstand.Link
	callers []*caller
	took    []time.Duration

	mutex sync.Mutex
	// answers has what servers answer by the first part of a request's id, ran and answered the
	// requests that they have begun and answered.
	answers       map[string]answer
	ran, answered map[carobward.RequestID]bool
	// signal is when the first signal is sent.
	signal time.Time
}

// newPlay starts a site with servers and entry VMs, of which those that stop come first.
func newPlay(t *testing.T, grace time.Duration, vms int, stops ...time.Duration) *play {
	t.Helper()

	p := &play{
		Site: cwsite.New(t, grace.String()), grace: grace, stops: stops, paths: cwsite.NewPaths(), links: make([][]*cwstand.Link, vms),
		answers: map[string]answer{}, ran: map[carobward.RequestID]bool{}, answered: map[carobward.RequestID]bool{},
	}

	p.to = []int{0}
	for i := 1; i < len(stops); i++ {
		p.to = append(p.to, i)
	}

	for i := range servers {
		p.addServer(t, i)
	}

	p.configure(1)

	for range vms {
		v := p.Start(t)
		p.paths.Add(v)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	return p
}

func (p *play) addServer(t *testing.T, i int) {
	t.Helper()

	u := cwstand.NewUpstream(cwtest.Listen(t), carobward.Instance(fmt.Sprint("i-", i)))
	t.Cleanup(u.Close)
	u.SetWorkOf(p.work)
	u.SetReplyOf(p.reply)
	p.servers = append(p.servers, u)

	proxy := cwstand.NewProxy(cwtest.Listen(t), u.Address())
	t.Cleanup(proxy.Close)
	proxy.SetSources(p.paths)
	p.Store.Put(fmt.Sprint("servers/i-", i), cwstand.ServerEntry("records", proxy.Address(), "zone-1", "ready"))
}

// configure writes a configuration with a route for each kind of request.
func (p *play) configure(version int) {
	var routes []cwstand.MetadataRoute

	for _, kind := range []string{"safe", "unsafe"} {
		routes = append(routes, cwstand.MetadataRoute{
			"prefix": "/" + kind + "/", "kind": kind, "service": "records", "timeout": timeout.String(), "priority": 0,
		})
	}

	p.Store.Put("op/config", cwstand.MetadataConfig(version, host, routes...))
}

// work records a run at a server and returns how long it takes.
func (p *play) work(r cwstand.Run) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	id := carobward.RequestID(r.ID)
	p.ran[id] = true

	if p.answers[rowOf(id)].late {
		return time.Until(p.lateAnswer())
	}

	return work
}

// lateAnswer returns when servers answer a row whose answers are late: shortly before an entry VM gives
// up on them.
func (p *play) lateAnswer() time.Time {
	const share = 0.88

	return p.signal.Add(time.Duration(share * float64(p.grace)))
}

// reply records that a server answers a request, and returns the reply.
func (p *play) reply(r cwstand.Run) cwstand.Reply {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.answered[carobward.RequestID(r.ID)] = true

	return p.answers[rowOf(carobward.RequestID(r.ID))].reply()
}

// add adds callers of a row to each entry VM that callers use.
func (p *play) add(t *testing.T, label string, r row, callers int) {
	t.Helper()

	key := fmt.Sprint("r", len(p.answers))
	p.answers[key] = r.answer

	for _, i := range p.to {
		to := p.VMs[i].Callers

		if r.delay > 0 || p.goes {
			l := cwstand.NewLink(cwtest.Listen(t), to, cwstand.LinkShape{Delay: r.delay, Rate: r.rate, Window: r.window})
			t.Cleanup(l.Close)
			p.links[i] = append(p.links[i], l)
			to = l.Address()
		}

		for j := range callers {
			p.callers = append(p.callers, &caller{play: p, row: r, label: label, name: fmt.Sprint(key, ".", i, ".", j), to: to})
		}
	}
}

// addAll adds all rows of a table.
func (p *play) addAll(t *testing.T, rows map[string]row, callers int) {
	t.Helper()

	for _, name := range slices.Sorted(maps.Keys(rows)) {
		p.add(t, name, rows[name], callers)
	}
}

// slack is the time that is left over for a slow machine when a request is sent.
const slack = 250 * time.Millisecond

// hasTime reports whether the link can carry the answers of a row before the entry VM that stops first
// ends its process. Answers that are late are asked for before the stop.
func (p *play) hasTime(r *row) bool {
	if r.late {
		return !p.isStopping()
	}

	return r.need()+slack < time.Until(p.signal.Add(time.Duration(endShare*float64(p.grace))))
}

// isStopping reports whether the first signal has been sent.
func (p *play) isStopping() bool { return time.Now().After(p.signal) }

// run stops entry VMs while the callers send requests. Beside is called right before the first signal.
func (p *play) run(t *testing.T, beside func()) {
	t.Helper()

	p.signal = time.Now().Add(before)

	var callers, stops sync.WaitGroup

	for _, c := range p.callers {
		callers.Go(c.run)
	}

	<-time.After(time.Until(p.signal))
	beside()

	p.took = make([]time.Duration, len(p.stops))

	for i, at := range p.stops {
		stops.Go(func() {
			<-time.After(time.Until(p.signal.Add(at)))
			p.stop(t, i)
		})
	}

	stops.Wait()
	callers.Wait()
	t.Logf("grace %s: stops took %v", p.grace, p.took)
}

// stop stops one entry VM.
func (p *play) stop(t *testing.T, i int) {
	began := time.Now()
	process := p.VMs[i].Process()

	process.Signal(t, syscall.SIGTERM)

	if err := process.Wait(t); err != nil {
		t.Errorf("the process of %s ended with %v", p.VMs[i].ID, err)
	}

	p.took[i] = time.Since(began)

	if p.goes {
		for _, l := range p.links[i] {
			l.Gone()
		}
	}
}
