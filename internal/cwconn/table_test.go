package cwconn

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwtest"
)

// accepted returns the server's side of a connection.
func accepted(t *testing.T) net.Conn {
	t.Helper()

	ours, _ := cwtest.Pair(t)

	return ours
}

func isClosed(c net.Conn) bool { return cwsocket.Peek(c) == cwsocket.Closed }

// TestClose guards against a request that is begun on a connection which is closed: a connection that
// waits is closed or brings a request, never both.
func TestClose(t *testing.T) {
	for name, c := range map[string]struct {
		states []fasthttp.ConnState
		close  []Phase
		// closed and begins are what becomes of the connection, and of a request that has been read.
		closed, begins bool
	}{
		"new":                 {[]fasthttp.ConnState{fasthttp.StateNew}, []Phase{Waiting}, true, false},
		"idle":                {[]fasthttp.ConnState{fasthttp.StateNew, fasthttp.StateActive, fasthttp.StateIdle}, []Phase{Waiting}, true, false},
		"brings one":          {[]fasthttp.ConnState{fasthttp.StateNew, fasthttp.StateActive}, []Phase{Waiting}, false, true},
		"brings one too late": {[]fasthttp.ConnState{fasthttp.StateNew, fasthttp.StateActive}, []Phase{Waiting, Reading}, true, false},
		"nothing is closed":   {[]fasthttp.ConnState{fasthttp.StateNew}, nil, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			table, one := New(1, carobward.SystemClock{}), accepted(t)
			for _, s := range c.states {
				table.Observe(one, s)
			}

			for _, p := range c.close {
				table.Close(p)
			}

			if isClosed(one) != c.closed || table.Begin(one, Request{ID: "one"}) != c.begins {
				t.Errorf("closed %v, want %v, and a request begun or not against that", isClosed(one), c.closed)
			}

			later := accepted(t)
			table.Observe(later, fasthttp.StateNew)

			if want := len(c.close) > 0; isClosed(later) != want {
				t.Errorf("a connection opened later is closed: %v", !want)
			}
		})
	}
}

// TestMost guards against connections that use up the descriptors: beyond the bound, the one that has waited
// longest is closed, never one with a request.
func TestMost(t *testing.T) {
	table := New(3, carobward.SystemClock{})

	var conns []net.Conn

	for range 4 {
		<-time.After(time.Millisecond)

		c := accepted(t)
		conns = append(conns, c)
		table.Observe(c, fasthttp.StateNew)

		if len(conns) == 1 { // The first one has a request in progress.
			table.Observe(c, fasthttp.StateActive)
			table.Begin(c, Request{ID: "one"})
		}
	}

	var closed []bool
	for _, c := range conns {
		closed = append(closed, isClosed(c))
	}

	if diff := cmp.Diff([]bool{false, true, false, false}, closed); diff != "" {
		t.Error(diff)
	}

	want := Counts{Waiting: 3, Busy: 1}
	if diff := cmp.Diff(want, table.Counts()); diff != "" || len(table.Requests()) != 1 || table.Displaced() != 1 {
		t.Errorf("%s, %v", diff, table.Requests())
	}
}

// testClock is a clock that the test sets.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// TestMostReading guards against callers that hold all places with parts of requests: the one of which nothing
// was read for the longest time is closed, after those that wait.
func TestMostReading(t *testing.T) {
	for name, c := range map[string]struct {
		// waiting is the number of the connection that waits, or -1. Progress is the one of which more is read.
		waiting, progress int
		want              []bool
	}{
		"all read":        {-1, -1, []bool{true, false, false}},
		"one goes on":     {-1, 0, []bool{false, true, false}},
		"one waits":       {2, -1, []bool{false, false, true}},
		"the oldest does": {0, -1, []bool{true, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{}
			table := New(3, clock)

			var conns []net.Conn

			for i := range 3 {
				clock.now = clock.now.Add(time.Second)

				one := accepted(t)
				conns = append(conns, one)
				table.Observe(one, fasthttp.StateNew)

				if i != c.waiting {
					table.Observe(one, fasthttp.StateActive)
				}
			}

			clock.now = clock.now.Add(time.Second)

			if c.progress >= 0 {
				table.Progress(conns[c.progress])
			}

			table.Observe(accepted(t), fasthttp.StateNew)

			var closed []bool
			for _, one := range conns {
				closed = append(closed, isClosed(one))
			}

			if diff := cmp.Diff(c.want, closed); diff != "" {
				t.Error(diff)
			}
		})
	}
}
