package cwlink

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestCancel checks that the connection of a cancelled call is closed and not
// reused.
func TestCancel(t *testing.T) {
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		if cwstand.RequestID(req) != "slow" {
			cwstand.WriteReply(c, req, okReply)
		}

		return true
	})
	l := newLink(t)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() {
		_, err := l.Exchange(ctx, s.Address(), newCall("slow"))
		done <- err
	}()

	cwtest.Wait(t, "the server to receive the call", func() bool { return s.Requests() == 1 })
	cancel()

	if err := <-done; verdict(err) != "unknown" {
		t.Error(err)
	}

	if n, open := connCounts(l, s.Address()); n != 0 || open != 0 {
		t.Errorf("%d idle and %d open connections after the cancellation, want none", n, open)
	}
}

// TestCancelRace cancels calls while their replies arrive. Each connection must be
// either reused without leftover bytes or closed, and the counts of connections
// must stay correct.
func TestCancelRace(t *testing.T) {
	s := newStub(t, cwstand.FixedReply(okReply, true))
	l := newLink(t)

	var group sync.WaitGroup

	for range 4 {
		group.Go(func() {
			for range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				go cancel()

				reply, err := l.Exchange(ctx, s.Address(), newCall("one"))
				if err == nil && string(reply.Body) != "body" {
					t.Errorf("got the body %q", reply.Body)
				}

				cancel()
			}
		})
		group.Go(func() {
			for range 200 {
				// Cancelling another call must not affect this one.
				if _, err := exchange(l, s, newCall("steady")); err != nil {
					t.Error(err)
				}
			}
		})
	}

	group.Wait()

	if n, open := connCounts(l, s.Address()); n != open || open > 8 {
		t.Errorf("%d idle and %d open connections, want all idle and at most 8", n, open)
	}
}

// TestStaleConn checks that an idle connection is not reused after the server has closed
// it or sent unsolicited bytes on it.
func TestStaleConn(t *testing.T) {
	for name, c := range map[string]struct {
		reply    string
		keepOpen bool
	}{
		"closed":            {okReply, false},
		"unsolicited bytes": {okReply, true},
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			s := newStub(t, func(conn net.Conn, req *fasthttp.Request, _ int) bool {
				cwstand.WriteReply(conn, req, c.reply)

				if c.keepOpen && cwstand.RequestID(req) == "warm" {
					<-more
					cwstand.WriteReply(conn, req, c.reply)
				}

				return c.keepOpen
			})
			l := newLink(t)

			warm(t, l, s)
			close(more)

			p, _ := l.pool(s.Address())
			cwtest.Wait(t, "the connection to be closed or readable", func() bool { return cwsocket.Peek(p.idle[0].Conn) != cwsocket.Idle })

			if _, err := exchange(l, s, newCall("next")); err != nil || s.Conns() != 2 {
				t.Errorf("error %v, %d connections, want 2", err, s.Conns())
			}
		})
	}
}

// TestPool checks that connections are reused, limited in number, closed when idle
// for too long, and dropped with their server.
func TestPool(t *testing.T) {
	s := newStub(t, cwstand.FixedReply(okReply, true))
	l := newLink(t)

	warm(t, l, s)
	warm(t, l, s)

	if n := s.Conns(); n != 1 {
		t.Errorf("%d connections for two calls, want 1", n)
	}

	fresh := newCall("fresh")
	fresh.Fresh = true

	if _, err := exchange(l, s, fresh); err != nil || s.Conns() != 2 {
		t.Errorf("%d connections after a call without reuse, want 2; error %v", s.Conns(), err)
	}

	now := time.Now()
	l.SetFleet(2, now)
	l.SetFleet(8, now)
	l.SetFleet(2, now.Add(fleetSizeTTL/2))

	if l.maxConns() != 1 {
		t.Errorf("got a share of %d connections while the larger fleet size still counts, want 1", l.maxConns())
	}

	// A new connection replaces an idle one.
	if _, err := exchange(l, s, fresh); err != nil {
		t.Error(err)
	}

	if n, open := connCounts(l, s.Address()); n > 1 || open > 1 {
		t.Errorf("%d idle and %d open connections for a share of 1", n, open)
	}

	l.SetFleet(2, now.Add(2*fleetSizeTTL))

	if l.maxConns() != 4 {
		t.Errorf("got a share of %d connections, want 4", l.maxConns())
	}

	warm(t, l, s)
	l.Tick(time.Now().Add(2 * time.Minute))

	if n, open := connCounts(l, s.Address()); n != 0 || open != 0 {
		t.Errorf("%d idle and %d open connections after the idle timeout, want none", n, open)
	}

	warm(t, l, s)
	l.Retain(func(a carobward.Address) bool { return a == s.Address() })

	if n, _ := connCounts(l, s.Address()); n != 1 {
		t.Errorf("%d idle connections to a retained server, want 1", n)
	}

	l.Retain(keepNone)

	if len(l.pools) != 0 {
		t.Errorf("%d pools after all servers were dropped", len(l.pools))
	}
}

