package cwfront

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwroutes"
)

// testClock is a clock that tests set.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// admissionRoutes has two priorities at the service "records", and one at "fees".
func admissionRoutes() *cwroutes.Table {
	route := func(name, prefix string, priority int, s carobward.Service) carobward.Route {
		return carobward.Route{Name: carobward.RouteName(name), Prefix: prefix, Priority: priority, Objective: 400 * time.Millisecond, Timeout: 2 * time.Second,
			Shares: []carobward.Share{{Service: s, Weight: 1}}}
	}

	return cwroutes.New(&carobward.Routing{Hosts: map[string][]carobward.Route{"a.example": {
		route("urgent", "/urgent/", 0, "records"), route("all", "/all/", 1, "records"), route("fees", "/fees/", 1, "fees"),
	}}})
}

// TestAdmissionRefusal checks that while the fleet has too little room a request that others go
// before is refused on arrival, with when to come back and as one that did not run; that urgent
// ones are admitted, all at services where none compete, and all while nobody is heard.
func TestAdmissionRefusal(t *testing.T) {
	short := carobward.DomainLoad{Domain: "a", VMs: 30}
	short.Demand = [carobward.LoadRanks]carobward.Rate{100, 300}
	short.Completed, short.Full = 100, 150

	for name, c := range map[string]struct {
		path    string
		load    []carobward.DomainLoad
		refused bool
	}{
		"less urgent":     {"/all/1", []carobward.DomainLoad{short}, true},
		"urgent":          {"/urgent/1", []carobward.DomainLoad{short}, false},
		"none compete":    {"/fees/1", []carobward.DomainLoad{short}, false},
		"nobody is heard": {"/all/1", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, clock := newFront(1), &testClock{now: time.Unix(1000, 0)}
			f.Clock = clock
			f.FleetLoad = func(carobward.Service, time.Time) []carobward.DomainLoad { return c.load }
			f.SetRoutes(admissionRoutes())

			refused := 0

			for i := range 1000 { // Ten seconds: one that has just started refuses none.
				clock.now = clock.now.Add(10 * time.Millisecond)

				if err := f.admitOne(c.path, carobward.RequestID(fmt.Sprint(i))); err != nil {
					refused++

					var failure *carobward.Failure
					if !errors.As(err, &failure) || failure.Status != fasthttp.StatusServiceUnavailable || failure.Verdict != carobward.NotRun || failure.RetryAfter <= 0 {
						t.Fatalf("refused with %+v", err)
					}
				}
			}

			if got := f.ShortServices() > 0; refused > 500 != c.refused || !c.refused && refused > 0 || c.refused && !got {
				t.Errorf("%d of 1000 requests were refused, short: %v", refused, got)
			}
		})
	}
}

// admitOne returns the result of the admission of one request.
func (f *Front) admitOne(path string, id carobward.RequestID) error {
	now := f.Clock.Now()
	r := &request{front: f, id: id, routes: f.Routes(), arrived: now}
	r.route = r.routes.Find("a.example", path)
	r.priority, r.service = r.route.Priority, r.route.Pick()
	r.state = f.serviceState(r.service)
	r.schedule = cwqueue.Schedule{Arrived: now, Due: now.Add(r.route.Objective), Deadline: now.Add(r.route.Timeout), Objective: r.route.Objective, Usual: 100 * time.Millisecond, Slowdown: 1}
	r.state.load.CountRequest(r.rank(), now)

	return r.admit()
}

// TestAdmissionRoutesChange checks that a threshold that was in force is without effect once
// the configuration no longer has requests that compete for the service.
func TestAdmissionRoutesChange(t *testing.T) {
	short := carobward.DomainLoad{Domain: "a", VMs: 30}
	short.Demand = [carobward.LoadRanks]carobward.Rate{100, 300}
	short.Completed, short.Full = 100, 150

	f, clock := newFront(1), &testClock{now: time.Unix(1000, 0)}
	f.Clock = clock
	f.FleetLoad = func(carobward.Service, time.Time) []carobward.DomainLoad { return []carobward.DomainLoad{short} }
	f.SetRoutes(admissionRoutes())

	for i := range 1000 {
		clock.now = clock.now.Add(10 * time.Millisecond)
		_ = f.admitOne("/all/1", carobward.RequestID(fmt.Sprint(i))) // TestAdmissionRefusal checks the result.
	}

	if f.ShortServices() != 1 {
		t.Fatal("no threshold is in force")
	}

	f.SetRoutes(cwroutes.New(&carobward.Routing{Hosts: map[string][]carobward.Route{"a.example": {{
		Name: "all", Prefix: "/all/", Priority: 1, Objective: 400 * time.Millisecond, Timeout: 2 * time.Second, Shares: []carobward.Share{{Service: "records", Weight: 1}},
	}}}}))

	now := f.Clock.Now()
	r := &request{front: f, id: "1", routes: f.Routes(), service: "records", priority: 1, state: f.serviceState("records")}
	r.schedule = cwqueue.Schedule{Arrived: now, Due: now.Add(400 * time.Millisecond), Deadline: now.Add(2 * time.Second), Objective: 400 * time.Millisecond, Usual: 100 * time.Millisecond, Slowdown: 1}

	if got, want := r.retryAfter(now), r.schedule.RetryAfter(); got != want {
		t.Errorf("a refused caller may come back after %s, want %s", got, want)
	}

	if got := f.ShortServices(); got != 0 {
		t.Errorf("%d services have too little room", got)
	}
}
