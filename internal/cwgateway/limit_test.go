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

// These tests guard against limits that are ignored. Servers under load reported in their
// replies how many requests a second they accept from all entry VMs together, and got as many
// as before: 3.8 a second before one of them reported 1.4, and 4.1 after it, from eight entry
// VMs, four of which sent it 14 requests within 4 s. No entry VM read the reports, so none sent
// less, whatever its health checks showed.

// The users' bound for a server that reports a limit, from limitDelay after its first report:
// in any limitWindow limitFactor times what the limit allows, and limitSlack more.
const (
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedFleet is a fleet under a steady load: two entry VMs in each of two failure domains,
// with three servers in the first one and two in the second.
type limitedFleet struct {
	*fleet

	servers []*cwstand.Upstream
	vms     []*vm
	group   sync.WaitGroup
	stop    chan struct{}
}

func newLimitedFleet(t *testing.T) *limitedFleet {
	t.Helper()

	l := &limitedFleet{fleet: newFleet(t), stop: make(chan struct{})}

	for i := range 5 {
		instance := fmt.Sprint("i-", i)
		u := l.upstream(t, "fees", instance)
		u.SetMode(cwstand.UpstreamServes, 2*time.Millisecond)
		l.store.Put("servers/"+instance, cwstand.ServerEntry("fees", u.Address(), domainName(i/3), "ready"))
		l.servers = append(l.servers, u)
	}

	l.configure(safeRoute("fees"), unsafeRoute())

	for i := range 4 {
		v := l.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) { o.Self.Domain = domainName(i % 2) })
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

func domainName(i int) carobward.Domain { return carobward.Domain("ab"[i : i+1]) }

// call sends requests to an entry VM until the load ends.
func (l *limitedFleet) call(v *vm, caller string) {
	const pause = 15 * time.Millisecond

	for n := 0; ; n++ {
		v.send([]string{http.MethodGet, http.MethodPost}[n%2], []string{readPath, chargePath}[n%2], fmt.Sprint(caller, "-", n), "")

		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
	}
}

// end ends the load. It may be called more than once.
func (l *limitedFleet) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}

	l.group.Wait()
}

// maxInWindow returns the largest number of requests that a server got in any limitWindow
// that began after a time.
func maxInWindow(u *cwstand.Upstream, after time.Time) int {
	arrivals := u.Arrivals()
	highest := 0

	for i := range arrivals {
		n := 0
		for i+n < len(arrivals) && arrivals[i+n].Sub(arrivals[i]) < limitWindow {
			n++
		}

		if !arrivals[i].Before(after) {
			highest = max(highest, n)
		}
	}

	return highest
}

func allowed(limit float64) int { return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack }

// TestLimit verifies that a server that reports a limit gets no more requests from all entry
// VMs together than the bound allows once they have to know the limit, and gets some.
func TestLimit(t *testing.T) {
	// observation is how long the server is observed after limitDelay, stepInterval the time
	// between the steps of a test case.
	const (
		observation  = limitWindow + 2*time.Second
		stepInterval = time.Second
	)

	for name, c := range map[string]struct {
		// reported has the limits that the server reports in each step; the last step stays.
		reported [][]string
		// limit is the highest limit that is reported after limitDelay.
		limit float64
	}{
		"low":                          {[][]string{{"1"}}, 1},
		"the lowest of several":        {[][]string{{"9", "2.5"}}, 2.5},
		"lowered step by step":         {[][]string{{"20"}, {"8"}, {"2"}}, 2},
		"up and down":                  {[][]string{{"1"}, {"6"}, {"1.5"}, {"6"}, {"2"}}, 6},
		"an invalid report after 1.5":  {[][]string{{"1.5"}, {"few"}}, 1.5},
		"withdrawn and reported again": {[][]string{{"2"}, nil, {"2"}}, 2},
		"below one":                    {[][]string{{"0.2"}}, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			l := newLimitedFleet(t)
			u := l.servers[0]
			cwtest.Wait(t, "load", func() bool { return len(u.Runs()) > 20 })

			for i, limits := range c.reported {
				if i > 0 {
					<-time.After(stepInterval)
				}

				u.SetLimit(limits...)
			}

			// From the last step on, a limit is in force.
			last := time.Now()

			<-time.After(limitDelay + observation)
			l.end()

			if got, want := maxInWindow(u, last.Add(limitDelay)), allowed(c.limit); got > want {
				t.Errorf("%d requests in %s, %d allowed", got, limitWindow, want)
			}

			if c.limit >= 1 && maxInWindow(u, last) == 0 {
				t.Error("the server gets no requests")
			}
		})
	}
}

// TestLimitLifted verifies that a server gets as many requests as others soon after it has
// stopped reporting a limit, and that operators see the limit while it is in force.
func TestLimitLifted(t *testing.T) {
	l := newLimitedFleet(t)
	u := l.servers[0]
	cwtest.Wait(t, "load", func() bool { return len(u.Runs()) > 20 })
	u.SetLimit("2")
	<-time.After(limitDelay)

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

// TestLimitAll verifies that requests are refused at once, with a Retry-After, if the limits
// of all servers are used up.
func TestLimitAll(t *testing.T) {
	l := newLimitedFleet(t)
	for _, u := range l.servers {
		u.SetLimit("0.1")
	}

	<-time.After(limitDelay)
	l.end()

	for _, v := range l.vms {
		for _, path := range []string{readPath, chargePath} {
			id := fmt.Sprint("refused", path, v.options.Self.ID)

			var got answer

			cwtest.Wait(t, "a refusal", func() bool {
				got = v.send(http.MethodPost, path, id, "")

				return got.status == http.StatusServiceUnavailable
			})

			if got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "limit") {
				t.Errorf("want a refusal because of the limits, got %+v", got)
			}
		}
	}
}