// TestRetainInFlight drops a server with a call in flight: the call must complete,
// and its connection must be closed afterwards.
func TestRetainInFlight(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
		<-release
		cwstand.WriteReply(c, req, okReply)

		return true
	})
	l := newLink(t)
	p, _ := l.pool(s.Address())
	done := make(chan error, 1)

	go func() {
		_, err := exchange(l, s, newCall("one"))
		done <- err
	}()

	cwtest.Wait(t, "the server to receive the call", func() bool { return s.Requests() == 1 })
	l.Retain(keepNone)
	close(release)

	if err := <-done; err != nil {
		t.Error(err)
	}

	if p.open != 0 || len(p.idle) != 0 || len(l.pools) != 0 {
		t.Errorf("%d open connections, %d of them idle, %d pools; want none", p.open, len(p.idle), len(l.pools))
	}
}

// TestIdleLimits checks how long an idle connection may be used: a fraction of the idle
// timeout that its server announced, up to the maximum, or the fallback if the
// server announced none.
func TestIdleLimits(t *testing.T) {
	now := time.Now()
	limits := idleLimits{fallback: 4 * time.Second, maximum: 12 * time.Second}

	for name, c := range map[string]struct {
		keep, idle time.Duration
		limits     idleLimits
		want       bool
	}{
		"no timeout announced, short idle time": {0, 3 * time.Second, limits, true},
		"no timeout announced, long idle time":  {0, 5 * time.Second, limits, false},
		"announced timeout above the fallback":  {10 * time.Second, 7 * time.Second, limits, true},
		"close to the announced timeout":        {10 * time.Second, 9 * time.Second, limits, false},
		"short announced timeout":               {2 * time.Second, 1900 * time.Millisecond, limits, false},
		"announced timeout above the maximum":   {time.Minute, 13 * time.Second, limits, false},
		"no idle time allowed":                  {10 * time.Second, 0, idleLimits{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			one := &conn{lastUsed: now.Add(-c.idle), keepAlive: c.keep}
			if got := one.usable(now, c.limits); got != c.want {
				t.Errorf("usable returned %v", got)
			}
		})
	}
}

// TestConnState checks what the link tells of the connections to a server, and its counts of
// those that it opened.
func TestConnState(t *testing.T) {
	s := newStub(t, cwstand.FixedReply(okReply, true))
	l := newLink(t)
	hold := func() *HeldConn {
		h, err := l.Hold(context.Background(), s.Address(), time.Now().Add(time.Second), false)
		if err != nil {
			t.Fatal(err)
		}

		return h
	}

	check := func(when string, wantIdle, wantInUse bool, wantOpened, wantSecond int64) {
		t.Helper()

		idle, inUse := l.ConnState(s.Address())
		opened, second := l.Opened()

		if idle != wantIdle || inUse != wantInUse || opened != wantOpened || second != wantSecond {
			t.Errorf("%s: idle %v, in use %v, %d opened, %d of them second ones", when, idle, inUse, opened, second)
		}
	}

	check("at first", false, false, 0, 0)

	first := hold()
	check("one in use", false, true, 1, 0)

	second := hold()
	check("two in use", false, true, 2, 1)

	first.Release()
	check("one released", true, false, 2, 1)

	first = hold()
	check("reused", false, true, 2, 1)

	first.Release()
	second.Release()
	check("both released", true, false, 2, 1)
}

// TestHoldRecent checks that a connection counts as recent by the reply that it last carried: not
// by its release, and for as long as the VM was not suspended.
func TestHoldRecent(t *testing.T) {
	const age = time.Minute

	s := newStub(t, cwstand.FixedReply(okReply, true))
	l := newLink(t)
	check := func(when string, want bool) {
		t.Helper()

		since := time.Now().Add(-age)
		has := l.HasRecent(s.Address(), since)
		h := l.HoldRecent(s.Address(), since)

		if h != nil {
			h.Release()
		}

		if diff := cmp.Diff([]bool{want, want}, []bool{has, h != nil}); diff != "" {
			t.Errorf("%s: %s", when, diff)
		}
	}

	check("no connection", false)

	unused, err := l.Hold(context.Background(), s.Address(), time.Now().Add(time.Second), false)
	if err != nil {
		t.Fatal(err)
	}

	unused.Release()
	check("released without a reply", false)
	warm(t, l, s)
	check("after a reply", true)
	l.Suspended(age)
	check("suspended", false)
	warm(t, l, s)
	check("after another reply", true)

	p, _ := l.pool(s.Address())
	for _, c := range p.idle {
		_ = c.Close()
	}

	if h := l.HoldRecent(s.Address(), time.Now().Add(-age)); h != nil {
		t.Error("got a closed connection")
	}
}
