package cwbackend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// TestStatesLimit checks which replies state whether their server has a limit: each one with
// a limit, and of the others only successful ones from the server itself. If failures lifted a
// limit, all entry VMs would send to an overloaded server at full rate after each of them.
func TestStatesLimit(t *testing.T) {
	named := carobward.Limit{Present: true, Readable: true, Rate: 1.4}

	for name, c := range map[string]struct {
		reply carobward.Reply
		want  bool
	}{
		"a success":                     {carobward.Reply{Status: fasthttp.StatusOK}, true},
		"a success with a limit":        {carobward.Reply{Status: fasthttp.StatusOK, Limit: named}, true},
		"not found, by the server":      {carobward.Reply{Status: fasthttp.StatusNotFound}, true},
		"a refusal":                     {carobward.Reply{Status: fasthttp.StatusServiceUnavailable, Shed: true}, false},
		"a refusal with a limit":        {carobward.Reply{Status: fasthttp.StatusServiceUnavailable, Shed: true, Limit: named}, true},
		"a failure":                     {carobward.Reply{Status: fasthttp.StatusInternalServerError}, false},
		"a failure with a limit":        {carobward.Reply{Status: fasthttp.StatusInternalServerError, Limit: named}, true},
		"a timeout":                     {carobward.Reply{Status: fasthttp.StatusGatewayTimeout}, false},
		"another server at the address": {carobward.Reply{Status: fasthttp.StatusMisdirectedRequest, Shed: true, Limit: named}, false},
		"another instance":              {carobward.Reply{Status: fasthttp.StatusOK, Instance: "i-2", Limit: named}, false},
		"its own instance":              {carobward.Reply{Status: fasthttp.StatusOK, Instance: "i-1", Limit: named}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(carobward.Backend{Instance: "i-1"}, newAnnouncers(), start)
			s.MergeLimit(carobward.LimitAnnouncement{Limit: carobward.Limit{Present: true, Readable: true, Rate: 9}, At: start}, ByReply)

			// A reply that states the limit changes or lifts it.
			if got := s.ApplyReply(&c.reply, ByReply, start.Add(time.Second)).Limit; got != c.want || (s.limit.Rate != 9) != c.want {
				t.Errorf("limit changed: %v, it is now %v", got, s.limit.Limit)
			}
		})
	}
}

// TestReplyLeaving checks whether a server may get a request after a reply: none once it has
// announced that it is leaving, until another process has its instance.
func TestReplyLeaving(t *testing.T) {
	leaves := carobward.LeaveNotice{Present: true, Readable: true}

	for name, c := range map[string]struct {
		reply carobward.Reply
		from  Source
		// next is the start of the process in the entry that comes after the reply.
		next carobward.Start
		want bool
	}{
		"nothing":                       {carobward.Reply{Status: fasthttp.StatusOK}, ByReply, 1, true},
		"in a success":                  {carobward.Reply{Status: fasthttp.StatusOK, Leaving: leaves}, ByReply, 1, false},
		"in a refusal":                  {carobward.Reply{Status: fasthttp.StatusServiceUnavailable, Shed: true, Leaving: leaves}, ByReply, 1, false},
		"in a failure":                  {carobward.Reply{Status: fasthttp.StatusInternalServerError, Leaving: leaves}, ByReply, 1, false},
		"in a health check":             {carobward.Reply{Status: fasthttp.StatusOK, Leaving: leaves}, ByHealthCheck, 1, false},
		"an unreadable value":           {carobward.Reply{Status: fasthttp.StatusOK, Leaving: carobward.LeaveNotice{Present: true}}, ByReply, 1, true},
		"another server at the address": {carobward.Reply{Status: fasthttp.StatusMisdirectedRequest, Shed: true, Leaving: leaves}, ByReply, 1, true},
		"another instance":              {carobward.Reply{Status: fasthttp.StatusOK, Instance: "i-2", Leaving: leaves}, ByHealthCheck, 1, true},
		"before the next process":       {carobward.Reply{Status: fasthttp.StatusOK, Leaving: leaves}, ByReply, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(VM{ID: "vm-1", Domain: "a"})
			b := carobward.Backend{Instance: "i-1", Domain: "a", Service: "records", Start: 1}
			table.Put([]carobward.Backend{b}, nil, start)
			table.byInstance["i-1"].ApplyReply(&c.reply, c.from, start)

			b.Start = c.next
			table.Put([]carobward.Backend{b}, nil, start.Add(time.Second))

			s := table.byInstance["i-1"]
			if got := table.Has(s.Backend()); got != c.want || (len(table.Views("records", start, time.Second)) == 1) != c.want {
				t.Errorf("may get requests: %v", got)
			}

			if got := table.Admit(s, start.Add(time.Second)); got != c.want {
				t.Errorf("admitted: %v", got)
			}
		})
	}
}

