package cwfront

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
)

// TestContactsOverPause verifies that health checks that time out over a pause of the process do
// not make a service count as lost, and that others do.
func TestContactsOverPause(t *testing.T) {
	const checks = 3

	for name, c := range map[string]struct {
		paused time.Duration
		err    error
		want   bool
	}{
		"no pause":                    {0, errors.New("timeout"), true},
		"over a pause":                {time.Millisecond, errors.New("timeout"), false},
		"the connections are used up": {0, cwlink.ErrConnsInUse, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, r := newCheckFront(t, "127.0.0.1:9")
			f.RunningAge = func(of, now time.Time) time.Duration { return now.Sub(of) - c.paused }

			for range checks {
				v := f.Servers.Views("records", time.Now(), time.Second)[0]
				r.checkFailed(v.Server, v.Server.Backend(), time.Now(), c.err)
			}

			if got := f.reach.Lost("records"); got != c.want {
				t.Errorf("lost: %v", got)
			}

			if losses := f.Losses(); len(losses) > 0 != c.want {
				t.Errorf("operators see %v", losses)
			}
		})
	}
}

// TestUnreached verifies which requests count as lacking a path: those of whose health checks none
// was answered. One answer says that there is one, whatever room there is.
func TestUnreached(t *testing.T) {
	for name, c := range map[string]struct {
		checks int
		counts checkCounts
		want   bool
	}{
		"not checked":       {0, checkCounts{}, false},
		"none answered":     {8, checkCounts{failed: 1, late: 7}, true},
		"one is full":       {8, checkCounts{late: 7, answered: 1, full: 1}, false},
		"still in progress": {4, checkCounts{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, r := newCheckFront(t, "127.0.0.1:9")
			r.checks, r.checkCounts = c.checks, c.counts

			if got := r.unreached(); got != c.want {
				t.Errorf("unreached: %v", got)
			}

			wantCause := ErrNoRoom
			if c.want {
				wantCause = ErrUnreached
			}

			if got := r.noServerFound(); !errors.Is(got, wantCause) {
				t.Errorf("cause %v", got)
			}
		})
	}
}

// TestUnblocked verifies that servers that were blocked while none was reached get requests at
// once when one answers.
func TestUnblocked(t *testing.T) {
	f, r := newCheckFront(t, "127.0.0.1:9")
	view := func() bool { return f.Servers.Views("records", time.Now(), time.Second)[0].Blocked }

	for range 3 {
		s := f.Servers.Views("records", time.Now(), time.Second)[0].Server
		r.checkFailed(s, s.Backend(), time.Now(), carobward.NewFailure(carobward.NotRun, 503, 0, errors.New("timeout")))
	}

	if !view() || !f.reach.Lost("records") {
		t.Fatal("the server is not blocked, or the service is not lost")
	}

	f.serverAnswered("records")

	if view() {
		t.Error("the server is blocked although the path is back")
	}
}

// TestNoteNewConn verifies which failures over new connections show that new connections break.
func TestNoteNewConn(t *testing.T) {
	for name, c := range map[string]struct {
		held *cwlink.HeldConn
		err  error
		want bool
	}{
		"reset by the path":            {&cwlink.HeldConn{}, syscall.ECONNRESET, true},
		"closed by the path":           {&cwlink.HeldConn{}, io.EOF, true},
		"closed here, out of time":     {&cwlink.HeldConn{}, net.ErrClosed, false},
		"a slow server":                {&cwlink.HeldConn{}, os.ErrDeadlineExceeded, false},
		"no connection is established": {nil, syscall.ECONNREFUSED, false},
		"an answer":                    {&cwlink.HeldConn{}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFront(1)

			for _, v := range f.Servers.Views("records", time.Now(), 0) {
				err := c.err
				if err != nil {
					err = carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, errors.Annotate(err, "link"))
				}

				f.noteNewConn("records", v.Server.Backend(), c.held, err)
			}

			if got := f.reach.NewConnsBreak("records"); got != c.want {
				t.Errorf("new connections break: %v", got)
			}
		})
	}
}

// TestNoServerFound verifies the causes of refusals of requests that found no server in time.
func TestNoServerFound(t *testing.T) {
	for name, c := range map[string]struct {
		request request
		want    error
	}{
		"no room":                  {request{checks: 2, checkCounts: checkCounts{answered: 2, full: 2}}, ErrNoRoom},
		"no answer":                {request{checks: 2, checkCounts: checkCounts{failed: 1, late: 1}}, ErrUnreached},
		"no health check":          {request{connUnproven: true}, ErrUnchecked},
		"no answer, then no check": {request{connUnproven: true, checks: 1, checkCounts: checkCounts{failed: 1}}, ErrUnreached},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.request
			r.front = newFront(1)

			if got := r.noServerFound(); !errors.Is(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
