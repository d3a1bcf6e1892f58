package cwfront

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwroutes"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// plainDialect is a Dialect that adds and reads nothing.
type plainDialect struct{}

func (plainDialect) Fields(*carobward.Call, time.Duration, func(name, value string)) {}
func (plainDialect) AllowsUnframed() bool                                            { return true }
func (plainDialect) AllowsExtraReply() bool                                          { return false }
func (plainDialect) Read(*carobward.Call, *carobward.Reply, time.Time) error         { return nil }

// newCheckFront returns a front that knows one server, and a request for it.
func newCheckFront(t *testing.T, at carobward.Address) (*Front, *request) {
	t.Helper()

	table := cwbackend.New(cwbackend.VM{ID: "vm-1", Domain: "a"})
	table.Put([]carobward.Backend{{Instance: "i-1", Address: at, Service: "records", Domain: "a", Slots: 4}}, nil, time.Now())

	link := cwlink.New(cwlink.Options{
		MaxConns: 8, IdleTimeout: time.Minute, DialTimeout: time.Second, MaxHeaderSize: 8 * carobward.Kilobyte, Dialect: plainDialect{},
	}, carobward.SystemClock{})
	t.Cleanup(link.Close)

	f := New(Options{
		Servers: table, Link: link, Clock: carobward.SystemClock{}, Metrics: cwmetric.New(), Log: logr.Discard(),
		Limits: Limits{ExtraWindow: 10 * time.Second, ChecksPerSecond: 60}, FleetSize: func() int { return 1 }, TrafficShare: func() float64 { return 1 },
	})
	routes := cwroutes.New(&carobward.Routing{Services: map[carobward.Service]carobward.ServiceSpec{"records": {HealthPath: "/health"}}})

	return f, &request{
		front: f, state: f.serviceState("records"), service: "records", routes: routes,
		route: &cwroutes.Route{Route: carobward.Route{Objective: time.Second}},
	}
}

// TestCheckReset resets an idle connection, as a server or a firewall does that drops it
// silently. The health check that finds it reset is made once more over a new connection,
// and the server is not blocked for it. A server that resets new connections as well is
// blocked.
func TestCheckReset(t *testing.T) {
	for name, c := range map[string]struct {
		fault       cwstand.ProxyFault
		ok, blocked bool
	}{
		"an idle connection": {cwstand.ProxyPasses, true, false},
		"all connections":    {cwstand.ProxyResets, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
			t.Cleanup(u.Close)

			proxy := cwstand.NewProxy(cwtest.Listen(t), u.Address())
			t.Cleanup(proxy.Close)

			f, r := newCheckFront(t, proxy.Address())
			check := func() *candidate {
				got := r.checkHealth(f.Servers.Views("records", time.Now(), time.Second)[0])
				got.release()

				return got
			}

			if !check().ok {
				t.Fatal("the first health check failed")
			}

			proxy.ResetOnData()
			proxy.SetFault(c.fault)

			ok := check().ok
			blocked := f.Servers.Views("records", time.Now(), time.Second)[0].Blocked

			if diff := cmp.Diff([]bool{c.ok, c.blocked}, []bool{ok, blocked}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRecheckLimit checks that repeated health checks over new connections count against
// the rate limit.
func TestRecheckLimit(t *testing.T) {
	u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
	t.Cleanup(u.Close)

	proxy := cwstand.NewProxy(cwtest.Listen(t), u.Address())
	t.Cleanup(proxy.Close)

	f, r := newCheckFront(t, proxy.Address())
	view := func() cwbackend.View { return f.Servers.Views("records", time.Now(), time.Second)[0] }

	if got := r.checkHealth(view()); !got.ok {
		t.Fatal("the first health check failed")
	} else {
		got.release()
	}

	proxy.ResetOnData()
	r.state.checks.SetLimit(0)

	for r.state.checks.Allow() {
		continue
	}

	if got := r.checkHealth(view()); got.ok {
		t.Error("a health check beyond the rate limit succeeded")
	}
}
