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

// plain is a Dialect that adds and reads nothing.
type plain struct{}

func (plain) Fields(*carobward.Call, time.Duration, func(name, value string)) {}
func (plain) Unframed() bool                                                  { return true }
func (plain) Extra() bool                                                     { return false }
func (plain) Read(*carobward.Call, *carobward.Reply, time.Time) error         { return nil }

// lookFront returns a front that knows one server, and a request for it.
func lookFront(t *testing.T, at carobward.Address) (*Front, *request) {
	t.Helper()

	table := cwbackend.New(cwbackend.VM{ID: "vm-1", Domain: "a"})
	table.Put([]carobward.Backend{{Instance: "i-1", Address: at, Service: "records", Domain: "a", Slots: 4}}, nil, time.Now())

	link := cwlink.New(cwlink.Options{
		Conns: 8, Keep: time.Minute, Dial: time.Second, Header: 8 * carobward.Kilobyte, Dialect: plain{},
	}, carobward.SystemClock{})
	t.Cleanup(link.Close)

	f := New(Options{
		Servers: table, Link: link, Clock: carobward.SystemClock{}, Metrics: cwmetric.New(), Log: logr.Discard(),
		Limits: Limits{ExtraWindow: 10 * time.Second, Looks: 60}, Fleet: func() int { return 1 }, Part: func() float64 { return 1 },
	})
	routes := cwroutes.New(&carobward.Routing{Services: map[carobward.Service]carobward.ServiceSpec{"records": {HealthPath: "/health"}}})

	return f, &request{
		front: f, kept: f.service("records"), service: "records", routes: routes,
		route: &cwroutes.Route{Route: carobward.Route{Objective: time.Second}},
	}
}

// TestLookForgotten lets a server forget an idle connection. The look that finds
// it reset asks once more over a new one, and the server is not blocked for it;
// a server that resets new connections, too, is.
func TestLookForgotten(t *testing.T) {
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

			f, r := lookFront(t, proxy.Address())
			look := func() *looked {
				l := r.lookAt(f.Servers.Views("records", time.Now(), time.Second)[0])
				l.release()

				return l
			}

			if !look().ok {
				t.Fatal("the first look failed")
			}

			proxy.Forget()
			proxy.Set(c.fault)

			ok := look().ok
			blocked := f.Servers.Views("records", time.Now(), time.Second)[0].Blocked

			if diff := cmp.Diff([]bool{c.ok, c.blocked}, []bool{ok, blocked}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLookAgainBound wants the looks over new connections to be within the
// bound on looks.
func TestLookAgainBound(t *testing.T) {
	u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
	t.Cleanup(u.Close)

	proxy := cwstand.NewProxy(cwtest.Listen(t), u.Address())
	t.Cleanup(proxy.Close)

	f, r := lookFront(t, proxy.Address())
	view := func() cwbackend.View { return f.Servers.Views("records", time.Now(), time.Second)[0] }

	if l := r.lookAt(view()); !l.ok {
		t.Fatal("the first look failed")
	} else {
		l.release()
	}

	proxy.Forget()
	r.kept.looks.SetLimit(0)

	for r.kept.looks.Allow() {
		continue
	}

	if l := r.lookAt(view()); l.ok {
		t.Error("a look beyond the bound")
	}
}
