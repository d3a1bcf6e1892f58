package cwlink

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestCancel closes the connection of a cancelled call and never uses it
// again.
func TestCancel(t *testing.T) {
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		if cwstand.RequestID(req) != "slow" {
			cwstand.Say(c, req, whole)
		}

		return true
	})
	l := newLink(t)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() {
		_, err := l.Exchange(ctx, s.Address(), call("slow"))
		done <- err
	}()

	cwtest.Wait(t, "the call at the server", func() bool { return s.Requests() == 1 })
	cancel()

	if err := <-done; verdict(err) != "unknown" {
		t.Error(err)
	}

	if n, open := idle(l, s.Address()); n != 0 || open != 0 {
		t.Errorf("%d idle, %d open", n, open)
	}
}

// TestCancelRace cancels calls just when their reply comes. A connection is
// either kept whole or dropped, and the counts stay right.
func TestCancelRace(t *testing.T) {
	s := newStub(t, cwstand.Text(whole, true))
	l := newLink(t)

	var group sync.WaitGroup

	for range 4 {
		group.Go(func() {
			for range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				go cancel()

				reply, err := l.Exchange(ctx, s.Address(), call("one"))
				if err == nil && string(reply.Body) != "body" {
					t.Errorf("body %q", reply.Body)
				}

				cancel()
			}
		})
		group.Go(func() {
			for range 200 {
				// A cancel of another call must not reach this one.
				if _, err := exchange(l, s, call("steady")); err != nil {
					t.Error(err)
				}
			}
		})
	}

	group.Wait()

	if n, open := idle(l, s.Address()); n != open || open > 8 {
		t.Errorf("%d idle, %d open", n, open)
	}
}

// TestStale passes over idle connections that the server has closed or on
// which it said something unasked.
func TestStale(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		stay  bool
	}{
		"closed":  {whole, false},
		"unasked": {whole, true},
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			s := newStub(t, func(conn net.Conn, req *fasthttp.Request, _ int) bool {
				cwstand.Say(conn, req, c.reply)

				if c.stay && cwstand.RequestID(req) == "warm" {
					<-more
					cwstand.Say(conn, req, c.reply)
				}

				return c.stay
			})
			l := newLink(t)

			warm(t, l, s)
			close(more)

			p, _ := l.pool(s.Address())
			cwtest.Wait(t, "news on the connection", func() bool { return cwsocket.Peek(p.idle[0].Conn) != cwsocket.Idle })

			if _, err := exchange(l, s, call("next")); err != nil || s.Conns() != 2 {
				t.Errorf("%v, %d connections", err, s.Conns())
			}
		})
	}
}

// TestPool keeps, prunes, bounds and forgets connections.
func TestPool(t *testing.T) {
	s := newStub(t, cwstand.Text(whole, true))
	l := newLink(t)

	warm(t, l, s)
	warm(t, l, s)

	if n := s.Conns(); n != 1 {
		t.Errorf("%d connections for two calls", n)
	}

	fresh := call("fresh")
	fresh.Fresh = true

	if _, err := exchange(l, s, fresh); err != nil || s.Conns() != 2 {
		t.Errorf("%d connections, %v", s.Conns(), err)
	}

	now := time.Now()
	l.SetFleet(2, now)
	l.SetFleet(8, now)
	l.SetFleet(2, now.Add(fleetHold/2))

	if l.most() != 1 {
		t.Errorf("a share of %d while the larger fleet still counts", l.most())
	}

	// A fresh connection takes the place of an idle one.
	if _, err := exchange(l, s, fresh); err != nil {
		t.Error(err)
	}

	if n, open := idle(l, s.Address()); n > 1 || open > 1 {
		t.Errorf("%d idle, %d open for a share of 1", n, open)
	}

	l.SetFleet(2, now.Add(2*fleetHold))

	if l.most() != 4 {
		t.Errorf("a share of %d", l.most())
	}

	warm(t, l, s)
	l.Tick(time.Now().Add(2 * time.Minute))

	if n, open := idle(l, s.Address()); n != 0 || open != 0 {
		t.Errorf("%d idle, %d open after a long time", n, open)
	}

	warm(t, l, s)
	l.Retain(func(a carobward.Address) bool { return a == s.Address() })

	if n, _ := idle(l, s.Address()); n != 1 {
		t.Errorf("%d idle of a server that is listed", n)
	}

	l.Retain(none)

	if len(l.pools) != 0 {
		t.Errorf("%d pools of no server", len(l.pools))
	}
}

// TestRetainInFlight lets a call go on whose server left the list, and keeps
// nothing of its connection.
func TestRetainInFlight(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		<-release
		cwstand.Say(c, req, whole)

		return true
	})
	l := newLink(t)
	p, _ := l.pool(s.Address())
	done := make(chan error, 1)

	go func() {
		_, err := exchange(l, s, call("one"))
		done <- err
	}()

	cwtest.Wait(t, "the call at the server", func() bool { return s.Requests() == 1 })
	l.Retain(none)
	close(release)

	if err := <-done; err != nil {
		t.Error(err)
	}

	if p.open != 0 || len(p.idle) != 0 || len(l.pools) != 0 {
		t.Errorf("%d open, %d idle, %d pools", p.open, len(p.idle), len(l.pools))
	}
}

// TestFit has how long a connection is used while it is idle: as long as its
// server says, with some time left, within our bound; else the usual time.
func TestFit(t *testing.T) {
	now := time.Now()
	bounds := idling{usual: 4 * time.Second, most: 12 * time.Second}

	for name, c := range map[string]struct {
		keep, idle time.Duration
		bounds     idling
		want       bool
	}{
		"no word, short":            {0, 3 * time.Second, bounds, true},
		"no word, long":             {0, 5 * time.Second, bounds, false},
		"a word, longer than usual": {10 * time.Second, 7 * time.Second, bounds, true},
		"close to its end":          {10 * time.Second, 9 * time.Second, bounds, false},
		"a short word":              {2 * time.Second, 1900 * time.Millisecond, bounds, false},
		"a word beyond our bound":   {time.Minute, 13 * time.Second, bounds, false},
		"none may be used":          {10 * time.Second, 0, idling{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			one := &conn{used: now.Add(-c.idle), keep: c.keep}
			if got := one.fit(now, c.bounds); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
