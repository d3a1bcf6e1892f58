package cwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// Servers in need named in their replies how many requests a second they take from all
// entry VMs together, and got as many as before: 3.8 a second before one of them named 1.4,
// 4.1 after it, by way of eight entry VMs, four of which sent it 14 requests within 4 s.
//
//	10.8879 front-ifrane-hall-7 front: msg=Sent. server=i-8ee57cbedf running=1 queued=0 slots=4 outcome=answered
//	11.1702 front-ifrane-hall-8 front: msg=Sent. server=i-8ee57cbedf running=0 queued=0 slots=4 outcome=answered
//	11.2173 front-ifrane-hall-2 front: msg=Sent. server=i-8ee57cbedf running=1 queued=0 slots=4 outcome=answered
//
// Nothing read what the servers said, so no entry VM sent less, whatever its looks showed.

// The users' bound on a server that names a limit, from limitFirst after it named the first
// one: in any limitWindow one and a half times what that allows, and limitSlack more.
const (
	limitFirst  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limited is a fleet of four entry VMs, two in each of two failure domains, with three
// servers in the first one and two in the other, under a steady load.
type limited struct {
	*fleet

	servers []*cwstand.Upstream
	vms     []*vm
	group   sync.WaitGroup
	stop    chan struct{}
}

func newLimited(t *testing.T) *limited {
	t.Helper()

	l := &limited{fleet: newFleet(t), stop: make(chan struct{})}

	for i := range 5 {
		instance := fmt.Sprint("i-", i)
		u := l.upstream(t, "fees", instance)
		u.SetMode(cwstand.UpstreamServes, 2*time.Millisecond)
		l.store.Put("servers/"+instance, cwstand.ServerEntry("fees", u.Address(), limitedDomain(i/3), "ready"))
		l.servers = append(l.servers, u)
	}

	l.configure(safe("fees"), unsafe())

	for i := range 4 {
		v := l.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) { o.Self.Domain = limitedDomain(i % 2) })
		v.waitReady(t)
		l.vms = append(l.vms, v)
	}

	for i, v := range l.vms {
		for caller := range 2 {
			l.group.Go(func() { l.call(v, fmt.Sprint(i, "-", caller)) })
		}
	}

	t.Cleanup(l.end)

	return l
}

func limitedDomain(i int) carobward.Domain { return carobward.Domain("ab"[i : i+1]) }

// call sends requests to an entry VM until the end.
func (l *limited) call(v *vm, caller string) {
	const pause = 15 * time.Millisecond

	for n := 0; ; n++ {
		v.ask([]string{http.MethodGet, http.MethodPost}[n%2], []string{reading, charging}[n%2], fmt.Sprint(caller, "-", n), "")

		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
	}
}

// end ends the load. It may be called again.
func (l *limited) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}

	l.group.Wait()
}

// most returns the most requests that a server got in any limitWindow that began after a
// moment.
func most(u *cwstand.Upstream, after time.Time) int {
	list := u.Arrivals()
	worst := 0

	for i := range list {
		n := 0
		for i+n < len(list) && list[i+n].Sub(list[i]) < limitWindow {
			n++
		}

		if !list[i].Before(after) {
			worst = max(worst, n)
		}
	}

	return worst
}

func allowed(limit float64) int { return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack }

// TestLimit wants a server that names a limit to get no more than the users allow, from all
// entry VMs together, from the moment at which they have to know it, and some all the same.
func TestLimit(t *testing.T) {
	// span is the time after limitFirst that is watched, and ever the pause between the
	// steps of one case.
	const (
		span = limitWindow + 2*time.Second
		step = time.Second
	)

	for name, c := range map[string]struct {
		// says is what the server names, one step after the other, the last one to the end.
		says [][]string
		// limit is the highest of them that it names after limitFirst.
		limit float64
	}{
		"low":                            {[][]string{{"1"}}, 1},
		"of several the lowest":          {[][]string{{"9", "2.5"}}, 2.5},
		"lowered step by step":           {[][]string{{"20"}, {"8"}, {"2"}}, 2},
		"up and down":                    {[][]string{{"1"}, {"6"}, {"1.5"}, {"6"}, {"2"}}, 6},
		"what can't be read after 1.5":   {[][]string{{"1.5"}, {"few"}}, 1.5},
		"taken back and named once more": {[][]string{{"2"}, nil, {"2"}}, 2},
		"hardly any":                     {[][]string{{"0.2"}}, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			l := newLimited(t)
			u := l.servers[0]
			cwtest.Wait(t, "load", func() bool { return len(u.Runs()) > 20 })

			for i, says := range c.says {
				if i > 0 {
					<-time.After(step)
				}

				u.SetLimit(says...)
			}

			// With the last step there is a limit that holds.
			last := time.Now()

			<-time.After(limitFirst + span)
			l.end()

			if got, want := most(u, last.Add(limitFirst)), allowed(c.limit); got > want {
				t.Errorf("%d requests in %s, %d allowed", got, limitWindow, want)
			}

			if c.limit >= 1 && most(u, last) == 0 {
				t.Error("it gets nothing at all")
			}
		})
	}
}

// TestLimitLifted wants a server to get as much as others soon after it has stopped naming a
// limit, from each entry VM of its failure domain. Operators see the limit as long as it
// stands.
func TestLimitLifted(t *testing.T) {
	l := newLimited(t)
	u := l.servers[0]
	cwtest.Wait(t, "load", func() bool { return len(u.Runs()) > 20 })
	u.SetLimit("2")
	<-time.After(limitFirst)

	if got := get(l.vms[0].options.Metrics, "/status"); !strings.Contains(got.body, `"limited":[{"server":"i-0","service":"fees","rate":2,"readable":true`) {
		t.Errorf("operators see %s", got.body)
	}

	u.SetLimit()

	before := len(u.Runs())
	cwtest.Wait(t, "use of the server", func() bool { return len(u.Runs()) > before+50 })
	cwtest.Wait(t, "no limit on any near entry VM", func() bool {
		return l.vms[0].gauge(t, "limited")+l.vms[2].gauge(t, "limited") == 0
	})
}

// TestLimitAll wants requests to be refused at once where all servers name a limit that is
// used up, with a time to come back, and truly not run.
func TestLimitAll(t *testing.T) {
	l := newLimited(t)
	for _, u := range l.servers {
		u.SetLimit("0.1")
	}

	<-time.After(limitFirst)
	l.end()

	for _, v := range l.vms {
		for _, path := range []string{reading, charging} {
			id := fmt.Sprint("refused", path, v.options.Self.ID)

			var got answer

			cwtest.Wait(t, "a refusal", func() bool {
				got = v.ask(http.MethodPost, path, id, "")

				return got.status == http.StatusServiceUnavailable
			})

			if got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "limit") {
				t.Errorf("%+v", got)
			}
		}
	}
}
