package cwbackend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// TestAnnouncedOutlivesEntry verifies that what a process of a server announced still holds after its
// entry was away for a moment, because it could not be read or had expired, and that it doesn't
// hold for another process.
func TestAnnouncedOutlivesEntry(t *testing.T) {
	type state struct {
		leaving, paused bool
		rate            carobward.Rate
	}

	reply := &carobward.Reply{
		Status: fasthttp.StatusOK, Leaving: carobward.LeaveNotice{Present: true, Readable: true},
		Pause: carobward.RetryNotice{Present: true, Readable: true, Delay: 30 * time.Second},
		Limit: carobward.Limit{Present: true, Readable: true, Rate: 9},
	}
	all := state{true, true, 9}

	for name, c := range map[string]struct {
		before, after carobward.Start
		away          time.Duration
		want          state
	}{
		"the same process":               {1, 1, time.Second, all},
		"without start times":            {0, 0, time.Second, all},
		"another process":                {1, 2, time.Second, state{}},
		"the same, pause over":           {1, 1, 40 * time.Second, state{true, false, 9}},
		"the same, after a long time":    {1, 1, departedTime, state{}},
		"another one, after a long time": {1, 2, departedTime, state{}},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(VM{ID: "self", Domain: "a"})
			entry := func(s carobward.Start) []carobward.Backend {
				return []carobward.Backend{{Instance: "i-1", Service: "fees", Domain: "a", Address: "10.0.0.1:80", Slots: 4, Start: s}}
			}

			table.Put(entry(c.before), nil, start)
			table.byInstance["i-1"].ApplyReply(reply, ByReply, start)
			table.Put(nil, []carobward.Instance{"i-1"}, start)

			now := start.Add(c.away)
			table.Put(entry(c.after), nil, now)

			s := table.byInstance["i-1"]
			got := state{s.Backend().Leaving, now.Before(s.pausedUntil), s.limit.Rate}

			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(state{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}
