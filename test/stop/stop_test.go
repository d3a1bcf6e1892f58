// Package stop stops entry VMs, each in a process of its own, while callers send requests in each
// way and at each moment, and checks what became of every request.
package stop

import (
	"fmt"
	"net/http"
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
	// servers is how many servers there are: enough for the requests of all moments.
	servers = 32
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

	mutex sync.Mutex
	// ran and done are the requests that a server has begun and finished.
	ran  map[carobward.RequestID]bool
	done map[carobward.RequestID]bool
	// stopped is when the signal was sent.
	stopped time.Time
}

// newPlay starts a site with some entry VMs, of which the first one is to be stopped.
func newPlay(t *testing.T, grace time.Duration, vms int) *play {
	t.Helper()

	p := &play{Site: cwsite.New(t, grace.String()), grace: grace, ran: map[carobward.RequestID]bool{}, done: map[carobward.RequestID]bool{}}

	for i := range servers {
		u := cwstand.NewUpstream(cwtest.Listen(t), carobward.Instance(fmt.Sprint("i-", i)))
		t.Cleanup(u.Close)
		u.SetWorkOf(p.work)
		p.Store.Put(fmt.Sprint("servers/i-", i), cwstand.ServerEntry("records", u.Address(), "zone-1", "ready"))
	}

	p.configure(1)

	for range vms {
		v := p.Start(t)
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

// add adds a request of each kind and duration at a moment after the stop.
func (p *play) add(use connUse, after time.Duration) {
	for work := range works {
		for kind, method := range map[string]string{"safe": http.MethodGet, "unsafe": http.MethodPost} {
			p.requests = append(p.requests, &request{
				id: carobward.RequestID(fmt.Sprintf("r%d", len(p.requests))), method: method, path: "/" + work + "/" + kind + "/", use: use, after: after, timeout: timeout,
			})
		}
	}
}

// run stops the first entry VM and sends the requests. Beside is called right before the signal.
func (p *play) run(t *testing.T, beside func()) {
	t.Helper()

	v := p.VMs[0]

	var group sync.WaitGroup

	for _, r := range p.requests {
		group.Go(func() {
			if err := r.prepare(v.Callers); err != nil {
				t.Errorf("%s on %s: %v", r.id, r.use, err)
			}
		})
	}

	group.Wait()
	beside()

	p.stopped = time.Now()
	v.Process().Signal(t, syscall.SIGTERM)

	for _, r := range p.requests {
		group.Go(func() {
			<-time.After(time.Until(p.stopped.Add(r.after)))
			r.send(v.Callers)
		})
	}

	group.Wait()

	if err := v.Process().Wait(t); err != nil {
		t.Errorf("the process ended with %v", err)
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
	ran, done := p.ran[r.id], p.done[r.id]
	p.mutex.Unlock()

	if r.reply == nil {
		switch since := r.ended.Sub(p.stopped); {
		case !ran:
			return unread, ""
		case !done && r.sent.Sub(p.stopped) <= lastSent && since >= time.Duration(earliestCut*float64(p.grace)):
			return excused, ""
		default:
			return lost, fmt.Sprintf("cut %s after the signal: %v", since, r.err)
		}
	}

	status, h := r.reply.StatusCode, r.reply.Header

	switch {
	case h.Get("Response-Seal") == "s."+string(r.id):
		return answered, ""
	case status != http.StatusServiceUnavailable || ran:
		return lost, fmt.Sprintf("status %d of the entry VM in place of its server's, ran %v", status, ran)
	case h.Get("Retry-After") == "" || !r.reply.Close:
		return lost, fmt.Sprintf("refused without a time to come back or on a connection that stays open: %v", h)
	default:
		return refused, ""
	}
}

// check checks the fate of all requests and returns how many had each.
func (p *play) check(t *testing.T) map[string]int {
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

	return fates
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

			p := newPlay(t, grace, 2)

			for _, after := range moments(grace) {
				for _, use := range []connUse{onNew, onIdle, onPipeline, onSlowBody} {
					p.add(use, after)
				}
			}

			p.run(t, func() {})
			p.check(t)
		})
	}
}