// TestReplyPause checks when a server may get the next request after a sequence of refusals: at
// the latest end of the pauses that it asked for.
func TestReplyPause(t *testing.T) {
	type pause struct {
		after, length time.Duration
		readable      bool
		from          Source
	}

	for name, c := range map[string]struct {
		pauses []pause
		want   time.Duration
	}{
		"none":                 {nil, 0},
		"whole seconds":        {[]pause{{0, 4 * time.Second, true, ByReply}}, 4 * time.Second},
		"a fractional second":  {[]pause{{0, 1500 * time.Millisecond, true, ByReply}}, 1500 * time.Millisecond},
		"zero":                 {[]pause{{time.Second, 0, true, ByReply}}, 0},
		"unreadable":           {[]pause{{time.Second, 0, false, ByReply}}, 0},
		"in a health check":    {[]pause{{0, 4 * time.Second, true, ByHealthCheck}}, 0},
		"a shorter one later":  {[]pause{{0, 4 * time.Second, true, ByReply}, {time.Second, time.Second, true, ByReply}}, 4 * time.Second},
		"a longer one later":   {[]pause{{0, 4 * time.Second, true, ByReply}, {time.Second, 4 * time.Second, true, ByReply}}, 5 * time.Second},
		"unreadable after one": {[]pause{{0, 4 * time.Second, true, ByReply}, {time.Second, 0, false, ByReply}}, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(VM{ID: "vm-1", Domain: "a"})
			table.Put([]carobward.Backend{{Instance: "i-1", Domain: "a", Service: "records"}}, nil, start)
			s := table.byInstance["i-1"]

			for _, w := range c.pauses {
				reply := &carobward.Reply{Status: fasthttp.StatusServiceUnavailable, Shed: true, Pause: carobward.RetryNotice{Present: true, Readable: w.readable, Delay: w.length}}
				s.ApplyReply(reply, w.from, start.Add(w.after))
			}

			// Two seconds later, and just before and at the end.
			for _, at := range []time.Duration{2 * time.Second, c.want - time.Millisecond, c.want} {
				now := start.Add(at)
				v := table.View(s, now, time.Second)

				if want := at < c.want; at >= 0 && (v.Throttled != want || want && !v.ThrottledUntil.Equal(start.Add(c.want))) {
					t.Errorf("after %s: throttled %v, until %s", at, v.Throttled, v.ThrottledUntil)
				}
			}

			if c.want > 0 && table.Admit(s, start.Add(c.want-time.Millisecond)) {
				t.Error("admitted before the end of the pause")
			}

			if !table.Admit(s, start.Add(c.want)) {
				t.Error("not admitted at the end of the pause")
			}
		})
	}
}

// TestLeavingNotices checks that a leaving notice is passed to other entry VMs for some time
// and to newcomers always, and that it applies to that process only.
func TestLeavingNotices(t *testing.T) {
	b := carobward.Backend{Instance: "i-1", Domain: "a", Service: "records", Start: 1}
	from, to, next := New(VM{ID: "vm-1", Domain: "a"}), New(VM{ID: "vm-2", Domain: "a"}), New(VM{ID: "vm-3", Domain: "a"})

	for _, table := range []*Table{from, to} {
		table.Put([]carobward.Backend{b}, nil, start)
	}

	b.Start = 2
	next.Put([]carobward.Backend{b}, nil, start)
	from.byInstance["i-1"].ApplyReply(&carobward.Reply{Status: fasthttp.StatusOK, Leaving: carobward.LeaveNotice{Present: true, Readable: true}}, ByReply, start)

	want := []carobward.LeavingAnnouncement{{Server: "i-1", Start: 1}}
	if diff := cmp.Diff(want, from.Announcements(start.Add(time.Second), false).Leaving); diff != "" {
		t.Error(diff)
	}

	if late := from.Announcements(start.Add(announceTime), false).Leaving; len(late) > 0 {
		t.Errorf("%v still passed on later", late)
	}

	if diff := cmp.Diff(want, from.Announcements(start.Add(time.Hour), true).Leaving); diff != "" {
		t.Error(diff)
	}

	if added := to.MergeLeaving(want, start); len(added) != 1 || to.Has(to.byInstance["i-1"].Backend()) {
		t.Errorf("%v were new", added)
	}

	if again := to.MergeLeaving(want, start); len(again) > 0 || len(to.Announcements(start, false).Leaving) > 0 {
		t.Errorf("%v new again, or passed on", again)
	}

	if added := next.MergeLeaving(want, start); len(added) > 0 || !next.Has(next.byInstance["i-1"].Backend()) {
		t.Errorf("%v new for the next process", added)
	}
}
